package qldispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
)

// decisions sets up a dispatcher of the target's size: 8 upstreams of 48
// slots, with 300 customers known to it.
type decisions struct {
	dispatcher *qldispatch.Dispatcher
	names      []string
	granted    qldispatch.Grant
	now        time.Duration
}

func newDecisions() *decisions {
	d := &decisions{}
	d.dispatcher = qldispatch.New(qldispatch.Config{
		Self: "r1",
		Limits: func(string) (qlfair.Limits, bool) {
			return qlfair.Limits{
				Share:       1,
				MaxInFlight: 1000,
			}, true
		},
		Rank:    func(string, string) (int, int) { return 0, 1 },
		OnGrant: func(g qldispatch.Grant) { d.granted = g },
		Monitor: &qlinvariant.Monitor{},
	})
	var replicas []qldispatch.UpstreamConfig
	for i := range 8 {
		replicas = append(replicas, qldispatch.UpstreamConfig{
			ID:    fmt.Sprint("u", i),
			Slots: 48,
		})
	}
	d.dispatcher.SetPool(0, qldispatch.PoolConfig{
		Name:        "m",
		LargestCost: 1000,
		Upstreams:   replicas,
	})
	for i := range 300 {
		d.names = append(d.names, fmt.Sprint("customer-", i))
	}
	d.now = 10 * time.Second
	for i := range 3000 {
		d.decide(i)
	}
	return d
}

// decide is one request: its demand, its grant and its end.
func (d *decisions) decide(i int) {
	d.now += time.Millisecond
	d.dispatcher.SetLocalDemand(d.now, d.names[i%len(d.names)], "m", 1, 300, d.granted.Number())
	d.dispatcher.Done(d.now, "r1", d.granted.Number(), 250, qldispatch.Answered)
}

func BenchmarkDecision(b *testing.B) {
	d := newDecisions()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.decide(i)
	}
}
