package qlplace

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

func TestGroupsFollowTheNumberOfEngines(t *testing.T) {
	for _, c := range []struct {
		engines, before, want int
	}{
		{engines: 0, before: 0, want: 1},
		{engines: 60, before: 1, want: 1},
		{engines: 128, before: 1, want: 1},
		{engines: 129, before: 1, want: 4},
		{engines: 3100, before: 1, want: 64},
		{engines: 3100, before: 64, want: 64},
		// A few engines less move no group, many less do.
		{engines: 4000, before: 64, want: 64},
		{engines: 240, before: 4, want: 4},
		{engines: 193, before: 4, want: 4},
		{engines: 128, before: 4, want: 1},
		{engines: 1500, before: 64, want: 32},
	} {
		if got := groupsFor(c.engines, c.before); got != c.want {
			t.Errorf("%d engines in %d groups before: got %d, want %d", c.engines, c.before, got, c.want)
		}
	}
}

// TestGroupsAreEven divides the target's engines and requests.
func TestGroupsAreEven(t *testing.T) {
	p := newPlacer(3100)
	groups := p.GroupCount(_service)
	for g, pool := range p.pools[_service] {
		if got := len(pool.engines); got < _groupSize/4 || got > 2*_groupSize {
			t.Errorf("group %d: got %d engines, want about %d", g, got, 3100/groups)
		}
	}
	asked := make([]int, groups)
	for n := range uint64(100 * groups) {
		r := request(n, "c", n, 100)
		first, second := ChooseGroups(r, groups)
		asked[first]++
		if again, _ := ChooseGroups(request(n+1, "c", n, 900), groups); again != first {
			t.Fatalf("requests that share parts ask groups %d and %d", first, again)
		}
		if first == second || second < 0 || second >= groups {
			t.Fatalf("groups of a request: got %d and %d of %d", first, second, groups)
		}
	}
	for g, count := range asked {
		if count < 50 || count > 170 {
			t.Errorf("group %d: got %d requests, want about 100", g, count)
		}
	}
}

// TestRegroupingKeepsRuns adds engines until there are several groups.
func TestRegroupingKeepsRuns(t *testing.T) {
	p := newPlacer(100)
	r := request(1, "c", 10, 500)
	engine := p.Decide(0, r).Engine
	p.SetEngines(engineInfos(200))
	if got, want := p.GroupCount(_service), 4; got != want {
		t.Fatalf("groups: got %d, want %d", got, want)
	}
	if got := p.engines[engine].model.Running(); got != 1 {
		t.Errorf("runs of the engine: got %d, want 1", got)
	}
	if got := len(p.Shares()); got != 4 {
		t.Errorf("windows of fair shares: got %d, want 4", got)
	}
	p.FirstEvent(40*time.Millisecond, r.Key)
	p.End(time.Second, r.Key, qlengine.Completed)
	if got := p.engines[engine].model.Running(); got != 0 {
		t.Errorf("runs after the end: got %d, want none", got)
	}
	p.SetEngines(engineInfos(3))
	if got, want := p.GroupCount(_service), 1; got != want {
		t.Errorf("groups of three engines: got %d, want %d", got, want)
	}
}
