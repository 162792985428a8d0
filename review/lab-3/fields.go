package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["short-fields"] = shortFields }

const (
	fieldsMemoryMB = 134
	fieldsClients  = 1500
)

// shortFields: clients of one customer, all at one router of a zone, send requests of legal size that
// are made of very many short fields. Without the trouble, the same clients send the same requests without these
// fields. The platform's part is to kill a process that exceeds its memory, and to start it again.
func shortFields(w *world) {
	w.configure(configuration{
		routes: []map[string]any{route("orders", "non_idempotent", "ledger", 1000, 150, 1, true), route("chat", "streaming", "quill", 15000, 400, 1, false)},
		services: []map[string]any{{"name": "ledger", "max-connections": 100, "health-path": "/healthz"},
			{"name": "quill", "max-connections": 620, "health-path": "/healthz", "engine": map[string]any{"slots": 128, "kv-capacity": 460663, "stride": 5}}},
		tenants: []map[string]any{{"name": "t1", fieldKeys: []string{"k1"}}, {"name": "t2", fieldKeys: []string{"k2"}}},
	})
	for i := range 3 {
		w.startReplica(replicaConfig{id: fmt.Sprintf("ledger-%d", i), service: "ledger", zone: "z1", slots: 6, work: 30 * time.Millisecond})
	}
	for i := range 18 {
		w.startReplica(replicaConfig{id: fmt.Sprintf("quill-%d", i), service: "quill", zone: "z1", slots: 128, events: 56, work: 50 * time.Millisecond, gap: 240 * time.Millisecond})
	}
	w.configureRouters(routerConfig{count: 3, zones: []string{"z1"}, memoryMB: fieldsMemoryMB})
	w.startRouters()
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var served, notServed, crowdServed, crowdRefused atomic.Int64
	for _, r := range w.routers {
		for range 3 {
			go func() {
				client := newClient()
				for {
					select {
					case <-stop:
						return
					default:
					}
					a := w.send(request{router: r, method: "POST", path: "/orders/x", deadline: time.Second, body: []byte("an order"), client: client})
					if a.status == 200 {
						served.Add(1)
					} else {
						notServed.Add(1)
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(3 * time.Second)
	for _, r := range w.routers {
		w.note("calm: %s has %d KiB, at most %d KiB", r.name, r.status("VmRSS"), r.status("VmHWM"))
	}
	w.note("calm: ordinary callers served %d, not %d", served.Swap(0), notServed.Swap(0))
	var fields strings.Builder
	for i := 0; w.trouble && fields.Len() < 15<<10; i++ {
		name := string(nameBytes[i%len(nameBytes)]) + string(nameBytes[i/len(nameBytes)%len(nameBytes)])
		if i >= len(nameBytes)*len(nameBytes) {
			name = fmt.Sprintf("%04d", i)
		}
		fields.WriteString(name + ":\r\n")
	}
	head := fields.String()
	for i := range fieldsClients {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.DialTimeout("tcp4", w.routers[0].caller, 2*time.Second)
				if err != nil {
					continue
				}
				reader := bufio.NewReader(c)
				for range 100 {
					_ = c.SetDeadline(time.Now().Add(20 * time.Second))
					id := w.newAttempt()
					_, err = fmt.Fprintf(c, "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\n"+nameAttempt+": %s\r\n"+nameDeadline+": 15000\r\nAuthorization: Token k2\r\nX-Model: m\r\n"+nameTokens+": 715,280\r\n"+namePrefix+": 5c1e07a2:103,91bd3f%02x:69,%s:543\r\n%sContent-Length: 2\r\n\r\nhi", id, i%256, id[8:], head)
					if err != nil {
						break
					}
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					_, err = io.Copy(io.Discard, response.Body)
					if response.StatusCode == 200 && err == nil {
						crowdServed.Add(1)
					} else {
						crowdRefused.Add(1)
					}
					if response.Close || err != nil {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				_ = c.Close()
			}
		}()
	}
	began, lastNote, highest := time.Now(), time.Now(), 0
	ends, restartAt := make([]int, len(w.routers)), make([]time.Time, len(w.routers))
	for time.Since(began) < 95*time.Second && !faultBroken(ends) {
		time.Sleep(20 * time.Millisecond)
		resident, _ := w.watchMemory(fieldsMemoryMB, ends, restartAt)
		highest = max(highest, resident)
		if time.Since(lastNote) > 2*time.Second {
			lastNote = time.Now()
			w.note("ordinary callers served %d, not %d; crowd served %d, refused %d; %d, %d and %d KiB", served.Swap(0), notServed.Swap(0), crowdServed.Swap(0), crowdRefused.Swap(0),
				w.routers[0].status("VmRSS"), w.routers[1].status("VmRSS"), w.routers[2].status("VmRSS"))
		}
	}
	w.note("%.1f s since the crowd came", time.Since(began).Seconds())
	close(stop)
	w.summary()
	w.verdict(faultBroken(ends), "processes ended for their memory %v times, by router; at most %d KiB of %d KiB", ends, highest, fieldsMemoryMB*1024)
}
