package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlplatform"
	"github.com/quetzallane/quetzallane/internal/qlstandin"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// relay forwards TCP connections from one router to another, and drops them while
// it is cut.
type relay struct {
	listener net.Listener
	target   string
	cut      atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{
		listener: listener,
		target:   target,
	}
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *relay) forward(routerConn net.Conn) {
	defer func() { _ = routerConn.Close() }()
	if r.cut.Load() {
		return
	}
	targetConn, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = targetConn.Close() }()
	r.mu.Lock()
	r.conns = append(r.conns, routerConn, targetConn)
	r.mu.Unlock()
	go func() {
		_, _ = io.Copy(routerConn, targetConn)
		_ = routerConn.Close()
	}()
	_, _ = io.Copy(targetConn, routerConn)
}

// setCut cuts the relay and closes its connections, or restores it.
func (r *relay) setCut(cut bool) {
	r.cut.Store(cut)
	if !cut {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.conns = nil
}

// platformThroughRelays serves the platform to one router, with the addresses of
// the other routers in the VM list replaced by those of the relays.
func platformThroughRelays(platform *qlstandin.Platform, relays map[string]*relay) http.Handler {
	next := platform.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/v1/values/vms" {
			next.ServeHTTP(w, request)
			return
		}
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, request)
		var list qlplatform.VMs
		if json.Unmarshal(recorder.Body.Bytes(), &list) != nil {
			w.WriteHeader(recorder.Code)
			return
		}
		for i := range list.VMs {
			if relay := relays[list.VMs[i].ID]; relay != nil {
				list.VMs[i].Address = relay.listener.Addr().String()
			}
		}
		_ = json.NewEncoder(w).Encode(list)
	})
}

// isolate cuts all relays from and to a router, or restores them.
func isolate(relays map[string]map[string]*relay, id string, cut bool) {
	for from, targets := range relays {
		for to, relay := range targets {
			if from == id || to == id {
				relay.setCut(cut)
			}
		}
	}
}

// TestPartitionBetweenProcesses cuts one of three routers off from the others. The
// minority router must refuse a keyed booking, since the majority may grant the
// key. Calls without a key must be answered on both sides. After the partition, a
// repeat at the isolated router must be refused as a duplicate.
func TestPartitionBetweenProcesses(t *testing.T) {
	relays := make(map[string]map[string]*relay)
	f := newProcessFleetWithPlatforms(t, 3, func(f *processFleet, p *process) string {
		relays[p.id] = make(map[string]*relay)
		for _, peer := range f.processes {
			if peer != p {
				relays[p.id][peer.id] = newRelay(t, peer.peerAddress)
			}
		}
		server := httptest.NewServer(platformThroughRelays(f.platform, relays[p.id]))
		t.Cleanup(server.Close)
		return server.URL
	})
	f.waitClaimHistory()
	isolate(relays, "r0", true)
	// Long enough for the isolated router to detect that it has lost the
	// majority.
	time.Sleep(_claimWindow / 2)
	book := func(p *process, key string) answer {
		return f.call(p, http.MethodPost, "/services/booking/b", "{}", key, _testKey)
	}
	if got, want := book(f.processes[0], "cut").code, int(qlcode.ClaimUnavailable); got != want {
		t.Errorf("keyed booking at the isolated router: got code %d, want %d", got, want)
	}
	first := book(f.processes[1], "cut")
	if got, want := first.code, int(qlcode.Answered); got != want {
		t.Errorf("same booking at a majority router: got code %d, want %d", got, want)
	}
	for i, p := range f.processes {
		body := fmt.Sprintf(`{"model":"m","prompt":"cut %d","max_tokens":3}`, i)
		if got := f.call(p, http.MethodPost, "/v1/completions", body, "", _testKey); got.code != int(qlcode.Answered) {
			t.Errorf("completion through %s during the partition: got code %d (%v)", p.id, got.code, got.err)
		}
	}
	f.platform.Publish([][]byte{f.configurationPart(30)})
	isolate(relays, "r0", false)
	f.waitUntil("r0 has a complete claim history and revision 2", func() bool {
		s := f.state(f.processes[0])
		return s.HistoryComplete && s.Revision == 2
	})
	repeat := book(f.processes[0], "cut")
	if got, want := repeat.code, int(qlcode.DuplicateKey); got != want {
		t.Errorf("same booking after the partition: got code %d, want %d", got, want)
	}
	if got, want := repeat.original, first.request; got != want || want == "" {
		t.Errorf("original request named to the repeat: got %q, want %q", got, want)
	}
	if got := f.countBookings("cut"); got != 1 {
		t.Errorf("the booking ran %d times, want once", got)
	}
}
