package qlowner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlquarantine"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"google.golang.org/protobuf/proto"
)

// FuzzReceive passes arbitrary packets to a router that knows another one. None may
// make it panic, or decide nothing after that.
func FuzzReceive(f *testing.F) {
	introduction := &qlfleetwire.Introduction{
		WantsReply: true,
		Known:      []uint32{1, 2},
		Routers: []*qlfleetwire.Router{{
			Id:          "r2",
			Address:     "10.0.0.2:7400",
			Incarnation: 5,
		}},
	}
	for _, packet := range []*qlfleetwire.Packet{
		{From: "r2", Introduction: introduction},
		{From: "r2", Asks: []*qlfleetwire.Ask{{Request: 1, Service: "models", PromptTokens: 1 << 31, Group: 1 << 31}}},
		{From: "r2", Verdicts: []*qlfleetwire.Verdict{{Request: 1, Engine: "e0", Reason: 99}}},
		{From: "r2", Notes: []*qlfleetwire.Note{{Request: 1, Engine: "e0", Unread: 1 << 31}, {Request: 1, Outcome: 99}}},
		{From: "r2", Running: &qlfleetwire.Running{First: 1, Steps: []uint32{0, 1 << 31}}},
		{From: "r2", Membership: []byte{0x0a, 0x02, 0x08, 0x01}},
	} {
		body, err := proto.Marshal(packet)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		packet := &qlfleetwire.Packet{}
		if proto.Unmarshal(body, packet) != nil {
			return
		}
		decided := 0
		core := New(Config{
			Self:             "r1",
			Zone:             "z1",
			Address:          "10.0.0.1:7400",
			Random:           rand.New(rand.NewPCG(1, 1)),
			Send:             func(string, *qlfleetwire.Packet) {},
			OnDecision:       func(uint64, qlplace.Decision) { decided++ },
			Revisions:        func() (uint64, qlposition.Position) { return 1, qlposition.Position{Revision: 1} },
			OnNewerDocuments: func(string) {},
			OnUpdate:         func(time.Duration, string, *qlfleetwire.Update) {},
			OnLiveChange:     func([]qlring.Node) {},
			OnInformed:       func() {},
			Quarantine: qlquarantine.Config{
				OnChange: func(*qlquarantine.List) {},
			},
			OnOwnerChange:  func(string, string) {},
			OnMessageError: func(string, error) {},
		})
		core.Placer().SetEngines(testEngines())
		core.Receive(0, 0, "10.0.0.2:7400", &qlfleetwire.Packet{
			From:         "r2",
			Introduction: introduction,
		})
		core.Receive(time.Millisecond, time.Millisecond, "10.0.0.2:7400", packet)
		core.Ask(2*time.Millisecond, &qlplace.Request{
			Service:          "models",
			LatencyObjective: time.Second,
		})
		for now := 3 * time.Millisecond; now < 2*time.Second; now += 50 * time.Millisecond {
			core.Tick(now)
			core.Expire(now)
			core.Flush(now)
		}
		if decided == 0 {
			t.Error("the request was not decided")
		}
	})
}
