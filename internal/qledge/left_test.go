package qledge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlloopbacktest"
)

// gatedListener leaves connections in the accept queue while its gate is shut.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.Listener.Accept()
}

// serveGated makes a router accept further callers at an address once the gate opens.
func serveGated(t *testing.T, r *runningEdge) (address string, gate chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp4", qlloopbacktest.IP(1)+":0")
	if err != nil {
		t.Fatal(err)
	}
	gate = make(chan struct{})
	server := r.edge.newCallerServer(context.Background())
	// The server ends with an error that says that it was closed.
	go func() {
		_ = server.Serve(r.edge.newCallerListener(&gatedListener{
			Listener: listener,
			gate:     gate,
		}, server))
	}()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), gate
}

// warmConnections opens connections to the upstream, so that no later request has to wait for
// one to be opened.
func warmConnections(address string, callers int) {
	var warming sync.WaitGroup
	for range callers {
		for _, path := range []string{_lookupPath, _orderPath, _streamPath} {
			warming.Go(func() {
				if caller, err := dialRouter(address); err == nil {
					caller.ask(path, "first", 100*time.Millisecond)
					_ = caller.conn.Close()
				}
			})
		}
	}
	warming.Wait()
}

// sendAndLeave sends requests of callers that give up at once, and returns their ids.
func sendAndLeave(t *testing.T, address string, callers int) (ids []string) {
	t.Helper()
	for n := range callers {
		for _, path := range []string{_lookupPath, _orderPath, _streamPath} {
			caller, err := dialRouter(address)
			if err != nil {
				t.Fatal(err)
			}
			ids = append(ids, fmt.Sprint(path, n))
			if _, err := io.WriteString(caller.conn, routerRequest(path, ids[len(ids)-1], 0)); err != nil {
				t.Fatal(err)
			}
			_ = caller.conn.Close()
		}
	}
	return ids
}

// awaitServed checks that a caller that waits is served, once the flood of connections is over.
func awaitServed(t *testing.T, address string) {
	t.Helper()
	answer := routerAnswer{}
	for end := time.Now().Add(4 * time.Second); answer.status != http.StatusOK && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		last, err := dialRouter(address)
		if err != nil {
			t.Fatal(err)
		}
		answer = last.ask(_orderPath, "last", 0)
		_ = last.conn.Close()
	}
	if answer.status != http.StatusOK {
		t.Fatalf("a caller that waits: got %+v, want 200", answer)
	}
}

// TestRequestsOfCallersThatLeftTheAcceptQueueAreNotSent guards against work for callers that
// have given up while their connections waited to be accepted, by a router without lag.
func TestRequestsOfCallersThatLeftTheAcceptQueueAreNotSent(t *testing.T) {
	const callers = 20
	upstream, store := newWorkingUpstream(t), newFakeStore()
	store.addRoutes(upstream.address())
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "1 engines plain")
	warmConnections(r.callers, callers)
	address, gate := serveGated(t, r)
	ids := sendAndLeave(t, address, callers)
	time.Sleep(50 * time.Millisecond)
	close(gate)
	awaitServed(t, address)
	time.Sleep(50 * time.Millisecond)
	sent := 0
	for _, id := range ids {
		sent += upstream.runs(id)
	}
	if sent > 0 {
		t.Errorf("requests sent after their callers had left: got %d of %d, want none", sent, len(ids))
	}
}
