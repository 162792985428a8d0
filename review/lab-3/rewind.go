package main

import (
	"time"
)

func init() { cases["rewind"] = rewind }

const drainMs = 2 * time.Second

// rewind: the store comes back from a copy some seconds old; later, with the store stable again, a
// replica leaves.
func rewind(w *world) {
	zones := []string{"z1", "z2", "z3"}
	w.configure(configuration{
		routes:   []map[string]any{route("orders", "non_idempotent", "ledger", 1000, 400, 1, false), route("stock", "idempotent", "ledger", 1000, 200, 2, true)},
		services: []map[string]any{{"name": "ledger", "max-connections": 110, "health-path": "/healthz"}, {"name": "quill", "max-connections": 180, "health-path": "/healthz", "engine": map[string]any{"slots": 16, "kv-capacity": 734163, "stride": 6}}},
		tenants:  []map[string]any{{"name": "t1", fieldKeys: []string{"k1"}}},
	})
	var ledgers []*replica
	for i, zone := range zones {
		ledgers = append(ledgers, w.startReplica(replicaConfig{id: "ledger-" + zone, service: "ledger", zone: zones[i], slots: 6, work: 250 * time.Millisecond}))
	}
	for i := range 18 {
		w.startReplica(replicaConfig{id: "quill-" + string(rune('a'+i)), service: "quill", zone: zones[i%3], slots: 16, events: 4, work: 20 * time.Millisecond, gap: 10 * time.Millisecond})
		time.Sleep(60 * time.Millisecond)
	}
	w.configureRouters(routerConfig{count: 3, zones: zones, memoryMB: 284})
	w.startRouters()
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	for _, r := range w.routers {
		for range 6 {
			go func() {
				client := newClient()
				for {
					select {
					case <-stop:
						return
					default:
					}
					w.send(request{router: r, method: "POST", path: "/orders/x", key: "k1", deadline: time.Second, body: []byte("an order"), client: client})
					time.Sleep(60 * time.Millisecond)
				}
			}()
		}
	}
	began := time.Now()
	until := func(s float64) { time.Sleep(time.Until(began.Add(time.Duration(s * float64(time.Second))))) }
	until(8)
	w.store.leave()
	w.note("the store is away at revision %d", w.store.current())
	until(9)
	copyAt := time.Time{}
	if w.trouble {
		copyAt = began.Add(2 * time.Second)
	}
	before, after := w.store.comeBack(copyAt)
	w.note("the store is back: revision %d before, %d after", before, after)
	until(12.6)
	leaver := ledgers[1]
	leaver.heartbeat.Store(false)
	revision, _ := w.store.remove("servers/" + leaver.id)
	removedAt := time.Now()
	w.note("%s leaves: the store has acknowledged the removal of its entry at revision %d", leaver.id, revision)
	until(18.6)
	w.note("%s ends, with %d requests at work", leaver.id, leaver.running.Load())
	leaver.exit()
	endedAt := time.Now()
	until(24)
	close(stop)
	time.Sleep(1500 * time.Millisecond)
	w.summary()

	late, first, last := 0, 0.0, 0.0
	w.arrivals.mu.Lock()
	for _, a := range w.arrivals.list {
		if a.replica == leaver.id && a.status != 421 && a.at.After(removedAt.Add(drainMs)) {
			late++
			last = a.at.Sub(removedAt).Seconds()
			if first == 0 {
				first = last
			}
			w.note("late arrival %s at %s, %.3f s after the removal", a.attempt, a.replica, last)
		}
	}
	w.arrivals.mu.Unlock()
	lost := 0
	w.answers.mu.Lock()
	for _, a := range w.answers.list {
		if (a.status == 0 || a.status >= 500 && a.status != 503) && a.doneAt.After(endedAt.Add(-100*time.Millisecond)) {
			lost++
			w.note("order %s by %s, sent at %.3f: status %d, error %v", a.attempt, a.router, w.seconds(a.sentAt), a.status, a.err)
		}
	}
	w.answers.mu.Unlock()
	w.verdict(late > 0, "%d requests reached the replica later than %v after its removal (%.2f to %.2f s), %d orders got no answer of a replica when it ended", late, drainMs, first, last, lost)
}
