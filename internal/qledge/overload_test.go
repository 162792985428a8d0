package qledge

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlshed"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// slowProcessor makes a router measure the lag of a VM whose processor needs a fixed time
// for each request that this router handles.
type slowProcessor struct {
	router *runningEdge
	// served and refused are the numbers of results at the last step.
	served  int64
	refused int64
	backlog time.Duration
}

const (
	// _slowServeTime and _slowRefuseTime are the processor time of a request that is
	// served, and of one that is refused.
	_slowServeTime  = 5 * time.Millisecond
	_slowRefuseTime = 100 * time.Microsecond
	_slowStep       = 10 * time.Millisecond
)

// run reports the lag until the context ends.
func (p *slowProcessor) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(_slowStep)
		served, refused := p.results()
		p.backlog += time.Duration(served-p.served)*_slowServeTime + time.Duration(refused-p.refused)*_slowRefuseTime
		p.backlog = max(p.backlog-_slowStep, 0)
		p.served, p.refused = served, refused
		p.router.edge.fleet.Call(func(now time.Duration) { p.router.edge.tick(now, p.backlog) })
	}
}

// results returns how many requests the router has handled, without those that it refused
// since its processor is overloaded, and how many it has refused.
func (p *slowProcessor) results() (served, refused int64) {
	p.router.edge.forwarder.Metrics().Do(func(name string, value expvar.Var) {
		results, ok := value.(*expvar.Map)
		if name != "results" || !ok {
			return
		}
		results.Do(func(result expvar.KeyValue) {
			count, ok := result.Value.(*expvar.Int)
			if !ok {
				return
			}
			if result.Key == qlcode.RouterOverloaded.Name() {
				refused += count.Value()
				return
			}
			served += count.Value()
		})
	})
	return served, refused
}

// callerGroup sends one customer's requests on kept connections, at a steady rate.
type callerGroup struct {
	customer string
	callers  int
	pause    time.Duration
	sent     atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
}

func (g *callerGroup) run(ctx context.Context, address string, measured *atomic.Bool) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
		},
	}
	for ctx.Err() == nil {
		status := sendAs(client, address, g.customer)
		if measured.Load() {
			g.sent.Add(1)
			switch status {
			case http.StatusServiceUnavailable:
				g.refused.Add(1)
			case 0:
				g.failed.Add(1)
			}
		}
		time.Sleep(g.pause)
	}
}

// sendAs returns the status of the answer to a request of the customer, or 0.
func sendAs(client *http.Client, address, customer string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/x/", nil)
	if err != nil {
		return 0
	}
	request.Header.Set(_keyHeader, customer)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	if closeErr := response.Body.Close(); err != nil || closeErr != nil {
		return 0
	}
	return response.StatusCode
}

// TestCallersOfOneSmallVMGetWhatTheFleetHasRoomFor sends most of a fleet's requests to its
// smallest VM while the others idle.
func TestCallersOfOneSmallVMGetWhatTheFleetHasRoomFor(t *testing.T) {
	const wantServed = 0.95
	store := newFakeStore()
	fleet := startSizedFleet(t, []float64{1, 0.9, 0.1}, store, store, store)
	for _, r := range fleet {
		r.awaitState(t, "1 u1")
	}
	small := fleet[2]
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	processor := &slowProcessor{
		router: small,
	}
	running.Go(func() { processor.run(ctx) })
	// The VM can serve 200 requests a second.
	heavy := &callerGroup{
		customer: _heavyCustomer,
		callers:  24,
		pause:    40 * time.Millisecond,
	}
	light := &callerGroup{
		customer: _lightCustomer,
		callers:  4,
		pause:    200 * time.Millisecond,
	}
	var measured atomic.Bool
	for _, group := range []*callerGroup{heavy, light} {
		for range group.callers {
			running.Go(func() { group.run(ctx, small.callers, &measured) })
		}
	}
	time.Sleep(time.Second)
	measured.Store(true)
	time.Sleep(3 * time.Second)
	cancel()
	running.Wait()
	for _, group := range []*callerGroup{heavy, light} {
		sent, served := group.sent.Load(), group.sent.Load()-group.refused.Load()-group.failed.Load()
		t.Logf("%s: %d requests, %d refused, %d failed", group.customer, sent, group.refused.Load(), group.failed.Load())
		if float64(served) < wantServed*float64(sent) {
			t.Errorf("%s: got %d of %d requests served, want %v of them", group.customer, served, sent, wantServed)
		}
	}
	var refusals []qlshed.CustomerRefusals
	small.edge.fleet.Call(func(now time.Duration) { refusals = small.edge.shedder.TopRefusals(now, 2) })
	t.Logf("refusals: %v", refusals)
}
