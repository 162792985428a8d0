package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answerPlain answers a request of a plain service after 20 ms.
func answerPlain(rep *replica, conn *net.TCPConn, request *http.Request, _ []byte) bool {
	id := request.Header.Get(nameAttempt)
	time.Sleep(20 * time.Millisecond)
	body := strings.Repeat("x", 800)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+nameAttempt+": %s\r\n"+nameSignature+": %s.%s\r\n"+nameLoad+": %s\r\nContent-Length: %d\r\n\r\n", id, rep.id, id, rep.load(), len(body))
	if request.Method != http.MethodHead {
		_, _ = conn.Write([]byte(body))
	}
	return true
}

// answerStream answers with a stream of so many events, one each 25 ms.
func answerStream(rep *replica, conn *net.TCPConn, request *http.Request, count int) bool {
	id := request.Header.Get(nameAttempt)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+nameAttempt+": %s\r\n"+nameSignature+": %s.%s\r\n"+nameLoad+": %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, rep.id, id, rep.load())
	for n := range count {
		time.Sleep(25 * time.Millisecond)
		text := event(id, n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, _ = conn.Write([]byte("0\r\n\r\n"))
	return true
}

// tally counts what clients have seen.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[string]int)
	}
	t.counts[what]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}

// orders sends an ordinary order to each router each 100 ms, and counts the answers.
func orders(routers []*router, stop time.Time, seen *tally, wg *sync.WaitGroup) {
	for _, rt := range routers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(stop) {
				a := &attempt{id: newID(), method: "POST", path: pathOnce, key: key2, timeout: time.Second, body: []byte("order")}
				res := a.do(rt.callers)
				switch {
				case res.status != 0:
					seen.add(fmt.Sprint(res.status))
				default:
					seen.add("no answer")
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}
