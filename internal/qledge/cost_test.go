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

	"github.com/quetzallane/quetzallane/internal/qlsetting"
)

// benchmarkRequests sends requests of the users' typical size to a router. One that is
// overloaded refuses them; one without a budget offloads them.
func benchmarkRequests(b *testing.B, keepConnection, overloaded bool, fraction float64) {
	store := newFakeStore()
	fleet := startSizedFleet(b, []float64{1, fraction}, store, store)
	r := fleet[1]
	for _, each := range fleet {
		each.awaitState(b, "1 u1")
	}
	if overloaded {
		stop := make(chan struct{})
		defer close(stop)
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
	request := []byte(fmt.Sprintf("POST /x/ HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 9000\r\n\r\n%s", _keyHeader, _heavyCustomer, strings.Repeat("x", 9000)))
	var conn net.Conn
	var reader *bufio.Reader
	statuses := make(map[int]int)
	b.ResetTimer()
	for range b.N {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp4", r.callers); err != nil {
				b.Fatal(err)
			}
			reader = bufio.NewReader(conn)
		}
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		statuses[response.StatusCode]++
		if !keepConnection || response.Close {
			_ = conn.Close()
			conn = nil
		}
	}
	b.StopTimer()
	b.Logf("answers by status: %v, %+v", statuses, r.edge.offloader.Stats())
}

func BenchmarkRefusedOnKeptConnection(b *testing.B) { benchmarkRequests(b, true, true, 0.5) }
func BenchmarkRefusedOnNewConnection(b *testing.B)  { benchmarkRequests(b, false, true, 0.5) }
func BenchmarkServedOnKeptConnection(b *testing.B)  { benchmarkRequests(b, true, false, 1000) }
func BenchmarkOffloadedOnKeptConnection(b *testing.B) {
	benchmarkRequests(b, true, false, 0.001)
}

var _ = qlsetting.PlacementOwner
