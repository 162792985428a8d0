//go:build !race

package qldispatch_test

import (
	"testing"
	"time"
)

// TestBoundOnDecision checks the target of issue 4: a decision takes less than
// 2 microseconds and allocates nothing. The fastest of several runs counts,
// since other processes share the machine.
func TestBoundOnDecision(t *testing.T) {
	best := time.Hour
	allocations := int64(1)
	for range 5 {
		result := testing.Benchmark(BenchmarkDecision)
		best = min(best, time.Duration(result.NsPerOp()))
		allocations = min(allocations, result.AllocsPerOp())
	}
	t.Logf("one decision: %v, %d allocations", best, allocations)
	if want := 2 * time.Microsecond; best > want {
		t.Errorf("one decision: got %v, want at most %v", best, want)
	}
	if allocations != 0 {
		t.Errorf("one decision: got %d allocations, want 0", allocations)
	}
}
