package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["endless-head"] = endlessHead }

// endlessHead: a third of the model replicas answer with a head that has no end, until the router
// closes the connection.
func endlessHead(r *run) {
	s := startStore()
	s.put(keyConfiguration, configuration(7))
	var faulty atomic.Bool
	number := make(map[string]int)
	answer := func(rep *replica, conn *net.TCPConn, request *http.Request, _ []byte) bool {
		if !faulty.Load() || number[rep.id]%3 != 0 {
			return answerStream(rep, conn, request, 56)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n")
		var b bytes.Buffer
		for n := 0; ; n++ {
			fmt.Fprintf(&b, "%x:\r\n", n)
			if b.Len() < 8000 {
				continue
			}
			if _, err := conn.Write(b.Bytes()); err != nil {
				return false
			}
			b.Reset()
			time.Sleep(50 * time.Millisecond)
		}
	}
	zones := []string{"rw-north-a", "rw-north-b", "rw-north-c"}
	for i := range 18 {
		number[fmt.Sprintf("i-7f3a91%02d", i)] = i
	}
	for i := range 18 {
		startReplica(&replica{id: fmt.Sprintf("i-7f3a91%02d", i), service: engines, zone: zones[i%3], slots: 128, store: s, answer: answer})
	}
	routers := startRouters(r.scratch, s.address, zones)
	cleanup = append(cleanup, func() { stopAll(routers) })
	r.logf("routers are ready")
	time.Sleep(time.Second)
	faulty.Store(r.trouble)
	stop := time.Now().Add(15 * time.Second)
	var wg sync.WaitGroup
	var seen tally
	for i := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			for k := 0; time.Now().Before(stop); k++ {
				a := &attempt{id: newID(), method: "POST", path: chatPath, key: key1, timeout: 15 * time.Second, tokens: "543,280", prefix: fmt.Sprintf("5c1e07a2:200,%x:343", 0x1000+i*1000+k)}
				res := a.do(routers[i%3].callers)
				seen.add(fmt.Sprint(res.status))
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	peaks := watchMemory(r, routers, stop, false)
	wg.Wait()
	r.logf("streams: %v", &seen)
	fmt.Println(peaks, &seen)
}
