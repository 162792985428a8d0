package qledge

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlforward"
	"github.com/quetzallane/quetzallane/internal/qlloopbacktest"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/pkg/qljson"
	"go.uber.org/zap"
)

// _replyTimeout is how much longer than a call's wait a source waits for an
// answer.
const _replyTimeout = 700 * time.Millisecond

// _maxPause is a watcher's longest pause after a failed call.
const _maxPause = 600 * time.Millisecond

// The customers of each configuration hold a key that is their name.
const (
	_heavyCustomer = "heavy"
	_lightCustomer = "light"
	_otherCustomer = "other"
	_keyHeader     = "Key"
)

// fakeStore stands in for a platform's store. Its configuration is only a
// revision, and its upstreams are only ids.
type fakeStore struct {
	mu sync.Mutex
	// era rises when the store is restored from an older copy.
	era       uint64
	revision  uint64
	config    uint64
	upstreams map[string]uint64
	events    []Item
	// down makes calls fail; historyLost makes the next watch fail with
	// ErrHistoryLost.
	down        bool
	historyLost bool
	// watchesHang makes watches wait without an answer until they time out.
	// watchPanics makes the next watch panic.
	watchPanics bool
	watchesHang bool
	// routes and services are those of each configuration, and addresses those of the
	// upstreams. Upstreams serve the service of their name, if it is one.
	routes    []qlroute.RouteConfig
	services  []qlroute.ServiceConfig
	addresses map[string]string
	// readStartDelay is how long the answer to a read of all documents takes to
	// begin.
	readStartDelay time.Duration
	// reads counts reads of all documents, watches the other calls.
	reads   int
	watches int
	// onHead and onRequest are called when this store's router examines a request's head
	// before the server has it, and when it handles a request; they may be nil.
	onHead    func()
	onRequest func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		era:       1,
		revision:  10,
		config:    1,
		upstreams: map[string]uint64{"u1": 5},
	}
}

// commit raises the store's revision and makes the change at that revision.
func (s *fakeStore) commit(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	change()
}

func (s *fakeStore) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) put(id string) {
	s.commit(func() {
		s.upstreams[id] = s.revision
		s.events = append(s.events, Item{
			ID:       id,
			Value:    []byte(id),
			Position: s.at(s.revision),
		})
	})
}

func (s *fakeStore) remove(id string) {
	s.commit(func() {
		delete(s.upstreams, id)
		s.events = append(s.events, Item{
			ID:       id,
			Position: s.at(s.revision),
			Deleted:  true,
		})
	})
}

func (s *fakeStore) availableErr() error {
	if s.down {
		return errors.New("store is down")
	}
	return nil
}

func (s *fakeStore) source() Source {
	return Source{
		Read: func(_ context.Context, wait time.Duration) ([]Item, qlposition.Position, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reads++
			if wait+_replyTimeout < s.readStartDelay {
				return nil, qlposition.Position{}, errors.New("no progress")
			}
			items := []Item{s.configuration()}
			for id, revision := range s.upstreams {
				items = append(items, Item{
					ID:       id,
					Value:    []byte(id),
					Position: s.at(revision),
				})
			}
			return items, s.at(s.revision), s.availableErr()
		},
		Watch: s.watch,
		DecodeConfiguration: func(data []byte) (*qlroute.Document, error) {
			document := &qlroute.Document{
				Customers: []qlroute.CustomerConfig{
					{Name: _heavyCustomer, Keys: []string{_heavyCustomer}},
					{Name: _lightCustomer, Keys: []string{_lightCustomer}},
					{Name: _otherCustomer, Keys: []string{_otherCustomer}},
				},
				Routes:   s.routes,
				Services: s.services,
			}
			_, err := fmt.Sscan(string(data), &document.Revision)
			return document, errors.Trace(err)
		},
		DecodeUpstream: func(id string, data []byte) (qlcatalog.Entry, error) {
			if strings.HasPrefix(string(data), "panic") {
				panic("fault in the decoder")
			}
			if strings.HasPrefix(string(data), "bad") {
				return qlcatalog.Entry{}, errors.NotValidf("entry %q", id)
			}
			return qlcatalog.Entry{
				ID:      id,
				Service: id,
				Address: s.addresses[id],
				Slots:   100,
				State:   qlcatalog.Ready,
				Raw:     data,
			}, nil
		},
		Calls: func() int64 { return 0 },
	}
}

// dialect returns a dialect of which only the caller's key is known.
func (s *fakeStore) dialect() qlforward.Dialect {
	dialect := testDialect()
	readCaller, readHead := dialect.ReadCaller, dialect.ReadHead
	dialect.ReadCaller = func(header http.Header) qlforward.Caller {
		if s.onRequest != nil {
			s.onRequest()
		}
		return readCaller(header)
	}
	dialect.ReadHead = func(get func(name string) string) (id, key string) {
		if s.onHead != nil {
			s.onHead()
		}
		return readHead(get)
	}
	return dialect
}

func (s *fakeStore) configuration() Item {
	return Item{
		Configuration: true,
		Value:         []byte(fmt.Sprint(s.config)),
		Position:      s.at(s.config),
	}
}

// changes returns the changes after the revision.
func (s *fakeStore) changes(after uint64) []Item {
	var items []Item
	if item := s.configuration(); item.Position.Revision > after {
		items = append(items, item)
	}
	for _, item := range s.events {
		if item.Position.Revision > after {
			item.Position.Era = s.era
			items = append(items, item)
		}
	}
	return items
}

// at returns the position of a revision in the store's era.
func (s *fakeStore) at(revision uint64) qlposition.Position {
	return qlposition.Position{
		Era:      s.era,
		Revision: revision,
	}
}

// at returns the position of a revision in the first era.
func at(revision uint64) qlposition.Position {
	return newFakeStore().at(revision)
}

// storeCopy is what a store held at a time.
type storeCopy struct {
	revision, config uint64
	upstreams        map[string]uint64
	events           int
}

// copy returns a copy of what the store holds.
func (s *fakeStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{
		revision:  s.revision,
		config:    s.config,
		upstreams: maps.Clone(s.upstreams),
		events:    len(s.events),
	}
}

// restore replaces what the store holds by the copy. The caller holds the lock.
func (s *fakeStore) restore(from storeCopy) {
	s.era++
	s.revision, s.config = from.revision, from.config
	s.upstreams = maps.Clone(from.upstreams)
	s.events = s.events[:from.events:from.events]
}

func (s *fakeStore) watch(ctx context.Context, after qlposition.Position, wait time.Duration) ([]Item, qlposition.Position, error) {
	panics := false
	s.withLock(func() {
		s.watches++
		panics, s.watchPanics = s.watchPanics, false
	})
	if panics {
		panic("fault in the store's client")
	}
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		err, hang, historyLost, position, items := s.availableErr(), s.watchesHang, s.historyLost, s.at(s.revision), s.changes(after.Revision)
		historyLost = historyLost || after.Revision > s.revision
		s.mu.Unlock()
		switch {
		case hang:
			select {
			case <-ctx.Done():
			case <-time.After(wait + _replyTimeout):
			}
			return nil, qlposition.Position{}, errors.New("no progress")
		case err != nil:
			return nil, position, err
		case historyLost:
			s.withLock(func() { s.historyLost = false })
			return nil, position, errors.Trace(ErrHistoryLost)
		case len(items) > 0 || time.Now().After(end):
			return items, position, nil
		}
		select {
		case <-ctx.Done():
			return nil, position, errors.Trace(ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// freePorts returns addresses on loopback that were free a moment ago.
func freePorts(t testing.TB, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", qlloopbacktest.IP(1)+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// runningEdge is an Edge that runs, with its addresses.
type runningEdge struct {
	edge       *Edge
	callers    string
	ready      string
	operations string
	peers      string
	stop       func() error
}

// startEdge runs an Edge until the test ends. change, which may be nil, alters
// its settings.
func startEdge(t testing.TB, id string, store *fakeStore, change func(settings *qlsetting.Edge)) *runningEdge {
	t.Helper()
	ports := freePorts(t, 5)
	settings := &qlsetting.Edge{
		ID:                id,
		Zone:              "z1",
		CallerAddress:     ports[0],
		ReadyAddress:      ports[1],
		OperationsAddress: ports[2],
		PeerAddress:       ports[3],
		OffloadAddress:    ports[4],
		MemoryMB:          256,
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
		Dialect:  store.dialect(),
		Log:      zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- edge.Run(ctx) }()
	r := &runningEdge{
		edge:       edge,
		callers:    ports[0],
		ready:      ports[1],
		operations: ports[2],
		peers:      ports[3],
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

// state returns the documents in force: the configuration's revision, then the
// upstreams' ids.
func (r *runningEdge) state() string {
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

// awaitState waits until the documents in force are the wanted ones.
func (r *runningEdge) awaitState(t testing.TB, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = r.state(); got == want {
			return
		}
	}
	t.Fatalf("state: got %q, want %q within 4 s", got, want)
}

// getStatus returns the status of the answer to a GET request, or 0 if there
// was none.
func getStatus(t *testing.T, address, path string) int {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// startFleet runs one router for each store, all in one zone, on loopback
// addresses with the same port, which replaces that of the seeds. The first has
// the largest capacity and is the watcher.
func startFleet(t *testing.T, stores ...*fakeStore) []*runningEdge {
	t.Helper()
	fractions := make([]float64, len(stores))
	for i := range fractions {
		fractions[i] = 1 / float64(i+1)
	}
	return startSizedFleet(t, fractions, stores...)
}

// startSizedFleet is like startFleet for VMs with these fractions of a processor, in
// descending order.
func startSizedFleet(t testing.TB, fractions []float64, stores ...*fakeStore) []*runningEdge {
	t.Helper()
	free := freePorts(t, 2)
	_, port, err := net.SplitHostPort(free[0])
	if err != nil {
		t.Fatal(err)
	}
	_, offloadPort, err := net.SplitHostPort(free[1])
	if err != nil {
		t.Fatal(err)
	}
	var fleet []*runningEdge
	for i, store := range stores {
		fleet = append(fleet, startEdge(t, fmt.Sprintf("r%d", i+1), store, func(settings *qlsetting.Edge) {
			settings.PeerAddress = net.JoinHostPort(qlloopbacktest.IP(i+1), port)
			settings.OffloadAddress = net.JoinHostPort(qlloopbacktest.IP(i+1), offloadPort)
			settings.Seeds = []string{qlloopbacktest.IP(1) + ":1"}
			settings.ProcessorFraction = fractions[i]
		}))
	}
	for end := time.Now().Add(4 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		ready := 0
		for _, r := range fleet {
			r.edge.fleet.Call(func(now time.Duration) {
				if r.edge.feed.IsWatcher() == (r == fleet[0]) && (r == fleet[0] || r.edge.feed.CallDelay(now) > 0) {
					ready++
				}
			})
		}
		if ready == len(fleet) {
			return fleet
		}
		if time.Now().After(end) {
			t.Fatalf("routers that know the watcher: got %d, want %d within 4 s", ready, len(fleet))
		}
	}
}

// awaitCount waits until the list has the wanted number of upstreams.
func (r *runningEdge) awaitCount(t *testing.T, want int) {
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

// tcpPair returns the two ends of a TCP connection.
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
