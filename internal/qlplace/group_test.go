package qlplace

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

func TestGroupsFollowTheNumberOfEngines(t *testing.T) {
	for _, c := range []struct {
		engines, previous, want int
	}{
		{engines: 0, previous: 0, want: 1},
		{engines: 60, previous: 1, want: 1},
		{engines: 128, previous: 1, want: 1},
		{engines: 192, previous: 1, want: 1},
		{engines: 193, previous: 1, want: 4},
		{engines: 3100, previous: 1, want: 64},
		{engines: 3100, previous: 64, want: 64},
		// Slightly fewer engines keep the number of groups, considerably fewer
		// reduce it.
		{engines: 4000, previous: 64, want: 64},
		{engines: 240, previous: 4, want: 4},
		{engines: 193, previous: 4, want: 4},
		{engines: 128, previous: 4, want: 1},
		{engines: 1500, previous: 64, want: 32},
	} {
		if got := groupCountFor(c.engines, c.previous); got != c.want {
			t.Errorf("%d engines in %d groups before: got %d, want %d", c.engines, c.previous, got, c.want)
		}
	}
}

// TestGroupsAreEven checks that the 3,100 engines of the capacity target, and
// requests with different segments, are divided evenly between the groups.
func TestGroupsAreEven(t *testing.T) {
	p := newPlacer(3100)
	groups := p.GroupCount(_service)
	for g, pool := range p.pools[_service] {
		if got := len(pool.engines); got < _groupSize/4 || got > 2*_groupSize {
			t.Errorf("group %d: got %d engines, want about %d", g, got, 3100/groups)
		}
	}
	requests := make([]int, groups)
	for n := range uint64(100 * groups) {
		r := request(n, "c", n, 100)
		first, second := ChooseGroups(r, groups)
		requests[first]++
		if group, _ := ChooseGroups(request(n+1, "c", n, 900), groups); group != first {
			t.Fatalf("groups of two requests that share segments: got %d and %d, want the same", first, group)
		}
		if first == second || second < 0 || second >= groups {
			t.Fatalf("groups of a request: got %d and %d of %d, want two different ones", first, second, groups)
		}
	}
	for g, count := range requests {
		if count < 50 || count > 170 {
			t.Errorf("group %d: got %d requests, want about 100", g, count)
		}
	}
}

// TestRegroupingKeepsActiveRequests adds engines until there are several
// groups. An active request from before must stay counted at its engine.
func TestRegroupingKeepsActiveRequests(t *testing.T) {
	p := newPlacer(100)
	r := request(1, "c", 10, 500)
	engine := p.Decide(0, r).Engine
	p.SetEngines(engineInfos(200))
	if got, want := p.GroupCount(_service), 4; got != want {
		t.Fatalf("groups: got %d, want %d", got, want)
	}
	if got := p.engines[engine].model.ActiveRequests(); got != 1 {
		t.Errorf("active requests of the engine: got %d, want 1", got)
	}
	if got := len(p.Shares()); got != 4 {
		t.Errorf("windows of fair shares: got %d, want 4", got)
	}
	p.FirstEvent(40*time.Millisecond, r.Key)
	p.End(time.Second, r.Key, qlengine.Completed)
	if got := p.engines[engine].model.ActiveRequests(); got != 0 {
		t.Errorf("active requests after the end: got %d, want none", got)
	}
	p.SetEngines(engineInfos(3))
	if got, want := p.GroupCount(_service), 1; got != want {
		t.Errorf("groups of three engines: got %d, want %d", got, want)
	}
}
