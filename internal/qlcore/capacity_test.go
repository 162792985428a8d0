//go:build !race

package qlcore_test

import (
	"fmt"
	"runtime"
	"sort"
	"testing"
	"time"
)

// The target for each node, from the users' letter.
const (
	_targetCore  = 0.015
	_targetHeap  = 32 << 20
	_targetBytes = 3000.0
	// _frameOverhead is what a frame adds to its messages on a connection;
	// internal/qlpeer measures it.
	_frameOverhead = 4
	// _keyedPart is the assumed part of requests with an idempotency key.
	_keyedPart = 0.1
	// _lightPart is the part of the load from customers that are not
	// backlogged. Of the 2,300 that are, some wait at each router.
	_lightPart    = 0.6
	_hotCustomers = 12
)

type size struct {
	nodes     int
	replicas  int
	customers int
	slots     int
	rate      float64
	// limit is each customer's bound on requests in flight. With one below
	// the number of dispatchers, most of these must ask before they grant.
	limit int
}

// sizes from today's users to the target, load for each node kept alike.
var _sizes = []size{
	{nodes: 9, replicas: 20, customers: 15, slots: 48, rate: 80, limit: 2000},
	{nodes: 40, replicas: 318, customers: 2360, slots: 48, rate: 944, limit: 2000},
	{nodes: 130, replicas: 1033, customers: 7670, slots: 48, rate: 3067, limit: 2000},
	{nodes: 390, replicas: 3100, customers: 23000, slots: 48, rate: 9200, limit: 2000},
}

// _tightLimit is the target's size with limits below the number of nodes.
var _tightLimit = size{
	nodes:     390,
	replicas:  3100,
	customers: 23000,
	slots:     48,
	rate:      9200,
	limit:     64,
}

func heapAfterCollection() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

type costs struct {
	core      float64
	heap      uint64
	sentBytes float64
	recvBytes float64
	sent      float64
	received  float64
	started   float64
	kinds     map[string]float64
}

// measureCosts runs a bench for 60 s of its clock after 50 s of warming up.
func measureCosts(s size) costs {
	before := heapAfterCollection()
	b := newBench(s)
	for range 5000 {
		b.step()
	}
	b.sent, b.sentBytes = make(map[string]int), make(map[string]int)
	b.received, b.recvBytes = 0, 0
	b.started = 0
	const seconds = 60
	began := time.Now()
	for range seconds * 100 {
		b.step()
	}
	took := time.Since(began)
	c := costs{
		core:      took.Seconds() / seconds,
		heap:      heapAfterCollection() - before,
		recvBytes: float64(b.recvBytes) / seconds,
		received:  float64(b.received) / seconds,
		started:   float64(b.started) / seconds,
		kinds:     make(map[string]float64),
	}
	for kind, bytes := range b.sentBytes {
		c.sentBytes += float64(bytes) / seconds
		c.sent += float64(b.sent[kind]) / seconds
		c.kinds[kind] = float64(bytes) / seconds
	}
	runtime.KeepAlive(b)
	return c
}

// TestBoundOnControlAtTarget prints the rows of docs/CAPACITY.md and holds
// processor time and heap to the target.
func TestBoundOnControlAtTarget(t *testing.T) {
	for _, s := range append(_sizes, _tightLimit) {
		c := measureCosts(s)
		t.Logf("%d nodes, %d replicas, %d customers, limits %d: %.1f requests/s started, core %.2f%%, heap %.1f MB, sent %.0f B/s in %.0f messages/s, received %.0f B/s in %.0f messages/s",
			s.nodes, s.replicas, s.customers, s.limit, c.started, 100*c.core, float64(c.heap)/(1<<20), c.sentBytes, c.sent, c.recvBytes, c.received)
		t.Logf("  bytes/s sent by kind: %s", kindsText(c.kinds))
		if c.core > _targetCore {
			t.Errorf("%d nodes: got %.2f%% of a core, want at most %.2f%%", s.nodes, 100*c.core, 100*_targetCore)
		}
		if c.heap > _targetHeap {
			t.Errorf("%d nodes: got %d bytes of heap, want at most %d", s.nodes, c.heap, _targetHeap)
		}
	}
}

// TestBoundOnControlBytesAtTarget holds the bytes sent to the target.
func TestBoundOnControlBytesAtTarget(t *testing.T) {
	c := measureCosts(_sizes[len(_sizes)-1])
	if c.sentBytes > _targetBytes {
		t.Errorf("got %.0f bytes/s sent, want at most %.0f", c.sentBytes, _targetBytes)
	}
}

// TestBoundOnControlBytesWithLowLimits does so with every customer's limit below
// the number of nodes, so that most dispatchers must ask before they grant.
func TestBoundOnControlBytesWithLowLimits(t *testing.T) {
	c := measureCosts(_tightLimit)
	if c.sentBytes > _targetBytes {
		t.Errorf("got %.0f bytes/s sent, want at most %.0f", c.sentBytes, _targetBytes)
	}
}

// TestBoundOnConfigurationChange measures a change of one customer at the
// target's size: the time to check it and what it adds to the heap.
func TestBoundOnConfigurationChange(t *testing.T) {
	s := _sizes[len(_sizes)-1]
	before := heapAfterCollection()
	parts := targetParts(s, s.limit)
	began := time.Now()
	first := buildParts(nil, 1, parts)
	whole := time.Since(began)
	heap := heapAfterCollection() - before
	changed := targetParts(s, s.limit+1)
	began = time.Now()
	const changes = 10
	for i := range changes {
		buildParts(first, uint64(2+i), changed)
	}
	each := time.Since(began) / changes
	bytes := 0
	for _, part := range parts {
		bytes += len(part)
	}
	perDay := 4300 * each.Seconds() / 86400
	t.Logf("%d parts, %d bytes; checked whole in %v, one change in %v (%.3f%% of a core at 4300 a day); heap %.1f MB",
		len(parts), bytes, whole, each, 100*perDay, float64(heap)/(1<<20))
	if want := 0.005; perDay > want {
		t.Errorf("changes: got %.3f%% of a core, want at most %.3f%%", 100*perDay, 100*want)
	}
	runtime.KeepAlive(first)
}

func kindsText(kinds map[string]float64) string {
	names := make([]string, 0, len(kinds))
	for kind := range kinds {
		names = append(names, kind)
	}
	sort.Strings(names)
	text := ""
	for _, kind := range names {
		text += fmt.Sprintf("%s %.0f ", kind, kinds[kind])
	}
	return text
}
