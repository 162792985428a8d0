package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["short-parts"] = shortParts }

const (
	partsMemoryMB = 134
	partsCount    = 1800
	partsRate     = 40
	partsTime     = 60 * time.Second
)

// shortParts: some clients send prompts of legal size that are made of very many short parts. Without
// the trouble, they send as many prompts of the usual three parts. The platform's part is to kill a process that
// exceeds its memory, and to start it again.
func shortParts(w *world) {
	zones := []string{"z1", "z2", "z3"}
	w.configure(configuration{
		routes: []map[string]any{route("match", "streaming", "lm", 3000, 500, 1, false), route("orders", "non_idempotent", "ledger", 1000, 150, 1, true)},
		services: []map[string]any{{"name": "lm", "max-connections": 620, "health-path": "/healthz", "engine": map[string]any{"slots": 128, "kv-capacity": 460663, "stride": 5}},
			{"name": "ledger", "max-connections": 100, "health-path": "/healthz"}},
		tenants: []map[string]any{{"name": "t1", "api-keys": []string{"k1"}}, {"name": "t2", "api-keys": []string{"k2"}}},
	})
	for i := range 18 {
		w.startReplica(replicaConfig{id: fmt.Sprintf("lm-%d", i), service: "lm", zone: zones[i%3], slots: 128, events: 5, work: 50 * time.Millisecond, gap: 20 * time.Millisecond})
	}
	for i := range 3 {
		w.startReplica(replicaConfig{id: fmt.Sprintf("ledger-%d", i), service: "ledger", zone: zones[i], slots: 6, work: 30 * time.Millisecond})
	}
	w.configureRouters(routerConfig{count: 3, zones: zones, memoryMB: partsMemoryMB})
	w.startRouters()
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var ordinary, ordinaryNot, crowd, crowdNot atomic.Int64
	each := func(perSecond int, send func(i int) bool, served, notServed *atomic.Int64) {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			go func() {
				if send(i) {
					served.Add(1)
				} else {
					notServed.Add(1)
				}
			}()
		}
	}
	client := newClient()
	go each(60, func(i int) bool {
		a := w.send(request{router: w.routers[i%3], method: "POST", path: "/match/x", key: "k1", deadline: 3 * time.Second, body: []byte("a prompt"), tokens: "300,25",
			prefix: fmt.Sprintf("5c1e07a2:100,91bd3f%02x:100,%x:100", i%40, 0x10000000+i), client: client})
		return a.status == 200 && a.err == nil
	}, &ordinary, &ordinaryNot)
	go each(20, func(i int) bool {
		a := w.send(request{router: w.routers[i%3], method: "POST", path: "/orders/x", deadline: time.Second, body: []byte("an order"), client: client})
		return a.status == 200 && a.err == nil
	}, &ordinary, &ordinaryNot)
	time.Sleep(4 * time.Second)
	w.note("calm: ordinary callers served %d, not %d", ordinary.Swap(0), ordinaryNot.Swap(0))
	longest := 0
	go each(partsRate, func(i int) bool {
		prefix := fmt.Sprintf("5c1e07a2:600,77bd3f%02x:600,%x:600", i%40, 0x20000000+i)
		if w.trouble {
			var text strings.Builder
			for n := range partsCount {
				fmt.Fprintf(&text, "%x:1,", 0x100000+i*partsCount+n)
			}
			prefix = strings.TrimSuffix(text.String(), ",")
			longest = max(longest, len(prefix))
		}
		a := w.send(request{router: w.routers[i%3], method: "POST", path: "/match/x", key: "k2", deadline: 3 * time.Second, body: []byte("a prompt"), tokens: fmt.Sprintf("%d,25", partsCount), prefix: prefix, client: client})
		return a.status == 200 && a.err == nil
	}, &crowd, &crowdNot)
	began, lastNote, highest := time.Now(), time.Now(), 0
	kills := make([]int, len(w.routers))
	restartAt := make([]time.Time, len(w.routers))
	all, lastServed, lastNotServed := 0, int64(0), int64(0)
	for time.Since(began) < partsTime {
		time.Sleep(20 * time.Millisecond)
		for i, r := range w.routers {
			if r.hasEnded() {
				if time.Now().After(restartAt[i]) {
					r.start()
				}
				continue
			}
			resident := r.status("VmRSS")
			highest = max(highest, resident)
			if resident > partsMemoryMB*1024 {
				w.note("%s has %d KiB, above its memory of %d MiB: killed, %.1f s after these prompts began", r.name, resident, partsMemoryMB, time.Since(began).Seconds())
				r.signal(syscall.SIGKILL)
				<-r.ended
				kills[i]++
				all++
				restartAt[i] = time.Now().Add(500 * time.Millisecond)
			}
		}
		if time.Since(lastNote) > 2*time.Second {
			lastNote = time.Now()
			sizes := []int{}
			for _, r := range w.routers {
				sizes = append(sizes, r.status("VmRSS"))
			}
			served, notServed := ordinary.Swap(0), ordinaryNot.Swap(0)
			if time.Since(began) > partsTime-20*time.Second {
				lastServed, lastNotServed = lastServed+served, lastNotServed+notServed
			}
			w.note("ordinary callers served %d, not %d; the others served %d, not %d; %d KiB", served, notServed, crowd.Swap(0), crowdNot.Swap(0), sizes)
		}
	}
	close(stop)
	time.Sleep(time.Second)
	w.note("the longest X-Prefix-Hash had %d bytes", longest)
	w.summary()
	lost := 0
	w.answers.mu.Lock()
	for _, a := range w.answers.list {
		if a.err != nil {
			lost++
		}
	}
	w.answers.mu.Unlock()
	// The bound for "still served" is that of RECOVER: a quarter.
	w.verdict(all > 0 || 3*lastServed < lastNotServed, "of the requests of ordinary callers in the last 20 s, %d were served and %d not; processes exceeded their memory %d times (%v by router), at most %d KiB of %d KiB; %d requests without a whole answer",
		lastServed, lastNotServed, all, kills, highest, partsMemoryMB*1024, lost)
}
