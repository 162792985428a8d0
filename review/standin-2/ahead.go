package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["sent-ahead"] = sentAhead }

// sentAhead: 1,200 clients of each of two routers begin a chat and send sixty orders ahead on the same
// connection; they read the head of the first answer and no more, and close after 6 s. Without the disruption, they send
// and read one chat after the other.
func sentAhead(r *run) {
	s := startStore()
	s.put(keyConfiguration, configuration(7))
	zones := []string{"rw-north-a", "rw-north-b", "rw-north-c"}
	for i := range 18 {
		startReplica(&replica{id: fmt.Sprintf("i-8f3a91%02d", i), service: engines, zone: zones[i%3], slots: 128, store: s,
			answer: func(rep *replica, conn *net.TCPConn, request *http.Request, _ []byte) bool {
				return answerStream(rep, conn, request, 180)
			}})
	}
	for i := range 3 {
		startReplica(&replica{id: fmt.Sprintf("i-7f3a91c%d", i), service: plain, zone: zones[i], slots: 6, store: s, answer: answerPlain})
	}
	routers := startRouters(r.scratch, s.address, zones)
	cleanup = append(cleanup, func() { stopAll(routers) })
	r.logf("routers are ready")
	time.Sleep(time.Second)
	stop := time.Now().Add(80 * time.Second)
	const clients = 2400
	var wg sync.WaitGroup
	var seen, ordinary tally
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 3 * time.Second / clients)
			for k := 0; time.Now().Before(stop); k++ {
				a := &attempt{id: newID(), method: "POST", path: chatPath, key: key1, timeout: 15 * time.Second, tokens: "10,900", prefix: fmt.Sprintf("5c1e07a2:5,%x:5", 1+i<<10+k)}
				seen.add(chatAhead(a, routers[i%2].callers, r.trouble))
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	orders(routers, stop, &ordinary, &wg)
	peaks := watchMemory(r, routers, stop, true)
	r.logf("chats: %v; ordinary orders: %v", &seen, &ordinary)
	fmt.Println(peaks, "chats", &seen, "ordinary", &ordinary)
}

// chatAhead makes a chat on a new connection and returns its status. With ahead, orders follow at
// once, and the answer is not read.
func chatAhead(a *attempt, address string, ahead bool) string {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	data := a.bytes()
	if ahead {
		order := &attempt{method: "POST", path: pathOnce, key: a.key, timeout: time.Second, body: []byte(strings.Repeat("b", 2000))}
		for range 60 {
			order.id = newID()
			data = append(data, order.bytes()...)
		}
	}
	go func() { _, _ = conn.Write(data) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	if ahead && response.StatusCode == http.StatusOK {
		time.Sleep(6 * time.Second)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return fmt.Sprint(response.StatusCode)
}
