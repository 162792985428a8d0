package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

func init() { cases["unfinished"] = unfinished }

const (
	unfinishedMemoryMB = 134
	unfinishedRate     = 1500 // connections a second
	unfinishedBody     = 65000
)

// unfinished: crowds at two of three routers send bodies of legal size that stop just short of their end, and
// stays open. Without the trouble, the same clients send the whole bodies.
func unfinished(w *world) {
	w.configure(configuration{
		routes:   []map[string]any{route("orders", "non_idempotent", "ledger", 1000, 150, 1, true), route("notes", "idempotent", "notes", 1000, 150, 1, true)},
		services: []map[string]any{{"name": "ledger", "max-connections": 100, "health-path": "/healthz"}, {"name": "notes", "max-connections": 1000, "health-path": "/healthz"}},
		tenants:  []map[string]any{{"name": "t1", fieldKeys: []string{"k1"}}},
	})
	for i := range 3 {
		w.startReplica(replicaConfig{id: fmt.Sprintf("ledger-%d", i), service: "ledger", zone: "z1", slots: 6, work: 20 * time.Millisecond})
		w.startReplica(replicaConfig{id: fmt.Sprintf("notes-%d", i), service: "notes", zone: "z1", slots: 200, work: 5 * time.Millisecond})
	}
	w.configureRouters(routerConfig{count: 3, zones: []string{"z1"}, memoryMB: unfinishedMemoryMB})
	w.startRouters()
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var served, notServed, opened, sent atomic.Int64
	for i := range 6 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := w.send(request{router: w.routers[i%2], method: "POST", path: "/orders/x", deadline: time.Second, body: []byte("an order"), client: newClient()})
				if a.status == 200 {
					served.Add(1)
				} else {
					notServed.Add(1)
				}
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	w.note("calm: ordinary callers served %d, not %d; %d KiB", served.Swap(0), notServed.Swap(0), w.routers[0].status("VmRSS"))
	body := bytes.Repeat([]byte("b"), unfinishedBody)
	if w.trouble {
		body = body[:unfinishedBody-100]
	}
	for _, r := range w.routers[:2] {
		go func() {
			ticker := time.NewTicker(time.Second / unfinishedRate)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				go func() {
					c, err := net.DialTimeout("tcp4", r.caller, time.Second)
					if err != nil {
						return
					}
					defer func() { _ = c.Close() }()
					opened.Add(1)
					_ = c.SetDeadline(time.Now().Add(15 * time.Second))
					head := fmt.Sprintf("POST /notes/x HTTP/1.1\r\nHost: shop.example\r\n"+nameAttempt+": %s\r\n"+nameDeadline+": 10000\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", w.newAttempt(), unfinishedBody)
					n, _ := c.Write(append([]byte(head), body...))
					sent.Add(int64(n))
					_, _ = io.Copy(io.Discard, c)
				}()
			}
		}()
	}
	began, lastNote, highest, most := time.Now(), time.Now(), 0, 0.0
	ends, restartAt := make([]int, len(w.routers)), make([]time.Time, len(w.routers))
	for time.Since(began) < 70*time.Second && !faultBroken(ends) {
		time.Sleep(20 * time.Millisecond)
		resident, _ := w.watchMemory(unfinishedMemoryMB, ends, restartAt)
		highest = max(highest, resident)
		if past := time.Since(lastNote); past > time.Second {
			lastNote = time.Now()
			mbits := float64(sent.Swap(0)) * 8 / 1e6 / past.Seconds() / 2
			most = max(most, mbits)
			w.note("ordinary callers served %d, not %d; the crowds opened %d, sent %.0f Mbit/s to each router; %d, %d and %d KiB", served.Swap(0), notServed.Swap(0), opened.Swap(0), mbits, w.routers[0].status("VmRSS"), w.routers[1].status("VmRSS"), w.routers[2].status("VmRSS"))
		}
	}
	w.note("%.1f s since the crowds came", time.Since(began).Seconds())
	close(stop)
	w.summary()
	w.verdict(faultBroken(ends), "processes ended for their memory %v times, by router; at most %d KiB of %d KiB; a crowd sent at most %.0f Mbit/s", ends, highest, unfinishedMemoryMB*1024, most)
}
