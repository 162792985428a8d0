package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["unfinished-bodies"] = unfinishedBodies }

// unfinishedBodies: 2,100 clients of one router send bodies but for the last byte, and stay
// open: most of 65,200 bytes, one in sixty of 4,190,000. Without the disruption, fifty clients send such bodies whole.
func unfinishedBodies(r *run) {
	s := startStore()
	s.put(keyConfiguration, configuration(7))
	zones := []string{"rw-north-a", "rw-north-a", "rw-north-b"}
	for i := range 3 {
		startReplica(&replica{id: fmt.Sprintf("i-7f3a91c%d", i), service: plain, zone: zones[i], slots: 6, store: s, answer: answerPlain})
	}
	for i := range 18 {
		startReplica(&replica{id: fmt.Sprintf("i-8f3a91%02d", i), service: engines, zone: zones[i%3], slots: 128, store: s,
			answer: func(rep *replica, conn *net.TCPConn, request *http.Request, _ []byte) bool {
				return answerStream(rep, conn, request, 56)
			}})
	}
	routers := startRouters(r.scratch, s.address, zones)
	cleanup = append(cleanup, func() { stopAll(routers) })
	r.logf("routers are ready")
	time.Sleep(time.Second)
	const size, long = 65200, 4190000
	stop := time.Now().Add(12 * time.Second)
	var opened atomic.Int64
	var wg sync.WaitGroup
	var ordinary, whole tally
	clients := 50
	if r.trouble {
		clients = 2100
	}
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * time.Second / time.Duration(clients))
			for time.Now().Before(stop) {
				a := &attempt{id: newID(), method: "POST", path: pathOnce, key: key1, timeout: time.Second, body: []byte(strings.Repeat("b", size))}
				if !r.trouble {
					whole.add(fmt.Sprint(a.do(routers[0].callers).status))
					time.Sleep(time.Second)
					continue
				}
				// Each client has one of 200 addresses.
				dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 9, byte(1+i%200))}, Timeout: time.Second}
				conn, err := dialer.Dial("tcp4", routers[0].callers)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				opened.Add(1)
				if i%60 == 0 {
					a.body = []byte(strings.Repeat("b", long))
				}
				_ = conn.SetDeadline(stop)
				data := a.bytes()
				_, _ = conn.Write(data[:len(data)-1])
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}
		}()
	}
	orders(routers, stop, &ordinary, &wg)
	streams(routers, stop, &ordinary, &wg)
	peaks := watchMemory(r, routers, stop, false)
	wg.Wait()
	r.logf("opened %d connections with unfinished bodies; whole bodies %v; ordinary orders: %v", opened.Load(), &whole, &ordinary)
	fmt.Println(peaks, "opened", opened.Load(), "whole", &whole, "ordinary", &ordinary)
}
