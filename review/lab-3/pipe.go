package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["pipe"] = pipe }

// pipe: clients that send requests ahead, in pieces, beside offloading between two routers.
func pipe(w *world) {
	w.configure(configuration{
		routes:   []map[string]any{route("orders", "non_idempotent", "ledger", 3000, 1000, 1, false), route("chat", "streaming", "quill", 5000, 500, 1, false)},
		services: []map[string]any{{"name": "ledger", "max-connections": 1100, "health-path": "/healthz"}, {"name": "quill", "max-connections": 1800, "health-path": "/healthz", "engine": map[string]any{"slots": 64, "kv-capacity": 734163, "stride": 6}}},
		tenants:  []map[string]any{{"name": "t1", "api-keys": []string{"k1"}}, {"name": "t2", "api-keys": []string{"k2"}}},
	})
	for i := range 3 {
		w.startReplica(replicaConfig{id: fmt.Sprintf("ledger-%d", i), service: "ledger", zone: "z1", slots: 100, work: 5 * time.Millisecond})
		w.startReplica(replicaConfig{id: fmt.Sprintf("quill-%d", i), service: "quill", zone: "z1", slots: 64, events: 8, work: 10 * time.Millisecond, gap: 5 * time.Millisecond})
	}
	w.configureRouters(routerConfig{count: 3, zones: []string{"z1"}, memoryMB: 284, change: func(i int, s map[string]any) {
		if i == 0 {
			s["processor-part"] = 0.03
		}
	}})
	w.startRouters()
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var wrong, ok, refused, other, lost atomic.Int64
	var mu sync.Mutex
	codes := map[string]int{}
	notRun := map[string]bool{}
	lostIDs := map[string]string{}
	note := func(format string, a ...any) { wrong.Add(1); w.note("WRONG "+format, a...) }
	worker := func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			c, err := net.DialTimeout("tcp4", w.routers[0].caller, time.Second)
			if err != nil {
				continue
			}
			reader := bufio.NewReader(c)
			_ = c.SetDeadline(time.Now().Add(15 * time.Second))
			for range rand.IntN(20) + 1 {
				k := 1
				if os.Getenv("PIPE") != "" {
					k = rand.IntN(4) + 1
				}
				var text strings.Builder
				var ids, kinds []string
				for range k {
					id := w.newAttempt()
					ids = append(ids, id)
					body := strings.Repeat("b", rand.IntN(3000))
					if rand.IntN(2) == 0 {
						kinds = append(kinds, "orders")
						fmt.Fprintf(&text, "POST /orders/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token k1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
					} else {
						kinds = append(kinds, "chat")
						fmt.Fprintf(&text, "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token k2\r\nX-Model: m\r\nX-Token-Usage: 300,50\r\nX-Prefix-Hash: 5c1e07a2:100,91bd3f06:100,%s:100\r\nContent-Length: %d\r\n\r\n%s", id, id[8:], len(body), body)
					}
				}
				data := text.String()
				for len(data) > 0 {
					n := len(data)
					if rand.IntN(3) == 0 {
						n = rand.IntN(len(data)) + 1
					}
					if _, err := io.WriteString(c, data[:n]); err != nil {
						break
					}
					data = data[n:]
					if rand.IntN(2) == 0 {
						time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
					}
				}
				if rand.IntN(40) == 0 {
					break // leaves early
				}
				closed := false
				for i, id := range ids {
					response, err := http.ReadResponse(reader, &http.Request{Method: "POST"})
					if err != nil {
						lost.Add(1)
						mu.Lock()
						for _, left := range ids[i:] {
							lostIDs[left] = err.Error()
						}
						mu.Unlock()
						closed = true
						break
					}
					body, err := io.ReadAll(response.Body)
					mu.Lock()
					codes[fmt.Sprintf("%s %d %s err=%v", kinds[i], response.StatusCode, response.Header.Get("Quetzallane-Result"), err != nil)]++
					mu.Unlock()
					if response.StatusCode == 200 && err == nil {
						good := strings.Contains(string(body), " ran "+id+" ")
						if kinds[i] == "chat" {
							good = strings.Count(string(body), "data: "+id+"/") == 8
						}
						if !good {
							note("answer to %s (%s): %.200q", id, kinds[i], body)
						}
						ok.Add(1)
					} else if response.StatusCode == 429 || response.StatusCode == 503 {
						refused.Add(1)
						mu.Lock()
						notRun[id] = true
						mu.Unlock()
					} else {
						other.Add(1)
					}
					if err != nil || response.Close {
						closed = true
						break
					}
				}
				if closed {
					break
				}
				if rand.IntN(3) == 0 {
					time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
				}
			}
			_ = c.Close()
		}
	}
	n, _ := strconv.Atoi(os.Getenv("WORKERS"))
	if n == 0 {
		n = 30
	}
	for range n {
		go worker()
	}
	for i := range 12 {
		time.Sleep(2 * time.Second)
		if w.trouble && os.Getenv("FAULT") != "" {
			r := w.routers[1+i%2]
			switch os.Getenv("FAULT") {
			case "kill":
				r.kill()
				time.Sleep(300 * time.Millisecond)
				r.start()
			case "freeze":
				r.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(100+rand.IntN(1500)) * time.Millisecond)
				r.signal(syscall.SIGCONT)
			case "term":
				r.signal(syscall.SIGTERM)
				<-r.ended
				r.start()
			case "freezeself":
				w.routers[0].signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(100+rand.IntN(1500)) * time.Millisecond)
				w.routers[0].signal(syscall.SIGCONT)
			case "termself":
				w.routers[0].signal(syscall.SIGTERM)
				<-w.routers[0].ended
				w.routers[0].start()
			}
		}
		w.note("ok %d, refused %d, other %d, lost %d, wrong %d", ok.Load(), refused.Load(), other.Load(), lost.Load(), wrong.Load())
	}
	close(stop)
	time.Sleep(3 * time.Second)
	w.arrivals.mu.Lock()
	runs := map[string]int{}
	for _, a := range w.arrivals.list {
		if a.ran {
			runs[a.attempt]++
		}
	}
	for id, n := range runs {
		if n > 1 {
			note("%s ran %d times", id, n)
		}
		if cause, ok := lostIDs[id]; ok {
			w.note("LOST %s ran, no answer: %s", id, cause)
		}
		if notRun[id] {
			note("%s was refused as not run and has run", id)
		}
	}
	w.arrivals.mu.Unlock()
	mu.Lock()
	w.note("codes %v", codes)
	mu.Unlock()
	response, err := http.Get("http://" + w.routers[0].admin + "/debug/vars")
	if err == nil {
		text, _ := io.ReadAll(response.Body)
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, "offload") || strings.Contains(line, "refused-by") {
				w.note("%s", line)
			}
		}
	}
	w.verdict(wrong.Load() > 0, "%d wrong", wrong.Load())
}
