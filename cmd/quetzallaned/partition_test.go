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

// relay carries connections from one router to another until it is cut.
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
		go r.carry(conn)
	}
}

func (r *relay) carry(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if r.cut.Load() {
		return
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	r.mu.Lock()
	r.conns = append(r.conns, conn, far)
	r.mu.Unlock()
	go func() {
		_, _ = io.Copy(conn, far)
		_ = conn.Close()
	}()
	_, _ = io.Copy(far, conn)
}

func (r *relay) set(cut bool) {
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

// platformThroughRelays serves a router the platform, with the other routers'
// addresses replaced by relays of its own.
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

// isolate cuts a router from all others, or joins it again.
func isolate(relays map[string]map[string]*relay, id string, cut bool) {
	for from, targets := range relays {
		for to, relay := range targets {
			if from == id || to == id {
				relay.set(cut)
			}
		}
	}
}

// TestPartitionBetweenProcesses cuts one of three routers from the others.
func TestPartitionBetweenProcesses(t *testing.T) {
	relays := make(map[string]map[string]*relay)
	f := newProcessFleetOn(t, 3, func(f *processFleet, p *process) string {
		relays[p.id] = make(map[string]*relay)
		for _, other := range f.processes {
			if other != p {
				relays[p.id][other.id] = newRelay(t, other.peer)
			}
		}
		server := httptest.NewServer(platformThroughRelays(f.platform, relays[p.id]))
		t.Cleanup(server.Close)
		return server.URL
	})
	f.waitVouching()
	isolate(relays, "r0", true)
	// Long enough for the small side to notice that it hears no majority.
	time.Sleep(_claimWindow / 2)
	book := func(p *process, key string) answer {
		return f.call(p, http.MethodPost, "/services/booking/b", "{}", key, _testKey)
	}
	if got, want := book(f.processes[0], "cut").code, int(qlcode.ClaimUnavailable); got != want {
		t.Errorf("a keyed booking on the small side: got code %d, want %d", got, want)
	}
	first := book(f.processes[1], "cut")
	if got, want := first.code, int(qlcode.Answered); got != want {
		t.Errorf("the same on the large side: got code %d, want %d", got, want)
	}
	for i, p := range f.processes {
		body := fmt.Sprintf(`{"model":"m","prompt":"cut %d","max_tokens":3}`, i)
		if got := f.call(p, http.MethodPost, "/v1/completions", body, "", _testKey); got.code != int(qlcode.Answered) {
			t.Errorf("a completion through %s in the partition: got code %d (%v)", p.id, got.code, got.err)
		}
	}
	f.platform.Publish([][]byte{f.part(30)})
	isolate(relays, "r0", false)
	f.until("r0 is vouching with the new revision", func() bool {
		s := f.state(f.processes[0])
		return s.Vouches && s.Revision == 2
	})
	repeat := book(f.processes[0], "cut")
	if got, want := repeat.code, int(qlcode.DuplicateKey); got != want {
		t.Errorf("the same after healing: got code %d, want %d", got, want)
	}
	if got, want := repeat.original, first.request; got != want || want == "" {
		t.Errorf("the request that the repeat is told of: got %q, want %q", got, want)
	}
	if got := f.bookings("cut"); got != 1 {
		t.Errorf("the booking ran %d times, want once", got)
	}
}
