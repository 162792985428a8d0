package qlowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlplace"
)

// setEngineGroups gives all routers enough engines for several groups and returns
// the number of groups.
func setEngineGroups(t *testing.T, n *network) int {
	t.Helper()
	var infos []qlplace.EngineInfo
	for i := range 200 {
		info := testEngines()[0]
		info.ID = fmt.Sprintf("e%d", i)
		infos = append(infos, info)
	}
	for _, core := range n.cores {
		core.Placer().SetEngines(infos)
	}
	groups := n.cores[0].Placer().GroupCount("models")
	if groups < 2 {
		t.Fatalf("groups: got %d, want several", groups)
	}
	return groups
}

// TestEachGroupHasOneOwner sends requests for all groups from all routers: routers
// must agree on the owner of a group, and the groups must not all have the same
// owner.
func TestEachGroupHasOneOwner(t *testing.T) {
	n := newNetwork(t, 7)
	groups := setEngineGroups(t, n)
	for request := range uint64(200) {
		n.ask(int(request%7), request+1)
	}
	n.advance(time.Second)
	deciders := map[string]bool{}
	for router, id := range n.ids {
		for request, decision := range n.decisions[id] {
			if decision.Engine == "" {
				t.Errorf("request %d of %s was refused", request, id)
			}
			deciders[decision.Decider] = true
		}
		if router > 0 && len(n.cores[router].Owners()) > groups {
			t.Errorf("owners of %s: got %v, want %d at most", id, n.cores[router].Owners(), groups)
		}
	}
	for key, owner := range n.cores[0].Owners() {
		if second, ok := n.cores[1].Owners()[key]; ok && second != owner {
			t.Errorf("owner of %s: got %s from %s and %s from %s, want the same", key, owner, n.ids[0], second, n.ids[1])
		}
	}
	if len(deciders) < 2 {
		t.Errorf("routers that made decisions: got %v, want several", deciders)
	}
}

// TestRefusedRequestAsksASecondGroup fills one group of engines, so that further
// requests are placed in a second group.
func TestRefusedRequestAsksASecondGroup(t *testing.T) {
	n := newNetwork(t, 7)
	setEngineGroups(t, n)
	request := func(id uint64) *qlplace.Request {
		return &qlplace.Request{
			Key: qlengine.Key{
				Request: id,
			},
			Service:          "models",
			LatencyObjective: 200 * time.Millisecond,
			Prompt: qlengine.Prompt{
				Tokens:          9000,
				MaxOutputTokens: 50,
				Segments: []qlengine.Segment{
					{
						ID:     7,
						Tokens: 100,
					},
					{
						ID:     1000 + id,
						Tokens: 8900,
					},
				},
			},
		}
	}
	placed := 0
	for id := range uint64(120) {
		n.cores[2].Ask(n.now, request(id+1))
		n.advance(2 * time.Millisecond)
	}
	n.advance(200 * time.Millisecond)
	for _, decision := range n.decisions[n.ids[2]] {
		if decision.Engine != "" {
			placed++
		}
	}
	if got := n.cores[2].Stats().AskedSecondOwner; got == 0 {
		t.Error("no request asked a second group")
	}
	if got := len(n.decisions[n.ids[2]]); got != 120 {
		t.Errorf("requests decided: got %d, want 120", got)
	}
	// About half of the requests that one group of about 50 engines admits at
	// once, and as many of the second group.
	if placed < 60 {
		t.Errorf("placed: got %d, want at least 60, which needs two groups", placed)
	}
}

// TestLostGroupOwnerIsReplaced cuts off one of several owners: other routers must
// decide on the requests of its group.
func TestLostGroupOwnerIsReplaced(t *testing.T) {
	n := newNetwork(t, 7)
	setEngineGroups(t, n)
	for request := range uint64(100) {
		n.ask(0, request+1)
	}
	n.advance(time.Second)
	lostRouter := -1
	for _, owner := range n.cores[0].Owners() {
		for i, id := range n.ids {
			if id == owner && i != 0 {
				lostRouter = i
			}
		}
	}
	n.isLost = func(from, to int) bool { return from == lostRouter || to == lostRouter }
	for request := range uint64(100) {
		n.ask(0, 1000+request)
		n.advance(20 * time.Millisecond)
	}
	n.advance(time.Second)
	for request := range uint64(100) {
		decision, ok := n.decisions[n.ids[0]][1000+request]
		if !ok || decision.Engine == "" || decision.Decider == n.ids[lostRouter] {
			t.Fatalf("request %d: got %+v, want an engine chosen by another router", request, decision)
		}
	}
}
