package qledge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlsetting"
)

// TestConnectionsThatWaitToBeAcceptedAreAnsweredBeforeStop guards against callers whose
// connections a stopping router resets, since it accepted fewer than came.
func TestConnectionsThatWaitToBeAcceptedAreAnsweredBeforeStop(t *testing.T) {
	const (
		callers = 80
		// The router accepts 40 connections a second while it is paced.
		fraction = 0.02
	)
	upstream := newWorkingUpstream(t)
	store := newFakeStore()
	store.addRoutes(upstream.address())
	router := startEdge(t, "r1", store, func(settings *qlsetting.Edge) { settings.ProcessorFraction = fraction })
	router.awaitCount(t, len(store.upstreams))
	for range 20 {
		router.edge.acceptPace.RecordLag(router.edge.clock(), time.Second)
	}
	var running sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for n := range callers {
		caller, err := dialRouter(router.callers)
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() {
			defer func() { _ = caller.conn.Close() }()
			answer := caller.ask(_orderPath, fmt.Sprint(n), 0)
			mu.Lock()
			defer mu.Unlock()
			statuses[answer.status]++
		})
	}
	if err := router.stop(); err != nil {
		t.Error(err)
	}
	running.Wait()
	t.Logf("answers by status: %v", statuses)
	if got := statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable]; got != callers {
		t.Errorf("answers: got %d, want %d", got, callers)
	}
}
