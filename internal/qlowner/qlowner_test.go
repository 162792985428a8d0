package qlowner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlquarantine"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"google.golang.org/protobuf/proto"
)

// network simulates datagrams between cores, which arrive after a delay and may be
// lost.
type network struct {
	t        *testing.T
	now      time.Duration
	cores    []*Core
	ids      []string
	inFlight []datagram
	random   *rand.Rand
	// seed makes the routers of one network draw other random numbers than those of another.
	seed uint64
	// isLost reports whether a packet between the two routers is lost. It is called
	// when the packet is sent and again when it would arrive.
	isLost func(from, to int) bool
	// lag is how late a router handles packets; nil if no router is late. They are
	// handled in the order of their arrival.
	lag       func(router int) time.Duration
	handledAt map[int]time.Duration
	// deliver handles a datagram that has arrived; nil if routers handle them at once.
	deliver func(d datagram)
	// onOwnerChange is called when a router turns from one owner to another.
	onOwnerChange func(router int, from, to string)
	decisions     map[string]map[uint64]qlplace.Decision
	answers       map[string]*qlquarantine.Answers
	bytes         int
	byAddress     map[string]int
	// seeds are the addresses that new routers begin with.
	seeds []string
}

type datagram struct {
	arrivesAt time.Duration
	deliverAt time.Duration
	from      int
	to        int
	packet    []byte
}

const (
	_networkDelay = 4 * time.Millisecond
	_timeStep     = time.Millisecond
)

func address(i int) string {
	return fmt.Sprintf("10.0.0.%d:7400", i)
}

// newEmptyNetwork returns a network without routers, with addresses for the given
// number of them.
func newEmptyNetwork(t *testing.T, routers int) *network {
	n := &network{
		t:         t,
		random:    rand.New(rand.NewPCG(7, uint64(routers))),
		isLost:    func(int, int) bool { return false },
		decisions: map[string]map[uint64]qlplace.Decision{},
		answers:   map[string]*qlquarantine.Answers{},
		byAddress: map[string]int{},
		seeds:     []string{address(0), address(1)},
		handledAt: map[int]time.Duration{},
	}
	for i := range routers {
		n.byAddress[address(i)] = i
	}
	return n
}

func newNetwork(t *testing.T, routers int) *network {
	t.Helper()
	return newSeededNetwork(t, routers, 0)
}

func newSeededNetwork(t *testing.T, routers int, seed uint64) *network {
	t.Helper()
	n := newEmptyNetwork(t, routers)
	n.seed = seed
	for i := range routers {
		id := fmt.Sprintf("r%d", i)
		n.ids = append(n.ids, id)
		n.cores = append(n.cores, n.newCore(i, id, 1))
	}
	n.advance(2 * time.Second)
	return n
}

func (n *network) newCore(i int, id string, incarnation uint64) *Core {
	n.decisions[id] = map[uint64]qlplace.Decision{}
	core := New(Config{
		Self:        id,
		Zone:        fmt.Sprintf("z%d", i%3),
		Address:     address(i),
		Incarnation: incarnation,
		Random:      rand.New(rand.NewPCG(uint64(i), incarnation+n.seed<<32)),
		Seeds:       n.seeds,
		Send: func(to string, packet *qlfleetwire.Packet) {
			body, err := proto.Marshal(packet)
			if err != nil {
				n.t.Fatal(err)
			}
			n.bytes += len(body)
			if target, ok := n.byAddress[to]; ok && !n.isLost(i, target) {
				n.inFlight = append(n.inFlight, datagram{
					arrivesAt: n.now + _networkDelay,
					deliverAt: n.handleAt(target),
					from:      i,
					to:        target,
					packet:    body,
				})
			}
		},
		OnDecision: func(request uint64, decision qlplace.Decision) {
			n.decisions[id][request] = decision
		},
		OnOwnerChange: func(from, to string) {
			if n.onOwnerChange != nil {
				n.onOwnerChange(i, from, to)
			}
		},
		OnMessageError:   func(router string, err error) { panic(router + ": " + err.Error()) },
		Revisions:        func() (uint64, qlposition.Position) { return 0, qlposition.Position{} },
		OnNewerDocuments: func(string) {},
		OnLiveChange:     func([]qlring.Node) {},
		OnInformed:       func() {},
		Quarantine: qlquarantine.Config{
			OnChange: func(*qlquarantine.List) {},
		},
		Answers: n.answersOf(id),
	})
	core.Placer().SetEngines(testEngines())
	return core
}

// handleAt returns when a router handles a packet that is sent to it now.
func (n *network) handleAt(router int) time.Duration {
	at := n.now + _networkDelay
	if n.lag != nil {
		at = max(at+n.lag(router), n.handledAt[router])
		n.handledAt[router] = at
	}
	return at
}

// answersOf returns what a router remembers of answers, across its restarts.
func (n *network) answersOf(id string) *qlquarantine.Answers {
	if n.answers[id] == nil {
		n.answers[id] = &qlquarantine.Answers{}
	}
	return n.answers[id]
}

func testEngines() []qlplace.EngineInfo {
	infos := make([]qlplace.EngineInfo, 4)
	for i := range infos {
		infos[i] = qlplace.EngineInfo{
			ID:      fmt.Sprintf("e%d", i),
			Service: "models",
			Zone:    "z0",
			Config: qlengine.Config{
				Slots:          32,
				KVCacheTokens:  100_000,
				TokensPerEvent: 5,
			},
		}
	}
	return infos
}

// advance simulates a span of time. Cores that are nil are down.
func (n *network) advance(span time.Duration) {
	for end := n.now + span; n.now < end; n.now += _timeStep {
		pending := n.inFlight
		n.inFlight = nil
		for _, d := range pending {
			if d.deliverAt > n.now {
				n.inFlight = append(n.inFlight, d)
				continue
			}
			if n.deliver != nil {
				n.deliver(d)
				continue
			}
			n.receive(d)
		}
		for _, core := range n.cores {
			if core != nil {
				core.Expire(n.now)
				core.Flush(n.now)
				if n.now%(50*time.Millisecond) == 0 {
					core.Tick(n.now)
				}
			}
		}
	}
}

// receive has a router handle a datagram.
func (n *network) receive(d datagram) {
	packet := &qlfleetwire.Packet{}
	if err := proto.Unmarshal(d.packet, packet); err != nil {
		n.t.Fatal(err)
	}
	if core := n.cores[d.to]; core != nil && !n.isLost(d.from, d.to) {
		core.Receive(n.now, min(d.arrivesAt, n.now), address(d.from), packet)
	}
}

func (n *network) ask(router int, request uint64) {
	n.cores[router].Ask(n.now, &qlplace.Request{
		Key: qlengine.Key{
			Request: request,
		},
		Service:          "models",
		Customer:         "c",
		Zone:             "z0",
		LatencyObjective: 500 * time.Millisecond,
		Prompt: qlengine.Prompt{
			Tokens:          1000,
			MaxOutputTokens: 50,
		},
	})
}

// owner returns the index of the router that considers itself the owner.
func (n *network) owner() int {
	n.t.Helper()
	for i, core := range n.cores {
		if core != nil && core.chooseOwner(n.now, _groupKeyPrefix) == n.ids[i] {
			return i
		}
	}
	n.t.Fatal("no router considers itself the owner")
	return -1
}

// activeRequestCount returns the number of active requests on all engines that a
// router knows of.
func (n *network) activeRequestCount(router int) int {
	count := 0
	for _, pool := range n.cores[router].Placer().State(n.now) {
		for _, engine := range pool.Engines {
			count += engine.ActiveRequests
		}
	}
	return count
}

func TestAllRoutersAskOneOwner(t *testing.T) {
	n := newNetwork(t, 7)
	owner := n.owner()
	for i := range n.cores {
		n.ask(i, 1)
	}
	n.advance(30 * time.Millisecond)
	for i, id := range n.ids {
		decision, ok := n.decisions[id][1]
		if !ok || decision.Decider != n.ids[owner] || decision.Engine == "" {
			t.Errorf("router %d: got %+v, want an engine by %s", i, decision, n.ids[owner])
		}
	}
	if got, want := n.activeRequestCount(owner), 7; got != want {
		t.Errorf("active requests that the owner knows of: got %d, want %d", got, want)
	}
	for i := range n.cores {
		n.cores[i].FirstEvent(n.now, 1, 0)
		n.cores[i].End(n.now, 1, qlengine.Completed)
	}
	n.advance(50 * time.Millisecond)
	if got, want := n.activeRequestCount(owner), 0; got != want {
		t.Errorf("active requests after their ends: got %d, want %d", got, want)
	}
}

func TestLostOwnerIsSkipped(t *testing.T) {
	n := newNetwork(t, 7)
	owner := n.owner()
	asker := (owner + 1) % 7
	n.ask(asker, 1)
	n.advance(30 * time.Millisecond)
	n.cores[owner] = nil
	for request := uint64(2); request < 12; request++ {
		n.ask(asker, request)
		n.advance(_answerTimeout + 5*time.Millisecond)
		if _, ok := n.decisions[n.ids[asker]][request]; !ok {
			t.Fatalf("request %d is not decided after %v", request, _answerTimeout)
		}
	}
	last := n.decisions[n.ids[asker]][11]
	if last.Decider == n.ids[owner] || last.Engine == "" {
		t.Errorf("last decision: got %+v, want an engine by another router", last)
	}
	n.advance(3 * time.Second)
	next := n.owner()
	if next == owner {
		t.Fatal("the lost router is still the owner")
	}
	for i := range n.cores {
		if n.cores[i] != nil && n.cores[i].chooseOwner(n.now, _groupKeyPrefix) != n.ids[next] {
			t.Errorf("router %d asks %s, want %s", i, n.cores[i].chooseOwner(n.now, _groupKeyPrefix), n.ids[next])
		}
	}
	if next != asker && n.activeRequestCount(next) == 0 {
		t.Error("the next owner was not notified of active requests")
	}
}

// TestEndsReachEveryOwner guards against a router that was owner for a moment, kept
// active requests whose ends were reported only to the next owner, and refused
// requests because of them.
func TestEndsReachEveryOwner(t *testing.T) {
	n := newNetwork(t, 7)
	owner := n.owner()
	asker := (owner + 1) % 7
	// The owner's answers are lost for a while, so that the asker turns to another
	// router.
	n.isLost = func(from, to int) bool { return from == owner && to == asker }
	for request := uint64(1); request <= 10; request++ {
		n.ask(asker, request)
		n.advance(60 * time.Millisecond)
	}
	n.isLost = func(int, int) bool { return false }
	n.advance(3 * time.Second)
	for request := uint64(1); request <= 10; request++ {
		n.cores[asker].FirstEvent(n.now, request, 0)
		n.cores[asker].End(n.now, request, qlengine.Completed)
	}
	n.advance(2 * time.Second)
	for i := range n.cores {
		if got := n.activeRequestCount(i); got != 0 {
			t.Errorf("router %d knows of %d active requests after all have ended", i, got)
		}
	}
}

func TestLostEndNotesAreReconciled(t *testing.T) {
	n := newNetwork(t, 5)
	owner := n.owner()
	asker := (owner + 1) % 5
	for request := uint64(1); request <= 20; request++ {
		n.ask(asker, request)
	}
	n.advance(30 * time.Millisecond)
	n.isLost = func(int, int) bool { return true }
	for request := uint64(1); request <= 15; request++ {
		n.cores[asker].End(n.now, request, qlengine.Completed)
	}
	n.advance(50 * time.Millisecond)
	n.isLost = func(int, int) bool { return false }
	n.advance(1500 * time.Millisecond)
	if got, want := n.activeRequestCount(owner), 5; got != want {
		t.Errorf("active requests that the owner knows of: got %d, want %d", got, want)
	}
}

func TestEveryRequestIsDecidedDespitePacketLoss(t *testing.T) {
	n := newNetwork(t, 7)
	n.isLost = func(int, int) bool { return n.random.Float64() < 0.1 }
	for request := range uint64(300) {
		n.ask(int(request%7), request)
		n.advance(5 * time.Millisecond)
	}
	n.advance(100 * time.Millisecond)
	decided := 0
	for _, decisions := range n.decisions {
		decided += len(decisions)
	}
	if got, want := decided, 300; got != want {
		t.Errorf("decided: got %d, want %d", got, want)
	}
	for i := range n.cores {
		if got := len(n.cores[i].questions); got != 0 {
			t.Errorf("router %d has %d unanswered questions", i, got)
		}
	}
}

func TestLeavingRouterIsNotAsked(t *testing.T) {
	n := newNetwork(t, 7)
	owner := n.owner()
	n.cores[owner].Leave()
	n.advance(100 * time.Millisecond)
	for i := range n.cores {
		if got := n.cores[i].chooseOwner(n.now, _groupKeyPrefix); got == n.ids[owner] {
			t.Errorf("router %d still asks %s, which is leaving", i, got)
		}
	}
}

func TestPartitionedRouterRejoins(t *testing.T) {
	n := newNetwork(t, 7)
	owner := n.owner()
	partitioned := (owner + 2) % 7
	n.isLost = func(from, to int) bool { return from == partitioned || to == partitioned }
	n.advance(8 * time.Second)
	if got := n.cores[partitioned].LiveCount(); got != 1 {
		t.Errorf("live routers in the view of the partitioned one: got %d, want only itself", got)
	}
	n.isLost = func(int, int) bool { return false }
	n.advance(8 * time.Second)
	if got, want := n.cores[partitioned].chooseOwner(n.now, _groupKeyPrefix), n.ids[owner]; got != want {
		t.Errorf("owner that the rejoined router asks: got %s, want %s", got, want)
	}
	if got, want := n.cores[partitioned].LiveCount(), 7; got != want {
		t.Errorf("live routers in the view of the rejoined one: got %d, want %d", got, want)
	}
}

func TestSingleRouterDecidesLocally(t *testing.T) {
	n := newNetwork(t, 1)
	n.ask(0, 1)
	if got := n.decisions["r0"][1]; got.Engine == "" || got.Decider != "r0" {
		t.Errorf("decision: got %+v, want an engine by r0", got)
	}
}

func TestRunningEncodingIsCompact(t *testing.T) {
	requests := []uint64{1 << 47, 1<<47 + 1, 1<<47 + 5, 1<<47 + 1000}
	running := encodeRunning(requests)
	body, err := proto.Marshal(running)
	if err != nil {
		t.Fatal(err)
	}
	if len(body) > 20 {
		t.Errorf("four active requests take %d bytes, want 20 at most", len(body))
	}
	got := decodeRunning(running)
	for _, request := range requests {
		if !got[request] {
			t.Errorf("request %d is missing from %v", request, got)
		}
	}
}

func TestRoutersDiscoverEachOtherThroughSeeds(t *testing.T) {
	for _, routers := range []int{2, 9, 62} {
		n := newNetwork(t, routers)
		n.advance(8 * time.Second)
		for i, core := range n.cores {
			if got := core.LiveCount(); got != routers {
				t.Errorf("router %d of %d sees %d live routers", i, routers, got)
			}
		}
	}
}

func TestMalformedMembershipIsReported(t *testing.T) {
	reported := 0
	core := New(Config{
		Self:           "r1",
		Random:         rand.New(rand.NewPCG(1, 1)),
		OnLiveChange:   func([]qlring.Node) {},
		OnInformed:     func() {},
		OnMessageError: func(string, error) { reported++ },
	})
	core.Receive(0, 0, "10.0.0.2:7400", &qlfleetwire.Packet{
		From:       "r2",
		Membership: []byte{0xff},
	})
	if got, want := reported, 1; got != want {
		t.Errorf("errors reported: got %d, want %d", got, want)
	}
}
