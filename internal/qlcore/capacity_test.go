//go:build !race

package qlcore_test

import (
	"fmt"
	"runtime"
	"sort"
	"syscall"
	"testing"
	"time"
)

// The resource budget of the control work of each router.
const (
	_targetCoreFraction       = 0.015
	_targetHeapBytes          = 32 << 20
	_targetSentBytesPerSecond = 3000.0
	// _frameOverhead is the number of bytes that a frame adds to its messages
	// on a connection; internal/qlpeer measures it.
	_frameOverhead = 4
	// _keyedFraction is the assumed fraction of requests with an idempotency
	// key.
	_keyedFraction = 0.1
	// _lightFraction is the fraction of the load from customers that are not
	// backlogged. At each router, requests of _backloggedCustomers of the
	// fleet's 2,300 backlogged customers wait.
	_lightFraction       = 0.6
	_backloggedCustomers = 12
)

type fleetSize struct {
	nodes     int
	upstreams int
	customers int
	slots     int
	rate      float64
	// limit is each customer's limit on requests in flight. If it is below the
	// number of dispatchers, most of them need a lease before they can grant.
	limit int
}

// _fleetSizes grow from a small fleet to the target size, with about the same
// load on each router.
var _fleetSizes = []fleetSize{
	{nodes: 9, upstreams: 20, customers: 15, slots: 48, rate: 80, limit: 2000},
	{nodes: 40, upstreams: 318, customers: 2360, slots: 48, rate: 944, limit: 2000},
	{nodes: 130, upstreams: 1033, customers: 7670, slots: 48, rate: 3067, limit: 2000},
	{nodes: 390, upstreams: 3100, customers: 23000, slots: 48, rate: 9200, limit: 2000},
}

// _tightLimit is the target size with customer limits below the number of
// routers.
var _tightLimit = fleetSize{
	nodes:     390,
	upstreams: 3100,
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

// processorTime returns the processor time that this process has used, with that of the garbage
// collector. Other processes don't count, as they would by the clock.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

type controlCosts struct {
	coreFraction float64
	heap         uint64
	sentBytes    float64
	recvBytes    float64
	sent         float64
	received     float64
	started      float64
	kinds        map[string]float64
}

// measureCosts runs a bench for 60 s of simulated time after a warm-up of 50 s.
func measureCosts(s fleetSize) controlCosts {
	before := heapAfterCollection()
	b := newBench(s)
	for range 5000 {
		b.step()
	}
	b.sent, b.sentBytes = make(map[string]int), make(map[string]int)
	b.received, b.recvBytes = 0, 0
	b.started = 0
	const seconds = 60
	began := processorTime()
	for range seconds * 100 {
		b.step()
	}
	took := processorTime() - began
	c := controlCosts{
		coreFraction: took.Seconds() / seconds,
		heap:         heapAfterCollection() - before,
		recvBytes:    float64(b.recvBytes) / seconds,
		received:     float64(b.received) / seconds,
		started:      float64(b.started) / seconds,
		kinds:        make(map[string]float64),
	}
	for kind, bytes := range b.sentBytes {
		c.sentBytes += float64(bytes) / seconds
		c.sent += float64(b.sent[kind]) / seconds
		c.kinds[kind] = float64(bytes) / seconds
	}
	runtime.KeepAlive(b)
	return c
}

// TestBoundOnControlAtTarget checks the control work's processor time and heap
// against the budget, and logs the rows of the table in docs/CAPACITY.md.
func TestBoundOnControlAtTarget(t *testing.T) {
	for _, s := range append(_fleetSizes, _tightLimit) {
		c := measureCosts(s)
		t.Logf("%d nodes, %d upstreams, %d customers, limits %d: %.1f requests/s started, core %.2f%%, heap %.1f MB, sent %.0f B/s in %.0f messages/s, received %.0f B/s in %.0f messages/s",
			s.nodes, s.upstreams, s.customers, s.limit, c.started, 100*c.coreFraction, float64(c.heap)/(1<<20), c.sentBytes, c.sent, c.recvBytes, c.received)
		t.Logf("  bytes/s sent by kind: %s", kindsText(c.kinds))
		if c.coreFraction > _targetCoreFraction {
			t.Errorf("%d nodes: got %.2f%% of a core, want at most %.2f%%", s.nodes, 100*c.coreFraction, 100*_targetCoreFraction)
		}
		if c.heap > _targetHeapBytes {
			t.Errorf("%d nodes: got %d bytes of heap, want at most %d", s.nodes, c.heap, _targetHeapBytes)
		}
	}
}

// TestBoundOnControlBytesAtTarget checks the bytes sent against the budget.
func TestBoundOnControlBytesAtTarget(t *testing.T) {
	c := measureCosts(_fleetSizes[len(_fleetSizes)-1])
	if c.sentBytes > _targetSentBytesPerSecond {
		t.Errorf("got %.0f bytes/s sent, want at most %.0f", c.sentBytes, _targetSentBytesPerSecond)
	}
}

// TestBoundOnControlBytesWithLowLimits checks the bytes sent when every
// customer's limit is below the number of routers, so that most dispatchers
// need a lease before they can grant.
func TestBoundOnControlBytesWithLowLimits(t *testing.T) {
	c := measureCosts(_tightLimit)
	if c.sentBytes > _targetSentBytesPerSecond {
		t.Errorf("got %.0f bytes/s sent, want at most %.0f", c.sentBytes, _targetSentBytesPerSecond)
	}
}

// TestBoundOnConfigurationChange checks the processor time of adopting changes
// of one customer at the target size, and logs the configuration's heap size.
func TestBoundOnConfigurationChange(t *testing.T) {
	s := _fleetSizes[len(_fleetSizes)-1]
	before := heapAfterCollection()
	parts := targetParts(s, s.limit)
	began := time.Now()
	first := buildParts(nil, 1, parts)
	buildTime := time.Since(began)
	heap := heapAfterCollection() - before
	changed := targetParts(s, s.limit+1)
	began = time.Now()
	const changes = 10
	for i := range changes {
		buildParts(first, uint64(2+i), changed)
	}
	changeTime := time.Since(began) / changes
	bytes := 0
	for _, part := range parts {
		bytes += len(part)
	}
	coreFraction := 4300 * changeTime.Seconds() / 86400
	t.Logf("%d parts, %d bytes; built whole in %v, one change in %v (%.3f%% of a core at 4300 changes a day); heap %.1f MB",
		len(parts), bytes, buildTime, changeTime, 100*coreFraction, float64(heap)/(1<<20))
	if want := 0.005; coreFraction > want {
		t.Errorf("changes: got %.3f%% of a core, want at most %.3f%%", 100*coreFraction, 100*want)
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
