package qlroute

import (
	"strings"
	"testing"
)

func target(service string, weight int) Target {
	return Target{
		Service: service,
		Weight:  weight,
	}
}

func document() *Document {
	service := func(name string) ServiceConfig {
		return ServiceConfig{
			Name: name,
		}
	}
	route := func(name, host, prefix string, targets ...Target) RouteConfig {
		return RouteConfig{
			Name:    name,
			Host:    host,
			Prefix:  prefix,
			Kind:    Idempotent,
			Targets: targets,
		}
	}
	return &Document{
		Revision: 7,
		Routes: []RouteConfig{
			route("root", "a.example", "/", target("one", 1)),
			route("long", "a.example", "/x/y/", target("two", 1)),
			route("short", "a.example", "/x/", target("one", 90), target("two", 10)),
			route("other", "b.example", "/x/", target("two", 0)),
		},
		Services: []ServiceConfig{service("one"), service("two")},
		Customers: []CustomerConfig{{
			Name: "depot",
			Keys: []string{"k1", "k2"},
		}},
	}
}

func TestMatch(t *testing.T) {
	table, err := Build(document())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		host string
		path string
		want string
	}{
		{host: "a.example", path: "/x/y/z", want: "long"},
		{host: "a.example", path: "/x/y/", want: "long"},
		{host: "a.example", path: "/x/y", want: "short"},
		{host: "A.example:8080", path: "/x/", want: "short"},
		{host: "a.example", path: "/x", want: "root"},
		{host: "b.example", path: "/", want: ""},
		{host: "b.example", path: "/xx/", want: ""},
		{host: "c.example", path: "/x/", want: ""},
		{host: "a.example", path: "", want: ""},
	} {
		got := ""
		if route := table.Match(c.host, c.path); route != nil {
			got = route.Name()
		}
		if got != c.want {
			t.Errorf("Match(%q, %q): got %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestTargetIsChosenByWeight(t *testing.T) {
	table, err := Build(document())
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	for hash := range uint64(1000) {
		counts[table.Match("a.example", "/x/").Target(hash)]++
	}
	if got, want := counts["two"], 100; got != want {
		t.Errorf("requests for the service of weight 10 in 100: got %d, want %d", got, want)
	}
	if got, want := table.Match("b.example", "/x/").Target(5), "two"; got != want {
		t.Errorf("service of a route whose weights are 0: got %q, want %q", got, want)
	}
}

func TestCustomerByKey(t *testing.T) {
	table, err := Build(document())
	if err != nil {
		t.Fatal(err)
	}
	if got := table.Customer("k2"); got == nil || got.Name() != "depot" {
		t.Errorf("customer of k2: got %v, want depot", got)
	}
	if got := table.Customer(""); got != nil {
		t.Errorf("customer of no key: got %v, want none", got)
	}
}

func TestBuildRejectsInvalidRoutes(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(route *RouteConfig)
		want   string
	}{
		{name: "prefix", change: func(r *RouteConfig) { r.Prefix = "x/" }, want: `prefix "x/"`},
		{name: "kind", change: func(r *RouteConfig) { r.Kind = 0 }, want: "kind 0"},
		{name: "service", change: func(r *RouteConfig) { r.Targets = nil }, want: "without a service"},
		{name: "unknown", change: func(r *RouteConfig) { r.Targets = []Target{target("three", 1)} }, want: `service "three"`},
		{name: "weight", change: func(r *RouteConfig) { r.Targets = []Target{target("one", -1)} }, want: "weight -1"},
	} {
		d := document()
		c.change(&d.Routes[1])
		_, err := Build(d)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), `route 1 ("long")`) {
			t.Errorf("%s: got error %v, want one that names route 1 and %q", c.name, err, c.want)
		}
	}
}
