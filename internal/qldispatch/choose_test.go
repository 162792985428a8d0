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

// engines are upstreams with small prefix caches at one dispatcher.
type engines struct {
	dispatcher *qldispatch.Dispatcher
	random     *rand.Rand
	now        time.Duration
	grants     []qldispatch.Grant
	running    map[string]int
	caches     map[string]*simplelru.LRU[string, bool]
	hits       int
	requests   int
	mostApart  int
}

const (
	_engines        = 3
	_engineSlots    = 8
	_cachedPrefixes = 16
)

func newEngines(caches bool) *engines {
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
		PrefixCaching: caches,
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

// request starts a customer's request with one of its four prefixes.
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
	least := _engineSlots
	for id := range e.caches {
		least = min(least, e.running[id])
	}
	e.mostApart = max(e.mostApart, e.running[grant.Upstream()]-least)
}

func (e *engines) end(grant qldispatch.Grant) {
	e.running[grant.Upstream()]--
	e.dispatcher.SetLocalDemand(e.now, grant.Customer(), "m", 0, 10, e.grants[len(e.grants)-1].Number())
	e.dispatcher.Done(e.now, "r1", grant.Number(), 10, qldispatch.Answered)
}

// measure keeps half of the slots in use and returns the part of the requests
// whose prefix was cached, and how many requests engines were apart.
func (e *engines) measure() (hits float64, apart int) {
	const requests = 20000
	first := 0
	for range requests {
		e.now += 10 * time.Millisecond
		e.request(fmt.Sprint("customer-", e.random.IntN(15)))
		if len(e.grants)-first > _engines*_engineSlots/2 {
			// Of those that run, an earlier one ends, not always the first.
			i := first + e.random.IntN(4)
			e.end(e.grants[i])
			e.grants[first], e.grants[i] = e.grants[i], e.grants[first]
			first++
		}
	}
	return float64(e.hits) / float64(e.requests), e.mostApart
}

// TestPrefixesAreFoundAgain compares engines' cache hits with and without the
// customers' own order of engines, 15 customers of four prefixes each.
func TestPrefixesAreFoundAgain(t *testing.T) {
	without, _ := newEngines(false).measure()
	with, apart := newEngines(true).measure()
	t.Logf("prefixes found: %.3f by load alone, %.3f by customer within a quarter of the load", without, with)
	if want := 1.5 * without; with < want {
		t.Errorf("prefixes found: got %.3f, want at least %.3f", with, want)
	}
	// One more is the request itself.
	if want := _engineSlots/4 + 1; apart > want {
		t.Errorf("requests apart: got %d, want at most %d", apart, want)
	}
}
