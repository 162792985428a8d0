package qlowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlplace"
)

// engineGroups are so many engines that they make several groups.
func engineGroups(t *testing.T, n *network) int {
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

// TestGroupsHaveOwnersOfTheirOwn sends requests for all groups: each is decided
// by one router, whoever asks, and several routers decide.
func TestGroupsHaveOwnersOfTheirOwn(t *testing.T) {
	n := newNetwork(t, 7)
	groups := engineGroups(t, n)
	for request := range uint64(200) {
		n.ask(int(request%7), request+1)
	}
	n.run(time.Second)
	deciders := map[string]bool{}
	for router, id := range n.ids {
		for request, verdict := range n.verdicts[id] {
			if verdict.Engine == "" {
				t.Errorf("request %d of %s was refused", request, id)
			}
			deciders[verdict.Decider] = true
		}
		if router > 0 && len(n.cores[router].Owners()) > groups {
			t.Errorf("owners of %s: got %v, want %d at most", id, n.cores[router].Owners(), groups)
		}
	}
	for key, owner := range n.cores[0].Owners() {
		if other, ok := n.cores[1].Owners()[key]; ok && other != owner {
			t.Errorf("owner of %s: got %s and %s", key, owner, other)
		}
	}
	if len(deciders) < 2 {
		t.Errorf("routers that decided: got %v, want several", deciders)
	}
}

// TestRefusedRequestAsksASecondGroup fills one group.
func TestRefusedRequestAsksASecondGroup(t *testing.T) {
	n := newNetwork(t, 7)
	engineGroups(t, n)
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
		n.run(2 * time.Millisecond)
	}
	n.run(200 * time.Millisecond)
	for _, verdict := range n.verdicts[n.ids[2]] {
		if verdict.Engine != "" {
			placed++
		}
	}
	if got := n.cores[2].Stats().AskedSecondOwner; got == 0 {
		t.Error("no request asked a second group")
	}
	if got := len(n.verdicts[n.ids[2]]); got != 120 {
		t.Errorf("requests decided: got %d, want 120", got)
	}
	// Half of what one group of about 50 engines takes at once, and as much of
	// the second.
	if placed < 60 {
		t.Errorf("placed: got %d, want what two groups take", placed)
	}
}

// TestLostGroupOwnerIsReplaced stops one of several owners.
func TestLostGroupOwnerIsReplaced(t *testing.T) {
	n := newNetwork(t, 7)
	engineGroups(t, n)
	for request := range uint64(100) {
		n.ask(0, request+1)
	}
	n.run(time.Second)
	lost := -1
	for _, owner := range n.cores[0].Owners() {
		for i, id := range n.ids {
			if id == owner && i != 0 {
				lost = i
			}
		}
	}
	n.lost = func(from, to int) bool { return from == lost || to == lost }
	for request := range uint64(100) {
		n.ask(0, 1000+request)
		n.run(20 * time.Millisecond)
	}
	n.run(time.Second)
	for request := range uint64(100) {
		verdict, ok := n.verdicts[n.ids[0]][1000+request]
		if !ok || verdict.Engine == "" || verdict.Decider == n.ids[lost] {
			t.Fatalf("request %d: got %+v, want another's decision", request, verdict)
		}
	}
}
