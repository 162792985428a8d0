package qlowner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"google.golang.org/protobuf/proto"
)

// network joins cores by datagrams that take some time and may be lost.
type network struct {
	t       *testing.T
	now     time.Duration
	cores   []*Core
	ids     []string
	flights []flight
	random  *rand.Rand
	// lost decides whether a packet is lost.
	lost     func(from, to int) bool
	verdicts map[string]map[uint64]qlplace.Decision
	bytes    int
}

type flight struct {
	at     time.Duration
	from   int
	to     int
	packet []byte
}

const (
	_delay = 4 * time.Millisecond
	_step  = time.Millisecond
)

func address(i int) string {
	return fmt.Sprintf("10.0.0.%d:7400", i)
}

func newNetwork(t *testing.T, routers int) *network {
	t.Helper()
	n := &network{
		t:        t,
		random:   rand.New(rand.NewPCG(7, uint64(routers))),
		lost:     func(int, int) bool { return false },
		verdicts: map[string]map[uint64]qlplace.Decision{},
	}
	for i := range routers {
		id := fmt.Sprintf("r%d", i)
		n.ids = append(n.ids, id)
		n.cores = append(n.cores, n.newCore(i, id, 1))
	}
	n.run(2 * time.Second)
	return n
}

func (n *network) newCore(i int, id string, incarnation uint64) *Core {
	n.verdicts[id] = map[uint64]qlplace.Decision{}
	core := New(Config{
		Self:        id,
		Zone:        fmt.Sprintf("z%d", i%3),
		Address:     address(i),
		Incarnation: incarnation,
		Random:      rand.New(rand.NewPCG(uint64(i), incarnation)),
		Seeds:       []string{address(0), address(1)},
		Send: func(to string, packet *qlfleetwire.Packet) {
			body, err := proto.Marshal(packet)
			if err != nil {
				n.t.Fatal(err)
			}
			n.bytes += len(body)
			for target := range n.ids {
				if address(target) == to && !n.lost(i, target) {
					n.flights = append(n.flights, flight{
						at:     n.now + _delay,
						from:   i,
						to:     target,
						packet: body,
					})
				}
			}
		},
		OnDecision: func(request uint64, verdict qlplace.Decision) {
			n.verdicts[id][request] = verdict
		},
		OnOwnerChange:    func(string, string) {},
		OnMessageError:   func(router string, err error) { panic(router + ": " + err.Error()) },
		Revisions:        func() (uint64, uint64) { return 0, 0 },
		OnNewerDocuments: func(string, uint64, uint64) {},
		OnLiveChange:     func([]qlring.Node) {},
	})
	core.Placer().SetEngines(testEngines())
	return core
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

// run lets time pass. Cores that are nil are down.
func (n *network) run(span time.Duration) {
	for end := n.now + span; n.now < end; n.now += _step {
		flights := n.flights
		n.flights = nil
		for _, f := range flights {
			if f.at > n.now {
				n.flights = append(n.flights, f)
				continue
			}
			packet := &qlfleetwire.Packet{}
			if err := proto.Unmarshal(f.packet, packet); err != nil {
				n.t.Fatal(err)
			}
			if core := n.cores[f.to]; core != nil && !n.lost(f.from, f.to) {
				core.Receive(n.now, address(f.from), packet)
			}
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

// owner returns the router that all others ask.
func (n *network) owner() int {
	n.t.Helper()
	for i, core := range n.cores {
		if core != nil && core.chooseOwner(n.now, _ownerKey) == n.ids[i] {
			return i
		}
	}
	n.t.Fatal("no router takes itself for the owner")
	return -1
}

// running returns the runs that a router counts on all engines.
func (n *network) running(router int) int {
	count := 0
	for _, pool := range n.cores[router].Placer().State(n.now) {
		for _, engine := range pool.Engines {
			count += engine.Running
		}
	}
	return count
}

func TestAllAskOneOwner(t *testing.T) {
	n := newNetwork(t, 7)
	owner := n.owner()
	for i := range n.cores {
		n.ask(i, 1)
	}
	n.run(30 * time.Millisecond)
	for i, id := range n.ids {
		verdict, ok := n.verdicts[id][1]
		if !ok || verdict.Decider != n.ids[owner] || verdict.Engine == "" {
			t.Errorf("router %d: got %+v, want an engine by %s", i, verdict, n.ids[owner])
		}
	}
	if got, want := n.running(owner), 7; got != want {
		t.Errorf("runs that the owner counts: got %d, want %d", got, want)
	}
	for i := range n.cores {
		n.cores[i].FirstEvent(n.now, 1)
		n.cores[i].End(n.now, 1, qlengine.Completed)
	}
	n.run(50 * time.Millisecond)
	if got, want := n.running(owner), 0; got != want {
		t.Errorf("runs after their ends: got %d, want %d", got, want)
	}
}

func TestLostOwnerIsPassedOver(t *testing.T) {
	n := newNetwork(t, 7)
	owner := n.owner()
	asker := (owner + 1) % 7
	n.ask(asker, 1)
	n.run(30 * time.Millisecond)
	n.cores[owner] = nil
	for request := uint64(2); request < 12; request++ {
		n.ask(asker, request)
		n.run(_answerWait + 5*time.Millisecond)
		if _, ok := n.verdicts[n.ids[asker]][request]; !ok {
			t.Fatalf("request %d is not decided after %v", request, _answerWait)
		}
	}
	last := n.verdicts[n.ids[asker]][11]
	if last.Decider == n.ids[owner] || last.Engine == "" {
		t.Errorf("last decision: got %+v, want an engine by another router", last)
	}
	n.run(3 * time.Second)
	next := n.owner()
	if next == owner {
		t.Fatal("the lost router is still the owner")
	}
	for i := range n.cores {
		if n.cores[i] != nil && n.cores[i].chooseOwner(n.now, _ownerKey) != n.ids[next] {
			t.Errorf("router %d asks %s, want %s", i, n.cores[i].chooseOwner(n.now, _ownerKey), n.ids[next])
		}
	}
	if next != asker && n.running(next) == 0 {
		t.Error("the next owner was not told what runs")
	}
}

// TestEndsReachEveryOwner plays the fault by which a router that was owner for
// a moment kept runs whose ends went to the next one, and refused for it.
func TestEndsReachEveryOwner(t *testing.T) {
	n := newNetwork(t, 7)
	owner := n.owner()
	asker := (owner + 1) % 7
	// The owner's answers are lost for a while: the asker turns to another.
	n.lost = func(from, to int) bool { return from == owner && to == asker }
	for request := uint64(1); request <= 10; request++ {
		n.ask(asker, request)
		n.run(60 * time.Millisecond)
	}
	n.lost = func(int, int) bool { return false }
	n.run(3 * time.Second)
	for request := uint64(1); request <= 10; request++ {
		n.cores[asker].FirstEvent(n.now, request)
		n.cores[asker].End(n.now, request, qlengine.Completed)
	}
	n.run(2 * time.Second)
	for i := range n.cores {
		if got := n.running(i); got != 0 {
			t.Errorf("router %d counts %d runs after all ended", i, got)
		}
	}
}

func TestLostNotesAreMadeGood(t *testing.T) {
	n := newNetwork(t, 5)
	owner := n.owner()
	asker := (owner + 1) % 5
	for request := uint64(1); request <= 20; request++ {
		n.ask(asker, request)
	}
	n.run(30 * time.Millisecond)
	n.lost = func(int, int) bool { return true }
	for request := uint64(1); request <= 15; request++ {
		n.cores[asker].End(n.now, request, qlengine.Completed)
	}
	n.run(50 * time.Millisecond)
	n.lost = func(int, int) bool { return false }
	n.run(1500 * time.Millisecond)
	if got, want := n.running(owner), 5; got != want {
		t.Errorf("runs that the owner counts: got %d, want %d", got, want)
	}
}

func TestLossyLinksDecideAll(t *testing.T) {
	n := newNetwork(t, 7)
	n.lost = func(int, int) bool { return n.random.Float64() < 0.1 }
	for request := range uint64(300) {
		n.ask(int(request%7), request)
		n.run(5 * time.Millisecond)
	}
	n.run(100 * time.Millisecond)
	decided := 0
	for _, verdicts := range n.verdicts {
		decided += len(verdicts)
	}
	if got, want := decided, 300; got != want {
		t.Errorf("decided: got %d, want %d", got, want)
	}
	for i := range n.cores {
		if got := len(n.cores[i].questions); got != 0 {
			t.Errorf("router %d has %d open questions", i, got)
		}
	}
}

func TestLeavingRouterIsNotAsked(t *testing.T) {
	n := newNetwork(t, 7)
	owner := n.owner()
	n.cores[owner].Leave()
	n.run(100 * time.Millisecond)
	for i := range n.cores {
		if got := n.cores[i].chooseOwner(n.now, _ownerKey); got == n.ids[owner] {
			t.Errorf("router %d still asks %s, which leaves", i, got)
		}
	}
}

func TestCutRouterReturns(t *testing.T) {
	n := newNetwork(t, 7)
	owner := n.owner()
	cut := (owner + 2) % 7
	n.lost = func(from, to int) bool { return from == cut || to == cut }
	n.run(8 * time.Second)
	if got := n.cores[cut].LiveCount(); got != 1 {
		t.Errorf("routers that the cut one sees: got %d, want itself", got)
	}
	n.lost = func(int, int) bool { return false }
	n.run(8 * time.Second)
	if got, want := n.cores[cut].chooseOwner(n.now, _ownerKey), n.ids[owner]; got != want {
		t.Errorf("owner of the router that was cut: got %s, want %s", got, want)
	}
	if got, want := n.cores[cut].LiveCount(), 7; got != want {
		t.Errorf("routers that it sees: got %d, want %d", got, want)
	}
}

func TestAloneARouterDecides(t *testing.T) {
	n := newNetwork(t, 1)
	n.ask(0, 1)
	if got := n.verdicts["r0"][1]; got.Engine == "" || got.Decider != "r0" {
		t.Errorf("decision: got %+v, want an engine by r0", got)
	}
}

func TestRunningIsCompact(t *testing.T) {
	requests := []uint64{1 << 47, 1<<47 + 1, 1<<47 + 5, 1<<47 + 1000}
	running := encodeRunning(requests)
	body, err := proto.Marshal(running)
	if err != nil {
		t.Fatal(err)
	}
	if len(body) > 20 {
		t.Errorf("four runs take %d bytes, want 20 at most", len(body))
	}
	got := decodeRunning(running)
	for _, request := range requests {
		if !got[request] {
			t.Errorf("request %d is missing from %v", request, got)
		}
	}
}

func TestRoutersFindEachOtherThroughSeeds(t *testing.T) {
	for _, routers := range []int{2, 9, 62} {
		n := newNetwork(t, routers)
		n.run(8 * time.Second)
		for i, core := range n.cores {
			if got := core.LiveCount(); got != routers {
				t.Errorf("router %d of %d sees %d", i, routers, got)
			}
		}
	}
}

func TestMembershipThatCannotBeReadIsReported(t *testing.T) {
	faults := 0
	core := New(Config{
		Self:           "r1",
		Random:         rand.New(rand.NewPCG(1, 1)),
		OnLiveChange:   func([]qlring.Node) {},
		OnMessageError: func(string, error) { faults++ },
	})
	core.Receive(0, "10.0.0.2:7400", &qlfleetwire.Packet{
		From:       "r2",
		Membership: []byte{0xff},
	})
	if got, want := faults, 1; got != want {
		t.Errorf("faults reported: got %d, want %d", got, want)
	}
}
