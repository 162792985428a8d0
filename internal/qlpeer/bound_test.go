//go:build !race

package qlpeer_test

import (
	"runtime"
	"testing"
	"time"
)

func heapAndStackBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// TestBoundOnConnectionMemory measures the memory that a router's connection to
// a peer holds after messages each way, for both ends together, since both are
// in this process. The race detector would add memory of its own.
func TestBoundOnConnectionMemory(t *testing.T) {
	const count = 100
	pairs := make([]*routerPair, 0, count)
	for range count {
		pairs = append(pairs, newRouterPair(t))
	}
	before := heapAndStackBytes()
	for _, p := range pairs {
		p.peers[0].Send("r1", newOffer(1))
		for p.received[1].Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		p.exchange(t)
	}
	each := (heapAndStackBytes() - before) / count
	runtime.KeepAlive(pairs)
	t.Logf("a connection, both ends: %d bytes of heap and stacks", each)
	// In a fleet of 390 nodes, the target, a router's 389 ends must stay under
	// half of 32 MB.
	if want := int64(2 * 16 << 20 / 389); each > want {
		t.Errorf("a connection, both ends: got %d bytes, want at most %d", each, want)
	}
}
