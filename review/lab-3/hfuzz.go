package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["header-fuzz"] = headerFuzz }

func headerFuzz(w *world) {
	w.configure(configuration{
		routes: []map[string]any{route("match", "streaming", "lm", 3000, 500, 1, false), route("draft", "streaming", "lm", 3000, 500, 3, true), route("orders", "non_idempotent", "ledger", 1000, 150, 1, true), route("stock", "idempotent", "ledger", 1000, 150, 2, true)},
		services: []map[string]any{{"name": "lm", "max-connections": 620, "health-path": "/healthz", "engine": map[string]any{"slots": 128, "kv-capacity": 460663, "stride": 5}},
			{"name": "ledger", "max-connections": 100, "health-path": "/healthz"}},
		tenants: []map[string]any{{"name": "t1", "api-keys": []string{"k1"}}, {"name": "t2", "api-keys": []string{"k2"}}},
	})
	for i := range 4 {
		w.startReplica(replicaConfig{id: fmt.Sprintf("lm-%d", i), service: "lm", zone: "z1", slots: 128, events: 5, work: 5 * time.Millisecond, gap: 2 * time.Millisecond})
		w.startReplica(replicaConfig{id: fmt.Sprintf("ledger-%d", i), service: "ledger", zone: "z1", slots: 6, work: 3 * time.Millisecond})
	}
	w.configureRouters(routerConfig{count: 3, zones: []string{"z1"}, memoryMB: 134})
	w.startRouters()
	time.Sleep(3 * time.Second)
	pick := func(v ...string) string { return v[rand.IntN(len(v))] }
	end := time.Now().Add(40 * time.Second)
	done := make(chan bool)
	for range 24 {
		go func() {
			for time.Now().Before(end) {
				c, err := net.DialTimeout("tcp4", w.routers[rand.IntN(3)].caller, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				num := func() string {
					return pick("0", "1", "-1", "-99999999999", "16777216", "99999999999999999999", "1e9", "NaN", "Inf", "", " 5 ", "0x10", "300", "2147483647", "-0", "1.5")
				}
				h := pick("GET", "POST", "PUT", "HEAD", "DELETE", "OPTIONS", "PATCH", "FOO") + " " + pick("/match/x", "/draft/", "/orders/x?y=z", "/stock/%2f..//", "/", "*", "/match", "//match/", "http://shop.example/match/x", "/draft/a/b/c;d") + " HTTP/1.1\r\nHost: " + pick("shop.example", "SHOP.EXAMPLE:99", "", "[::1]:80", "other", ":") + "\r\n"
				if rand.IntN(10) > 0 {
					h += "X-Attempt-Id: " + w.newAttempt() + "\r\n"
				}
				if rand.IntN(10) > 0 {
					h += "X-Deadline-Ms: " + pick(num(), "500", "3000") + "\r\n"
				}
				if rand.IntN(5) > 0 {
					h += "Authorization: " + pick("Token k1", "Token k2", "Token ", "Bearer k1", "Token k1 ", "token k1", "") + "\r\n"
				}
				if rand.IntN(5) > 0 {
					h += "X-Token-Usage: " + pick(num()+","+num(), num(), ",", "300,25", num()+","+num()+","+num()) + "\r\n"
				}
				if rand.IntN(5) > 0 {
					var parts []string
					for range rand.IntN(8) {
						parts = append(parts, pick("0", "ffffffffffffffff", "1ffffffffffffffff", "5c1e07a2", "g", "", "-1", fmt.Sprintf("%x", rand.IntN(100)))+pick(":", ":", "", "::")+num())
					}
					h += "X-Prefix-Hash: " + strings.Join(parts, pick(",", ", ", ",,")) + "\r\n"
				}
				if rand.IntN(5) == 0 {
					h += "Last-Event-Id: " + num() + "\r\n"
				}
				if rand.IntN(8) == 0 {
					h += pick("Connection: X-Attempt-Id", "Connection: close, X-Model", "Expect: 100-continue", "Upgrade: websocket\r\nConnection: Upgrade", "X-Expect-Replica: lm-1", "Kv-From: 1.2.3.4:5/6", "TE: trailers", "Trailer: X-A") + "\r\n"
				}
				switch rand.IntN(4) {
				case 0:
					h += "Content-Length: 5\r\n\r\nhello"
				case 1:
					h += "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + pick("", "X-A: b\r\n") + "\r\n"
				case 2:
					h += "Content-Length: " + num() + "\r\n\r\nab"
				default:
					h += "\r\n"
				}
				_ = c.SetDeadline(time.Now().Add(time.Duration(50+rand.IntN(400)) * time.Millisecond))
				_, _ = io.WriteString(c, h)
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}
			done <- true
		}()
	}
	for range 24 {
		<-done
	}
	w.summary()
	found := 0
	for _, r := range w.routers {
		text, _ := os.ReadFile(filepath.Join(w.temp, r.name+".log"))
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, "panick") || strings.Contains(line, "panic") || strings.Contains(line, "fatal") {
				found++
				if found < 20 {
					w.note("%s %.1500s", r.name, line)
				}
			}
		}
		w.note("%s ended %v rss %d", r.name, r.hasEnded(), r.status("VmHWM"))
	}
	client := newClient()
	for i := range 6 {
		a := w.send(request{router: w.routers[i%3], method: "POST", path: "/match/x", key: "k1", deadline: 3 * time.Second, body: []byte("a prompt"), tokens: "300,25", prefix: "5c1e07a2:100,91bd3f33:100,77:100", client: client})
		w.note("after: %d %v", a.status, a.err)
	}
	w.verdict(found > 0, "%d panics", found)
}
