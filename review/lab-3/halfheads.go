package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

func init() { cases["half-heads"] = halfHeads }

// halfHeads: a crowd of clients that stop half-way through the head of a request and stay open.
func halfHeads(w *world) {
	zones := []string{"z1", "z2", "z3"}
	w.configure(configuration{
		routes:   []map[string]any{route("orders", "non_idempotent", "ledger", 1000, 150, 1, false), route("stock", "idempotent", "ledger", 1000, 150, 2, false)},
		services: []map[string]any{{"name": "ledger", "max-connections": 100, "health-path": "/healthz"}},
		tenants:  []map[string]any{{"name": "t1", "api-keys": []string{"k1"}}, {"name": "t2", "api-keys": []string{"k2"}}, {"name": "t3", "api-keys": []string{"k3"}}, {"name": "t4", "api-keys": []string{"k4"}}},
	})
	for i := range 3 {
		w.startReplica(replicaConfig{id: fmt.Sprintf("ledger-%d", i), service: "ledger", zone: zones[i], slots: 6, work: 20 * time.Millisecond})
	}
	w.configureRouters(routerConfig{count: 3, zones: zones, memoryMB: 134})
	w.startRouters()
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var served, not atomic.Int64
	for i := range 12 {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := w.send(request{router: w.routers[(i+n)%3], method: "POST", path: "/orders/x", key: fmt.Sprintf("k%d", 1+i%3), deadline: time.Second, body: []byte("an order"), client: newClient()})
				if a.status == 200 {
					served.Add(1)
				} else {
					not.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	w.note("calm: ordinary callers served %d, not %d", served.Swap(0), not.Swap(0))
	count, _ := strconv.Atoi(os.Getenv("CROWD"))
	if count == 0 {
		count = 7200
	}
	var opened atomic.Int64
	if w.trouble {
		for i := range count {
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(i%1000) * time.Millisecond):
					}
					c, err := net.DialTimeout("tcp4", w.routers[i%3].caller, time.Second)
					if err != nil {
						continue
					}
					opened.Add(1)
					_, _ = fmt.Fprintf(c, "POST /orders/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token k4\r\nX-Attempt-Id: %s\r\nX-Dead", w.newAttempt())
					_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
					_, _ = io.Copy(io.Discard, c)
					_ = c.Close()
				}
			}()
		}
	}
	var lastServed, lastNot int64
	for i := range 10 {
		time.Sleep(2 * time.Second)
		a, b := served.Swap(0), not.Swap(0)
		if i >= 2 {
			lastServed, lastNot = lastServed+a, lastNot+b
		}
		w.note("ordinary callers served %d, not %d; crowd opened %d; rss %d %d %d", a, b, opened.Swap(0), w.routers[0].status("VmRSS"), w.routers[1].status("VmRSS"), w.routers[2].status("VmRSS"))
	}
	close(stop)
	w.summary()
	w.verdict(3*lastServed < lastNot, "served %d, not %d", lastServed, lastNot)
}
