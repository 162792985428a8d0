package qldispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
)

// benchDispatcher is a dispatcher of the size that the benchmark's target is
// for: 8 upstreams of 48 slots, and 300 known customers.
type benchDispatcher struct {
	dispatcher *qldispatch.Dispatcher
	customers  []string
	lastGrant  qldispatch.Grant
	now        time.Duration
}

func newBenchDispatcher() *benchDispatcher {
	d := &benchDispatcher{}
	d.dispatcher = qldispatch.New(qldispatch.Config{
		Self: "r1",
		Limits: func(string) (qlfair.Limits, bool) {
			return qlfair.Limits{
				Share:       1,
				MaxInFlight: 1000,
			}, true
		},
		Rank:    func(string, string) (int, int) { return 0, 1 },
		OnGrant: func(g qldispatch.Grant) { d.lastGrant = g },
		Monitor: &qlinvariant.Monitor{},
	})
	var upstreams []qldispatch.UpstreamConfig
	for i := range 8 {
		upstreams = append(upstreams, qldispatch.UpstreamConfig{
			ID:    fmt.Sprint("u", i),
			Slots: 48,
		})
	}
	d.dispatcher.SetPool(0, qldispatch.PoolConfig{
		Name:        "m",
		LargestCost: 1000,
		Upstreams:   upstreams,
	})
	for i := range 300 {
		d.customers = append(d.customers, fmt.Sprint("customer-", i))
	}
	d.now = 10 * time.Second
	for i := range 3000 {
		d.serveRequest(i)
	}
	return d
}

// serveRequest processes one request: its demand, its grant and its end.
func (d *benchDispatcher) serveRequest(i int) {
	d.now += time.Millisecond
	d.dispatcher.SetLocalDemand(d.now, d.customers[i%len(d.customers)], "m", 1, 300, d.lastGrant.Number())
	d.dispatcher.Done(d.now, "r1", d.lastGrant.Number(), 250, qldispatch.Answered)
}

func BenchmarkDecision(b *testing.B) {
	d := newBenchDispatcher()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.serveRequest(i)
	}
}
