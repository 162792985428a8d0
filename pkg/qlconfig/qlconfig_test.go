package qlconfig_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/quetzallane/quetzallane/pkg/qlconfig"
)

var _update = flag.Bool("update", false, "rewrite the golden files")

func buildFile(name string, data []byte) (*qlconfig.Configuration, error) {
	hash := qlconfig.HashPart(data)
	builder := qlconfig.Builder{
		Names: map[string]string{hash: name},
	}
	return builder.Build(qlconfig.NewIndex(1, [][]byte{data}), map[string][]byte{hash: data})
}

// TestInvalidPartErrors compares the error for each invalid part in testdata/bad
// with its golden file.
func TestInvalidPartErrors(t *testing.T) {
	paths, err := filepath.Glob("testdata/bad/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			_, err = buildFile(filepath.Base(path), data)
			if err == nil {
				t.Fatal("the part was accepted, want an error")
			}
			checkGolden(t, strings.TrimSuffix(path, ".json")+".golden", err.Error()+"\n")
		})
	}
}

func checkGolden(t *testing.T, path, got string) {
	t.Helper()
	if *_update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestValidConfiguration(t *testing.T) {
	data, err := os.ReadFile("testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := buildFile("good.json", data)
	if err != nil {
		t.Fatal(err)
	}
	depot, ok := c.CustomerByKey("depot-key")
	if !ok {
		t.Fatal("the depot's key is unknown")
	}
	if got, want := depot.Share(), 3.0; got != want {
		t.Errorf("share: got %v, want %v", got, want)
	}
	if got, want := depot.QueueLength(), 32; got != want {
		t.Errorf("queue length from the template: got %v, want %v", got, want)
	}
	if _, ok := c.CustomerByKey("depot-kez"); ok {
		t.Error("a wrong key was accepted")
	}
	booking := c.Pool("booking")
	if booking.Repeatable("POST", "/bookings") || !booking.Repeatable("GET", "/stock/7") {
		t.Error("repeatable calls: got POST or not GET, want GET only")
	}
}

func FuzzBuild(f *testing.F) {
	paths, _ := filepath.Glob("testdata/*/*.json")
	for _, path := range append(paths, "testdata/good.json") {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := buildFile("fuzz", data)
		if (c == nil) == (err == nil) {
			t.Errorf("got configuration %v and error %v, want exactly one", c != nil, err)
		}
	})
}
