package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func init() {
	for _, mode := range []string{"body", "chunk", "fields", "pipeline", "slowread", "heads", "mix", "mix2", "mix3", "bigchunk", "far"} {
		cases["crowd-"+mode] = func(w *world) { crowd(w, mode) }
	}
}

// crowd: clients that we don't control, beside ordinary callers.
func crowd(w *world, mode string) {
	w.configure(configuration{
		routes: []map[string]any{route("orders", "non_idempotent", "ledger", 1000, 200, 1, false), route("stock", "idempotent", "ledger", 1000, 200, 2, true),
			route("chat", "streaming", "quill", 15000, 500, 1, false)},
		services: []map[string]any{{"name": "ledger", "max-connections": 110, "health-path": "/healthz"}, {"name": "quill", "max-connections": 180, "health-path": "/healthz", "engine": map[string]any{"slots": 16, "kv-capacity": 734163, "stride": 6}}},
		tenants:  []map[string]any{{"name": "t1", "api-keys": []string{"k1"}}, {"name": "t2", "api-keys": []string{"k2"}}},
	})
	for i := range 3 {
		w.startReplica(replicaConfig{id: fmt.Sprintf("ledger-%d", i), service: "ledger", zone: "z1", slots: 20, work: 30 * time.Millisecond})
		w.startReplica(replicaConfig{id: fmt.Sprintf("quill-%d", i), service: "quill", zone: "z1", slots: 16, events: 400, work: 20 * time.Millisecond, gap: 10 * time.Millisecond})
	}
	w.configureRouters(routerConfig{count: 1, zones: []string{"z1"}, memoryMB: 134})
	w.startRouters()
	r := w.routers[0]
	time.Sleep(3 * time.Second)
	w.note("rss %d KiB, high water %d KiB", r.status("VmRSS"), r.status("VmHWM"))
	stop := make(chan struct{})
	var ok, bad atomic.Int64
	for range 8 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := w.send(request{router: r, method: "POST", path: "/orders/x", key: "k1", deadline: time.Second, body: []byte("an order"), client: newClient()})
				if a.status == 200 {
					ok.Add(1)
				} else {
					bad.Add(1)
				}
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	w.note("calm: served %d, not %d", ok.Swap(0), bad.Swap(0))
	n, _ := strconv.Atoi(os.Getenv("CROWD"))
	if n == 0 {
		n = 3000
	}
	if w.trouble {
		for i := range n {
			go attacker(w, r, mode, i, stop)
		}
	}
	for i := range 40 {
		time.Sleep(500 * time.Millisecond)
		if i%4 == 3 {
			w.note("served %d, not %d, rss %d KiB, high water %d KiB, ready %v, ended %v", ok.Swap(0), bad.Swap(0), r.status("VmRSS"), r.status("VmHWM"), r.isReady(), r.hasEnded())
		}
	}
	close(stop)
	w.summary()
	w.verdict(r.status("VmHWM") > 134*1024, "high water %d KiB", r.status("VmHWM"))
}

func attacker(w *world, r *router, mode string, i int, stop chan struct{}) {
	if mode == "mix" {
		mode = []string{"body", "chunk", "fields", "pipeline", "slowread", "heads"}[i%6]
	}
	if mode == "mix2" {
		mode = []string{"body", "fields", "slowread", "slowread"}[i%4]
	}
	if mode == "mix3" {
		mode = []string{"chunk", "chunk", "fields", "slowread", "bigchunk"}[i%5]
	}
	for {
		select {
		case <-stop:
			return
		default:
		}
		attack(w, r, mode, i, stop)
		time.Sleep(100 * time.Millisecond)
	}
}

func attack(w *world, r *router, mode string, i int, stop chan struct{}) {
	c, err := net.DialTimeout("tcp4", r.caller, 2*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	go func() { <-stop; _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	id := w.newAttempt()
	head := "POST /orders/x HTTP/1.1\r\nHost: shop.example\r\n" + attackKey + "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 15000\r\n"
	switch mode {
	case "body":
		_, _ = io.WriteString(c, head+"Content-Length: 18000\r\n\r\n"+strings.Repeat("b", 17990))
		_, _ = io.Copy(io.Discard, c)
	case "far":
		_, _ = io.WriteString(c, head+"Content-Length: 9223372036854775807\r\n\r\n"+strings.Repeat("b", 17990))
		_, _ = io.Copy(io.Discard, c)
	case "chunk":
		_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
		for range 400 {
			if _, err := io.WriteString(c, "200\r\n"+strings.Repeat("b", 512)+"\r\n"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.Copy(io.Discard, c)
	case "bigchunk":
		_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
		for range 33 {
			if _, err := io.WriteString(c, "2000\r\n"+strings.Repeat("b", 0x2000)+"\r\n"); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, c)
	case "fields":
		var fields strings.Builder
		for n := range 2600 {
			fmt.Fprintf(&fields, "%c%c:\r\n", 'a'+n%26, 'a'+n/26%26)
		}
		_, _ = io.WriteString(c, head+fields.String()+"Content-Length: 10\r\n\r\n123")
		_, _ = io.Copy(io.Discard, c)
	case "heads":
		_, _ = io.WriteString(c, head+"X-Long: "+strings.Repeat("v", 7000))
		_, _ = io.Copy(io.Discard, c)
	case "pipeline":
		for range 200 {
			if _, err := io.WriteString(c, strings.Repeat(head+"Content-Length: 4\r\n\r\nbody", 20)); err != nil {
				return
			}
		}
		time.Sleep(10 * time.Second)
	case "slowread":
		prompt := fmt.Sprintf("POST /chat/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token k2\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 15000\r\nX-Model: m\r\nX-Token-Usage: 600,50\r\nX-Prefix-Hash: 5c1e07a2:200,91bd3f06:200,%x:200\r\nContent-Length: 2\r\n\r\nhi", id, 0x10000000+i)
		_, _ = io.WriteString(c, prompt)
		reader := bufio.NewReaderSize(c, 16)
		for {
			if _, err := reader.ReadByte(); err != nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}

var attackKey = func() string {
	if os.Getenv("ATTACK_KEY") == "" {
		return ""
	}
	return "Authorization: Token " + os.Getenv("ATTACK_KEY") + "\r\n"
}()
