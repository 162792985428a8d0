package qledge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlfeed"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlforward"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/internal/qlshed"
	"github.com/quetzallane/quetzallane/pkg/qljson"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// _replyTimeout is what a source waits for an answer beside a call's wait.
const _replyTimeout = 700 * time.Millisecond

// _mostPause is a reader's longest pause between calls that fail.
const _mostPause = 600 * time.Millisecond

// fakeStore is a platform's store: a configuration that is only a revision,
// and upstreams that are ids.
type fakeStore struct {
	mu        sync.Mutex
	revision  uint64
	config    uint64
	upstreams map[string]uint64
	events    []Item
	// down turns calls away; lost makes the next watch of upstreams say that
	// history is gone.
	down bool
	lost bool
	// deaf makes watches wait without an answer.
	deaf bool
	// busy is how long a whole read takes to begin.
	busy time.Duration
	// reads counts whole reads, watches the other calls.
	reads   int
	watches int
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		revision:  10,
		config:    1,
		upstreams: map[string]uint64{"u1": 5},
	}
}

func (s *fakeStore) change(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	change()
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) put(id string) {
	s.change(func() {
		s.upstreams[id] = s.revision
		s.events = append(s.events, Item{
			ID:       id,
			Value:    []byte(id),
			Revision: s.revision,
		})
	})
}

func (s *fakeStore) remove(id string) {
	s.change(func() {
		delete(s.upstreams, id)
		s.events = append(s.events, Item{
			ID:       id,
			Revision: s.revision,
			Deleted:  true,
		})
	})
}

func (s *fakeStore) available() error {
	if s.down {
		return errors.New("store is down")
	}
	return nil
}

func (s *fakeStore) source() Source {
	return Source{
		Read: func(_ context.Context, wait time.Duration) ([]Item, uint64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reads++
			if wait+_replyTimeout < s.busy {
				return nil, 0, errors.New("no progress")
			}
			items := []Item{s.configuration()}
			for id, revision := range s.upstreams {
				items = append(items, Item{
					ID:       id,
					Value:    []byte(id),
					Revision: revision,
				})
			}
			return items, s.revision, s.available()
		},
		Watch: s.watch,
		DecodeConfiguration: func(data []byte) (*qlroute.Document, error) {
			document := &qlroute.Document{}
			_, err := fmt.Sscan(string(data), &document.Revision)
			return document, errors.Trace(err)
		},
		DecodeUpstream: func(id string, data []byte) (qlcatalog.Entry, error) {
			if strings.HasPrefix(string(data), "bad") {
				return qlcatalog.Entry{}, errors.NotValidf("entry %q", id)
			}
			return qlcatalog.Entry{
				ID:    id,
				State: qlcatalog.Ready,
				Raw:   data,
			}, nil
		},
		Calls: func() int64 { return 0 },
	}
}

func (s *fakeStore) configuration() Item {
	return Item{
		Configuration: true,
		Value:         []byte(fmt.Sprint(s.config)),
		Revision:      s.config,
	}
}

// changes returns what changed after the revision.
func (s *fakeStore) changes(after uint64) []Item {
	var items []Item
	if item := s.configuration(); item.Revision > after {
		items = append(items, item)
	}
	for _, item := range s.events {
		if item.Revision > after {
			items = append(items, item)
		}
	}
	return items
}

func (s *fakeStore) watch(ctx context.Context, after uint64, wait time.Duration) ([]Item, uint64, error) {
	s.set(func() { s.watches++ })
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		err, deaf, lost, revision, items := s.available(), s.deaf, s.lost, s.revision, s.changes(after)
		s.mu.Unlock()
		switch {
		case deaf:
			select {
			case <-ctx.Done():
			case <-time.After(wait + _replyTimeout):
			}
			return nil, 0, errors.New("no progress")
		case err != nil:
			return nil, 0, err
		case lost:
			s.set(func() { s.lost = false })
			return nil, 0, errors.Trace(ErrHistoryLost)
		case len(items) > 0 || time.Now().After(end):
			return items, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, errors.Trace(ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// loopback returns a loopback address of this process's own: on 127.0.0.1 the
// kernel may hand a port that was free to another process's connection.
func loopback(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, os.Getpid()%250, n)
}

// freePorts returns addresses on loopback that were free a moment ago.
func freePorts(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", loopback(1)+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// running is an edge that runs, and its addresses.
type running struct {
	edge    *Edge
	callers string
	ready   string
	ops     string
	peers   string
	stop    func() error
}

// start runs an edge; its seeds are peer addresses, all with one port.
func start(t *testing.T, id string, store *fakeStore, change func(settings *qlsetting.Edge)) *running {
	t.Helper()
	ports := freePorts(t, 4)
	settings := &qlsetting.Edge{
		ID:                id,
		Zone:              "z1",
		CallerAddress:     ports[0],
		ReadyAddress:      ports[1],
		OperationsAddress: ports[2],
		PeerAddress:       ports[3],
		Memory:            256,
		Descriptors:       1000,
		Processors:        1,
		StopDeadline:      qljson.Duration(2 * time.Second),
		BalancerNotice:    qljson.Duration(100 * time.Millisecond),
		RetryRatio:        0.2,
		RetryWindow:       qljson.Duration(time.Second),
		Placement:         qlsetting.PlacementOwner,
	}
	if change != nil {
		change(settings)
	}
	edge, err := New(Config{
		Settings: settings,
		Source:   store.source(),
		Dialect: qlforward.Dialect{
			ReadCaller:  func(http.Header) qlforward.Caller { return qlforward.Caller{} },
			SetOutgoing: func(http.Header, qlforward.Outgoing) {},
			ReadAnswer:  func(*http.Response) qlforward.Answer { return qlforward.Answer{} },
		},
		Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- edge.Run(ctx) }()
	r := &running{
		edge:    edge,
		callers: ports[0],
		ready:   ports[1],
		ops:     ports[2],
		peers:   ports[3],
	}
	r.stop = sync.OnceValue(func() error {
		cancel()
		select {
		case err := <-ended:
			return err
		case <-time.After(5 * time.Second):
			return errors.New("the stop takes more than 5 s")
		}
	})
	t.Cleanup(func() { _ = r.stop() })
	return r
}

// state returns what the edge has: its configuration's revision, then its
// upstreams.
func (r *running) state() string {
	state := ""
	r.edge.fleet.Call(func(time.Duration) {
		configuration, _ := r.edge.revisions()
		state = fmt.Sprint(configuration)
		for _, entry := range r.edge.catalog.Entries() {
			state += " " + entry.ID
		}
	})
	return state
}

func (r *running) await(t *testing.T, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = r.state(); got == want {
			return
		}
	}
	t.Fatalf("state: got %q, want %q within 4 s", got, want)
}

func status(t *testing.T, address, path string) int {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestDocumentsAreFollowed(t *testing.T) {
	store := newFakeStore()
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	store.put("u2")
	store.change(func() { store.config = store.revision })
	r.await(t, "12 u1 u2")
	store.remove("u1")
	r.await(t, "12 u2")
}

func TestConfigurationOnlyGoesForward(t *testing.T) {
	store := newFakeStore()
	store.config = 8
	r := start(t, "r1", store, nil)
	r.await(t, "8 u1")
	r.edge.fleet.Call(func(time.Duration) {
		r.edge.adoptConfiguration([]byte("7"), "test")
		r.edge.adoptConfiguration([]byte("no number"), "test")
	})
	r.await(t, "8 u1")
}

func TestLostHistoryIsReadWhole(t *testing.T) {
	store := newFakeStore()
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	// The events are gone, so only a whole read can tell.
	store.change(func() {
		store.upstreams["u3"] = store.revision
		store.lost = true
	})
	r.await(t, "1 u1 u3")
}

// TestDeafWatchIsFoundOut plays the fault by which a watch that got no answer
// hid a change for more than six seconds.
func TestDeafWatchIsFoundOut(t *testing.T) {
	store := newFakeStore()
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	store.set(func() { store.deaf = true })
	time.Sleep(50 * time.Millisecond)
	store.change(func() { store.config = store.revision })
	time.Sleep(qlfeed.WatchWait)
	store.set(func() { store.deaf = false })
	began := time.Now()
	r.await(t, "11 u1")
	if took := time.Since(began); took > _replyTimeout+_mostPause+qlfeed.WatchWait {
		t.Errorf("taken %v after the store answers again, want it sooner", took)
	}
}

func TestEntryThatCannotBeReadNamesNoUpstream(t *testing.T) {
	store := newFakeStore()
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	store.change(func() {
		store.events = append(store.events, Item{
			ID:       "u9",
			Value:    []byte("bad"),
			Revision: store.revision,
		})
	})
	store.put("u2")
	r.await(t, "1 u1 u2")
}

func TestLapsedUpstreamsAreKeptThroughAnOutage(t *testing.T) {
	store := newFakeStore()
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	store.set(func() { store.down = true })
	// The watch fails before the store returns.
	for away := false; !away; time.Sleep(time.Millisecond) {
		r.edge.fleet.Call(func(now time.Duration) { away = !r.edge.catalog.Settled(now) })
	}
	store.remove("u1")
	store.set(func() { store.down = false })
	time.Sleep(2 * _mostPause)
	if got, want := r.state(), "1 u1"; got != want {
		t.Errorf("just after the outage: got %q, want %q", got, want)
	}
	r.await(t, "1")
}

func TestRouterHearsFromAnother(t *testing.T) {
	store := newFakeStore()
	first := start(t, "r1", store, nil)
	first.await(t, "1 u1")
	away := newFakeStore()
	away.down = true
	_, port, err := net.SplitHostPort(first.peers)
	if err != nil {
		t.Fatal(err)
	}
	second := start(t, "r2", away, func(settings *qlsetting.Edge) {
		settings.PeerAddress = net.JoinHostPort(loopback(2), port)
		settings.Seeds = []string{loopback(1) + ":1"}
	})
	second.await(t, "1 u1")
	store.change(func() { store.config = store.revision })
	store.put("u2")
	second.await(t, "11 u1 u2")
	store.remove("u1")
	second.await(t, "11 u2")
}

// startFleet runs routers of one zone on one store each, on addresses of
// loopback with the same port; the first is the largest, and so the reader.
func startFleet(t *testing.T, stores ...*fakeStore) []*running {
	t.Helper()
	_, port, err := net.SplitHostPort(freePorts(t, 1)[0])
	if err != nil {
		t.Fatal(err)
	}
	var fleet []*running
	for i, store := range stores {
		fleet = append(fleet, start(t, fmt.Sprintf("r%d", i+1), store, func(settings *qlsetting.Edge) {
			settings.PeerAddress = net.JoinHostPort(loopback(i+1), port)
			settings.Seeds = []string{loopback(1) + ":1"}
			settings.ProcessorPart = 1 / float64(i+1)
		}))
	}
	for end := time.Now().Add(4 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		ready := 0
		for _, r := range fleet {
			r.edge.fleet.Call(func(now time.Duration) {
				if r.edge.feed.Reads() == (r == fleet[0]) && (r == fleet[0] || r.edge.feed.Wait(now) > 0) {
					ready++
				}
			})
		}
		if ready == len(fleet) {
			return fleet
		}
		if time.Now().After(end) {
			t.Fatalf("routers that know who reads: got %d, want %d within 4 s", ready, len(fleet))
		}
	}
}

// TestFewCallsToTheStore counts the calls of routers that a reader tells.
func TestFewCallsToTheStore(t *testing.T) {
	store, other := newFakeStore(), newFakeStore()
	fleet := startFleet(t, store, other, other, other)
	time.Sleep(qlfeed.WatchWait)
	before := 0
	other.set(func() { before = other.watches + other.reads })
	for i := range 5 {
		store.put(fmt.Sprintf("u%d", i+2))
		time.Sleep(300 * time.Millisecond)
	}
	store.change(func() { store.config = store.revision })
	store.remove("u3")
	for _, r := range fleet {
		r.await(t, "16 u1 u2 u4 u5 u6")
	}
	other.set(func() {
		if got := other.watches + other.reads - before; got != 0 {
			t.Errorf("calls by routers that are told: got %d, want none", got)
		}
	})
}

// TestSilentReaderIsMadeUpFor has a reader stop telling: the others call the
// store themselves before a change is due.
func TestSilentReaderIsMadeUpFor(t *testing.T) {
	store, other := newFakeStore(), newFakeStore()
	fleet := startFleet(t, store, other)
	if err := fleet[0].stop(); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	other.change(func() { other.config = other.revision })
	fleet[1].await(t, "11 u1")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("in force after %v, want 2s at most", took)
	}
}

// TestGapInTheNewsIsFetched has a router miss a change and hear of the next.
func TestGapInTheNewsIsFetched(t *testing.T) {
	store := newFakeStore()
	fleet := startFleet(t, store, newFakeStore())
	fleet[0].edge.fleet.Call(func(now time.Duration) {
		e := fleet[0].edge
		e.apply(now, []Item{
			{
				ID:       "u2",
				Value:    []byte("u2"),
				Revision: 19,
			},
			{
				ID:       "u1",
				Revision: 20,
				Deleted:  true,
			},
		}, "test")
		e.catalog.Advance(20)
		e.tell(now, []Item{{
			ID:       "u3",
			Value:    []byte("u3"),
			Revision: 21,
		}}, 20, 21)
	})
	fleet[1].await(t, "1 u2")
}

// TestReaderPassesOtherReadersNewsOn: what the reader tells next begins where
// it stands, so its members must stand there, too.
func TestReaderPassesOtherReadersNewsOn(t *testing.T) {
	fleet := startFleet(t, newFakeStore(), newFakeStore())
	fleet[0].edge.fleet.Call(func(now time.Duration) {
		fleet[0].edge.takeNews(now, "", &qlfleetwire.News{
			After:    10,
			Revision: 30,
			Settled:  true,
			Items: []*qlfleetwire.Item{{
				Id:       "u2",
				Value:    []byte("u2"),
				Revision: 30,
			}},
		})
	})
	fleet[1].await(t, "1 u1 u2")
	fleet[1].edge.fleet.Call(func(time.Duration) {
		if got, want := fleet[1].edge.catalog.Revision(), uint64(30); got != want {
			t.Errorf("revision of the member: got %d, want %d", got, want)
		}
	})
}

// TestManyChangesAtOnce needs several datagrams, and a document that fits none.
func TestManyChangesAtOnce(t *testing.T) {
	store := newFakeStore()
	fleet := startFleet(t, store, newFakeStore())
	long := strings.Repeat("x", 200)
	ids := []string{"u1"}
	store.change(func() {
		for i := range 40 {
			store.revision++
			ids = append(ids, fmt.Sprintf("v%02d-%s", i, long))
			store.upstreams[ids[i+1]] = store.revision
			store.events = append(store.events, Item{
				ID:       ids[i+1],
				Value:    []byte(ids[i+1]),
				Revision: store.revision,
			})
		}
	})
	fleet[1].awaitCount(t, len(ids))
	store.put("w" + strings.Repeat(long, _newsBytes/len(long)+1))
	fleet[1].awaitCount(t, len(ids)+1)
}

// awaitCount waits for a number of upstreams.
func (r *running) awaitCount(t *testing.T, want int) {
	t.Helper()
	got := 0
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		r.edge.fleet.Call(func(time.Duration) { got = len(r.edge.catalog.Entries()) })
		if got == want {
			return
		}
	}
	t.Fatalf("upstreams: got %d, want %d within 4 s", got, want)
}

// TestBlindReaderPassesNewsOn has the store turn a reader away; it hears from
// the reader of another zone, and tells its own.
func TestBlindReaderPassesNewsOn(t *testing.T) {
	store, other := newFakeStore(), newFakeStore()
	fleet := startFleet(t, store, other)
	store.set(func() { store.down = true })
	for away := false; !away; time.Sleep(time.Millisecond) {
		fleet[0].edge.fleet.Call(func(time.Duration) { away = fleet[0].edge.feed.Away() })
	}
	fleet[0].edge.fleet.Call(func(now time.Duration) {
		fleet[0].edge.takeNews(now, "", &qlfleetwire.News{
			After:    10,
			Revision: 30,
			Settled:  true,
			Items: []*qlfleetwire.Item{{
				Id:       "u2",
				Value:    []byte("u2"),
				Revision: 30,
			}},
		})
	})
	fleet[1].await(t, "1 u1 u2")
}

// TestBusyStoreIsWaitedFor has the store take longer to begin an answer than a
// call usually waits.
func TestBusyStoreIsWaitedFor(t *testing.T) {
	store := newFakeStore()
	store.busy = 3 * time.Second
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	if got, most := store.reads, 4; got > most {
		t.Errorf("whole reads: got %d, want %d at most", got, most)
	}
}

func TestReadiness(t *testing.T) {
	store := newFakeStore()
	store.down = true
	r := start(t, "r1", store, nil)
	time.Sleep(_firstView + 200*time.Millisecond)
	if got, want := status(t, r.ready, "/readyz"), 503; got != want {
		t.Errorf("without documents: got %d, want %d", got, want)
	}
	if got, want := status(t, r.callers, "/x/"), 503; got != want {
		t.Errorf("a request without documents: got %d, want %d", got, want)
	}
	store.set(func() { store.down = false })
	r.await(t, "1 u1")
	if got, want := status(t, r.ready, "/readyz"), 200; got != want {
		t.Errorf("with documents: got %d, want %d", got, want)
	}
	if err := r.stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
}

func TestStopTakesConnectionsUntilTheBalancerHasNoticed(t *testing.T) {
	r := start(t, "r1", newFakeStore(), func(settings *qlsetting.Edge) {
		settings.BalancerNotice = qljson.Duration(400 * time.Millisecond)
	})
	r.await(t, "1 u1")
	stopped := make(chan error, 1)
	go func() { stopped <- r.stop() }()
	time.Sleep(100 * time.Millisecond)
	if got, want := status(t, r.ready, "/readyz"), 503; got != want {
		t.Errorf("readiness while stopping: got %d, want %d", got, want)
	}
	if got, want := status(t, r.callers, "/x/"), 404; got != want {
		t.Errorf("a request while stopping: got %d, want %d", got, want)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
	if got, want := status(t, r.callers, "/x/"), 0; got != want {
		t.Errorf("a request after the stop: got %d, want no connection", got)
	}
}

func TestDumpsAreJSON(t *testing.T) {
	r := start(t, "r1", newFakeStore(), nil)
	r.await(t, "1 u1")
	for path, name := range map[string]string{"/debug/vars": "first-event", "/debug/state": "members"} {
		response, err := http.Get("http://" + r.ops + path)
		if err != nil {
			t.Fatal(err)
		}
		var got map[string]any
		if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
			t.Errorf("%s: %v", path, err)
		}
		_ = response.Body.Close()
		if _, ok := got[name]; !ok {
			t.Errorf("%s: got no %q", path, name)
		}
	}
}

func TestConnectionsWithoutRoomAreClosedUnread(t *testing.T) {
	c := newCallerConnections(10, 1)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	g := &gate{
		Listener: listener,
		takes:    c.takes,
	}
	go func() {
		for {
			conn, err := g.Accept()
			if err != nil {
				return
			}
			c.follow(conn, http.StateNew)
		}
	}()
	for i := range 10 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err = conn.Read(make([]byte, 1))
		if got, want := errors.Is(err, os.ErrDeadlineExceeded), i < c.most; got != want {
			t.Errorf("connection %d: got kept %v (%v), want %v", i, got, err, want)
		}
	}
	if _, _, turned := c.counts(); turned != uint64(10-c.most) {
		t.Errorf("turned away: got %d, want %d", turned, 10-c.most)
	}
}

// TestTurnedAwayRequestIsRefused has a request come before its connection is
// looked at.
func TestTurnedAwayRequestIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	if _, err := caller.Write([]byte("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	g := &gate{
		Listener: listener,
		takes:    func() bool { return false },
	}
	go func() { _, _ = g.Accept() }()
	_ = caller.SetReadDeadline(time.Now().Add(time.Second))
	got, err := io.ReadAll(caller)
	if err != nil || string(got) != _turnAnswer {
		t.Errorf("got %q, %v, want the refusal", got, err)
	}
}

// TestIdleConnectionWithARequestIsKept: a request that was not read must not be
// lost because its connection seems idle.
func TestIdleConnectionWithARequestIsKept(t *testing.T) {
	c := newCallerConnections(10, 1)
	caller, conn := tcpPair(t)
	for range c.full {
		other, _ := net.Pipe()
		c.follow(other, http.StateNew)
	}
	c.changed(conn, http.StateNew)
	if _, err := caller.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	c.changed(conn, http.StateIdle)
	if _, err := conn.Read(make([]byte, 3)); err != nil {
		t.Errorf("the connection was closed: %v", err)
	}
	c.changed(conn, http.StateIdle)
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("an idle connection beyond the bound: got %v, want it closed", err)
	}
}

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (caller, conn net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if caller, err = net.Dial("tcp4", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if conn, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = caller.Close()
		_ = conn.Close()
	})
	return caller, conn
}

// TestCallerThatLeftIsSeen looks at connections as the forwarder does.
func TestCallerThatLeftIsSeen(t *testing.T) {
	caller, conn := tcpPair(t)
	e := &Edge{
		shedder: qlshed.New(),
	}
	ctx := context.WithValue(context.Background(), connectionKey{}, conn)
	e.shedder.Sample(0, time.Second)
	if e.callerLeft(ctx) {
		t.Error("a caller that waits is taken for gone")
	}
	// A request that was not read yet keeps a stop from closing the connection.
	c := newCallerConnections(10, 1)
	c.follow(conn, http.StateNew)
	c.follow(conn, http.StateIdle)
	if c.anyUnread() {
		t.Error("an empty connection is said to hold a request")
	}
	if _, err := caller.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); !c.anyUnread(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a request that was not read is not seen")
		}
	}
	if _, err := conn.Read(make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	_ = caller.Close()
	for end := time.Now().Add(time.Second); !e.callerLeft(ctx); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a caller that closed its connection is not seen")
		}
	}
}

func TestIdleConnectionsYield(t *testing.T) {
	c := newCallerConnections(10, 1)
	var conns []net.Conn
	for range 7 {
		conn, _ := net.Pipe()
		conns = append(conns, conn)
		if victim := c.follow(conn, http.StateNew); victim != nil {
			t.Fatal("a connection that is not idle was closed")
		}
	}
	if !c.isCrowded() {
		t.Error("7 connections of 10 descriptors are not taken for crowded")
	}
	c.follow(conns[3], http.StateActive)
	victim := c.follow(conns[3], http.StateIdle)
	if victim != conns[3] {
		t.Error("the idle connection was not chosen")
	}
	c.follow(conns[3], http.StateClosed)
	if got := c.follow(conns[4], http.StateIdle); got != nil {
		t.Error("a connection was closed below the bound")
	}
	if open, closed, turned := c.counts(); open != 6 || closed != 1 || turned != 0 {
		t.Errorf("counts: got %d open, %d closed and %d turned away, want 6, 1 and 0", open, closed, turned)
	}
}

func TestSeedsThatAreNoAddressesAreLogged(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	got := peerAddresses(&qlsetting.Edge{
		PeerAddress: "10.0.0.1:7400",
		Seeds:       []string{"10.0.0.2:8785", "no address", "10.0.0.3:8785"},
	}, zap.New(core))
	if want := []string{"10.0.0.2:7400", "10.0.0.3:7400"}; !slices.Equal(got, want) {
		t.Errorf("addresses: got %v, want %v", got, want)
	}
	if got, want := logs.FilterMessage("seed-invalid").Len(), 1; got != want {
		t.Errorf("lines about seeds: got %d, want %d", got, want)
	}
}
