package qledge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// costCaller sends requests of the users' typical size, one after the other.
type costCaller struct {
	address  string
	keep     bool
	conn     net.Conn
	reader   *bufio.Reader
	request  string
	statuses map[int]int
}

func newCostCaller(address string, keep bool) *costCaller {
	return &costCaller{
		address:  address,
		keep:     keep,
		statuses: make(map[int]int),
		request: fmt.Sprintf("POST /x/ HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 9000\r\n\r\n%s",
			_keyHeader, _heavyCustomer, strings.Repeat("x", 9000)),
	}
}

func (c *costCaller) send(b *testing.B) {
	if c.conn == nil {
		conn, err := net.Dial("tcp4", c.address)
		if err != nil {
			b.Fatal(err)
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if _, err := io.WriteString(c.conn, c.request); err != nil {
		b.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	c.statuses[response.StatusCode]++
	if !c.keep || response.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// overload makes a router refuse nearly all requests until the benchmark ends.
func overload(b *testing.B, r *runningEdge) {
	stop := make(chan struct{})
	b.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				r.edge.shedder.RecordLag(r.edge.clock(), time.Second)
			}
		}
	}()
	time.Sleep(time.Second)
}

// benchmarkRequests measures requests to the smaller of two routers in one process, its
// caller included.
func benchmarkRequests(b *testing.B, keep, overloaded bool, fraction float64) {
	store := newFakeStore()
	fleet := startSizedFleet(b, []float64{1, fraction}, store, store)
	r := fleet[1]
	for _, each := range fleet {
		each.awaitState(b, "1 u1")
	}
	if overloaded {
		overload(b, r)
	}
	caller := newCostCaller(r.callers, keep)
	b.ResetTimer()
	for range b.N {
		caller.send(b)
	}
	b.StopTimer()
	b.Logf("answers by status: %v, %+v", caller.statuses, r.edge.offloader.Stats())
}

func BenchmarkRefusedOnKeptConnection(b *testing.B)   { benchmarkRequests(b, true, true, 0.5) }
func BenchmarkRefusedOnNewConnection(b *testing.B)    { benchmarkRequests(b, false, true, 0.5) }
func BenchmarkOffloadedOnKeptConnection(b *testing.B) { benchmarkRequests(b, true, false, 0.001) }
