package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["reset-stream"] = resetStream }

// resetStream: model replicas answer streams that have neither a length nor chunks. One of them
// crashes between two events, which resets its connections.
func resetStream(r *run) {
	const total = 56
	s := startStore()
	s.put(keyConfiguration, configuration(7))
	var mu sync.Mutex
	made := make(map[string]int)
	answer := func(rep *replica, conn *net.TCPConn, request *http.Request, _ []byte) bool {
		id := request.Header.Get(nameAttempt)
		r.logf("replica %s runs %s", rep.id, id)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+nameAttempt+": %s\r\n"+nameSignature+": %s.%s\r\n"+nameLoad+": %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, rep.id, id, rep.load())
		for n := range total {
			time.Sleep(25 * time.Millisecond)
			if _, err := conn.Write([]byte(event(id, n))); err != nil {
				r.logf("replica %s: connection of %s has ended after %d of %d events", rep.id, id, n, total)
				return false
			}
			mu.Lock()
			made[id] = n + 1
			mu.Unlock()
		}
		return false
	}
	zones := []string{"rw-north-a", "rw-north-b", "rw-north-c"}
	var replicas []*replica
	for i := range 6 {
		replicas = append(replicas, startReplica(&replica{id: fmt.Sprintf("i-7f3a91c%d", i), service: engines, zone: zones[i%3], slots: 128, store: s, answer: answer}))
	}
	routers := startRouters(r.scratch, s.address, zones)
	cleanup = append(cleanup, func() { stopAll(routers) })
	r.logf("routers are ready")
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for i := range 120 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 2500 * time.Microsecond)
			a := &attempt{id: newID(), method: "POST", path: chatPath, key: key1, timeout: 15 * time.Second, tokens: "543,280", prefix: fmt.Sprintf("5c1e07a2:200,%x:343", 0x1000+i)}
			res := a.do(routers[i%3].callers)
			count, rest := events(a.id, res.body)
			mu.Lock()
			n := made[a.id]
			mu.Unlock()
			r.logf("client: %s by %s: %v events=%d made=%d of %d rest=%q", a.id, routers[i%3].name, res, count, n, total, rest)
			if res.status == 200 && res.whole && count < total {
				r.breaks("stream %s ends as complete after %d of %d events", a.id, count, total)
			}
		}()
	}
	time.Sleep(1000 * time.Millisecond)
	if r.trouble {
		r.logf("replica %s crashes, its connections are reset (%d requests there)", replicas[0].id, replicas[0].active.Load())
		replicas[0].crash()
	}
	wg.Wait()
}
