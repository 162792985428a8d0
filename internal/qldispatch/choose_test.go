package qldispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
)

// engines are upstreams with small prefix caches, and their dispatcher.
type engines struct {
	dispatcher *qldispatch.Dispatcher
	random     *rand.Rand
	now        time.Duration
	grants     []qldispatch.Grant
	running    map[string]int
	caches     map[string]*simplelru.LRU[string, bool]
	hits       int
	requests   int
	// maxRunningGap is by how many running requests an upstream just given a
	// request exceeded the least loaded one at most.
	maxRunningGap int
}

const (
	_engines        = 3
	_engineSlots    = 8
	_cachedPrefixes = 16
)

func newEngines(prefixCaching bool) *engines {
	e := &engines{
		random:  rand.New(rand.NewPCG(1, 2)),
		now:     10 * time.Second,
		running: make(map[string]int),
		caches:  make(map[string]*simplelru.LRU[string, bool]),
	}
	e.dispatcher = qldispatch.New(qldispatch.Config{
		Self: "r1",
		Limits: func(string) (qlfair.Limits, bool) {
			return qlfair.Limits{
				Share:       1,
				MaxInFlight: 1000,
			}, true
		},
		Rank:    func(string, string) (int, int) { return 0, 1 },
		OnGrant: func(g qldispatch.Grant) { e.grants = append(e.grants, g) },
		Monitor: &qlinvariant.Monitor{},
	})
	config := qldispatch.PoolConfig{
		Name:          "m",
		LargestCost:   100,
		PrefixCaching: prefixCaching,
	}
	for i := range _engines {
		id := fmt.Sprint("u", i)
		config.Upstreams = append(config.Upstreams, qldispatch.UpstreamConfig{
			ID:    id,
			Slots: _engineSlots,
		})
		e.caches[id], _ = simplelru.NewLRU[string, bool](_cachedPrefixes, nil)
	}
	e.dispatcher.SetPool(0, config)
	return e
}

// request starts a customer's request with one of the customer's four prefixes.
func (e *engines) request(customer string) {
	seen := uint64(0)
	if last := len(e.grants); last > 0 {
		seen = e.grants[last-1].Number()
	}
	e.dispatcher.SetLocalDemand(e.now, customer, "m", 1, 10, seen)
	grant := e.grants[len(e.grants)-1]
	e.requests++
	e.running[grant.Upstream()]++
	prefix := fmt.Sprint(customer, "/", e.random.IntN(4))
	if e.caches[grant.Upstream()].Contains(prefix) {
		e.hits++
	}
	e.caches[grant.Upstream()].Add(prefix, true)
	lowest := _engineSlots
	for id := range e.caches {
		lowest = min(lowest, e.running[id])
	}
	e.maxRunningGap = max(e.maxRunningGap, e.running[grant.Upstream()]-lowest)
}

func (e *engines) end(grant qldispatch.Grant) {
	e.running[grant.Upstream()]--
	e.dispatcher.SetLocalDemand(e.now, grant.Customer(), "m", 0, 10, e.grants[len(e.grants)-1].Number())
	e.dispatcher.Done(e.now, "r1", grant.Number(), 10, qldispatch.Answered)
}

// measure keeps half of the slots in use. It returns the fraction of requests
// whose prefix was cached, and the highest difference in running requests
// between an engine chosen and the least loaded one.
func (e *engines) measure() (hits float64, runningGap int) {
	const requests = 20000
	first := 0
	for range requests {
		e.now += 10 * time.Millisecond
		e.request(fmt.Sprint("customer-", e.random.IntN(15)))
		if len(e.grants)-first > _engines*_engineSlots/2 {
			// One of the oldest requests ends, not always the first.
			i := first + e.random.IntN(4)
			e.end(e.grants[i])
			e.grants[first], e.grants[i] = e.grants[i], e.grants[first]
			first++
		}
	}
	return float64(e.hits) / float64(e.requests), e.maxRunningGap
}

// TestCustomerOrderOfEnginesRaisesCacheHits compares the engines' cache hits
// with and without a preference for engines in the customer's own order, for 15
// customers of four prefixes each.
func TestCustomerOrderOfEnginesRaisesCacheHits(t *testing.T) {
	without, _ := newEngines(false).measure()
	with, runningGap := newEngines(true).measure()
	t.Logf("cache hits: %.3f by load alone, %.3f by the customer's order within a quarter of the slots", without, with)
	if want := 1.5 * without; with < want {
		t.Errorf("cache hits: got %.3f, want at least %.3f", with, want)
	}
	// The request itself adds one.
	if want := _engineSlots/4 + 1; runningGap > want {
		t.Errorf("running requests above the least loaded engine: got %d, want at most %d", runningGap, want)
	}
}
