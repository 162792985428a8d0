package qlbudget

import (
	"testing"
	"time"
)

func TestRoutersTogetherKeepTheBound(t *testing.T) {
	const routers, ratio, allowance = 7, 0.2, 54.0
	budgets := make([]*Budget, routers)
	for i := range budgets {
		budgets[i] = New(Config{
			Ratio:     ratio,
			Window:    10 * time.Second,
			Allowance: allowance,
		})
	}
	// Callers are spread unevenly, and every request fails.
	requests, retries := 0, 0
	for step := range 1000 {
		now := time.Duration(step) * 10 * time.Millisecond
		for i, budget := range budgets {
			if step%(i+1) != 0 {
				continue
			}
			budget.RecordRequest(now)
			requests++
			for budget.Take(now, routers) {
				retries++
			}
		}
	}
	if got, limit := float64(retries), ratio*float64(requests)+allowance; got > limit {
		t.Errorf("retries of %d requests: got %.0f, want %.1f at most", requests, got, limit)
	}
	if retries < requests/10 {
		t.Errorf("retries of %d requests: got %d, want a tenth at least", requests, retries)
	}
}

func TestBudgetReturnsAfterTheWindow(t *testing.T) {
	budget := New(Config{
		Ratio:     0,
		Window:    time.Second,
		Allowance: 2,
	})
	taken := 0
	for budget.Take(0, 1) {
		taken++
	}
	if got, want := taken, 1; got != want {
		t.Fatalf("initial retries: got %d, want %d", got, want)
	}
	if budget.Take(500*time.Millisecond, 1) {
		t.Error("a retry within the window was allowed")
	}
	if !budget.Take(1100*time.Millisecond, 1) {
		t.Error("no retry was allowed after the window")
	}
}
