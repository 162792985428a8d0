//go:build !race

package qlplace

import (
	"math"
	"testing"
)

// _runs is how often the benchmark runs; the least figure counts, since other
// processes only add to it.
const _runs = 5

// TestBoundOnAsk bounds a decision at 60 engines: 5 microseconds, without
// allocation.
func TestBoundOnAsk(t *testing.T) {
	bound(t, BenchmarkAsk)
}

// TestBoundOnAskAtTheTarget bounds a decision at 3,100 engines, which are
// divided into groups.
func TestBoundOnAskAtTheTarget(t *testing.T) {
	bound(t, BenchmarkAskAtTheTarget)
}

func bound(t *testing.T, benchmark func(b *testing.B)) {
	t.Helper()
	least := int64(math.MaxInt64)
	for range _runs {
		result := testing.Benchmark(benchmark)
		least = min(least, result.NsPerOp())
		if got := result.AllocsPerOp(); got != 0 {
			t.Errorf("a decision allocates %d times, want none", got)
		}
	}
	if most := int64(5000); least > most {
		t.Errorf("a decision takes %d ns, want %d at most", least, most)
	}
}
