package qladmission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qlshed"
)

const (
	_testCustomer = "depot"
	_testService  = "engines"
)

// decisionCase is the state of a router when a request of _testCustomer arrives.
type decisionCase struct {
	name string
	// cores sets the budget: without cores, it is used up.
	cores       float64
	peers       bool
	offloadable bool
	lag         time.Duration
	// overShare is the customer that the owner of the engines has refused.
	overShare string
	// want is what is decided at first, and wantDeclined what follows once no other router
	// has taken the request.
	want         Action
	wantDeclined Action
	// calm is set if the processor keeps up.
	calm bool
	// full is set if the others have no room at present.
	full bool
}

func (c *decisionCase) newController() *Controller {
	shedder := qlshed.New()
	chance := 0.0
	controller := New(Config{
		Budget:  qloffload.NewBudget(c.cores),
		Shedder: shedder,
		CanOffload: func() (bool, qloffload.Reason) {
			if c.full {
				return false, qloffload.NoRoom
			}
			return c.peers, qloffload.NoPeers
		},
		Strained: func() bool { return !c.calm },
		Clock:    func() time.Duration { return time.Second },
		Chance:   func() float64 { return chance },
	})
	if c.overShare != "" {
		for range 2 * _minShareRefusals {
			controller.Decide(_testService, c.overShare, c.offloadable)
			controller.RecordOverShare(_testService, c.overShare)
		}
	}
	if c.lag > 0 {
		shedder.RecordLag(time.Second, c.lag)
	}
	// Whoever may be refused is.
	chance = 0.999
	return controller
}

// TestRequestsAreOffloadedBeforeTheyAreRefused guards against the refusal of requests that
// other routers would take.
func TestRequestsAreOffloadedBeforeTheyAreRefused(t *testing.T) {
	const lag = time.Second
	for _, c := range []decisionCase{
		{name: "within the budget", cores: 1, peers: true, offloadable: true, want: Handle, wantDeclined: Handle},
		{name: "within the budget, lag", cores: 1, peers: true, offloadable: true, lag: lag, want: Handle, wantDeclined: Refuse},
		{name: "beyond the budget", peers: true, offloadable: true, want: Offload, wantDeclined: Handle},
		{name: "beyond the budget, lag", peers: true, offloadable: true, lag: lag, want: Offload, wantDeclined: Refuse},
		{name: "not offloadable", peers: true, want: Handle, wantDeclined: Handle},
		{name: "not offloadable, lag", peers: true, lag: lag, want: Refuse, wantDeclined: Refuse},
		{name: "no room elsewhere", peers: true, full: true, offloadable: true, want: Handle, wantDeclined: Handle},
		{name: "no room elsewhere, lag", peers: true, full: true, offloadable: true, lag: lag, want: Refuse, wantDeclined: Refuse},
		{name: "no room elsewhere, lag within the budget", cores: 1, peers: true, full: true, offloadable: true, lag: lag, want: Handle, wantDeclined: Refuse},
		{name: "no other router", offloadable: true, want: Handle, wantDeclined: Handle},
		{name: "no other router, lag", offloadable: true, lag: lag, want: Refuse, wantDeclined: Refuse},
		{name: "no other router, lag within the budget", cores: 1, offloadable: true, lag: lag, want: Refuse, wantDeclined: Refuse},
		{name: "above its share", cores: 1, peers: true, offloadable: true, overShare: _testCustomer, want: RefuseShare, wantDeclined: Handle},
		{name: "above its share, no other router", overShare: _testCustomer, want: RefuseShare, wantDeclined: Handle},
		{name: "above its share, lag", peers: true, offloadable: true, lag: lag, overShare: _testCustomer, want: RefuseShare, wantDeclined: Refuse},
		{name: "above its share, processor keeps up", cores: 1, peers: true, offloadable: true, overShare: _testCustomer, calm: true, want: Handle, wantDeclined: Handle},
		{name: "above its share, refuses for the processor", cores: 1, peers: true, offloadable: true, lag: lag, overShare: _testCustomer, calm: true, want: RefuseShare, wantDeclined: Refuse},
		{name: "another above its share", cores: 1, peers: true, offloadable: true, overShare: "other", want: Handle, wantDeclined: Handle},
		{name: "another above its share, beyond the budget", peers: true, offloadable: true, overShare: "other", want: Offload, wantDeclined: Handle},
	} {
		controller := c.newController()
		if got := controller.Decide(_testService, _testCustomer, c.offloadable); got != c.want {
			t.Errorf("%s: got action %d, want %d", c.name, got, c.want)
		}
		if got := controller.DecideDeclined(_testService, _testCustomer); got != c.wantDeclined {
			t.Errorf("%s, declined: got action %d, want %d", c.name, got, c.wantDeclined)
		}
		if got, want := controller.IsLimiting(), c.want == RefuseShare; got != want {
			t.Errorf("%s: limiting: got %v, want %v", c.name, got, want)
		}
	}
}

// TestOnlyRequestsForEnginesAreRefusedForShares guards against a refusal for a share that the
// owner of the engines knows nothing of.
func TestOnlyRequestsForEnginesAreRefusedForShares(t *testing.T) {
	c := decisionCase{
		cores:     1,
		peers:     true,
		overShare: _testCustomer,
	}
	controller := c.newController()
	for _, service := range []string{"", "other-engines"} {
		if got := controller.Decide(service, _testCustomer, true); got != Handle {
			t.Errorf("service %q: got action %d, want %d", service, got, Handle)
		}
	}
}

// TestLaggingOrRefusingRouterTakesNoOffloadedRequests guards against work that moves to a
// router that cannot do its own.
func TestLaggingOrRefusingRouterTakesNoOffloadedRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		earlier  time.Duration
		lag      time.Duration
		wantTake bool
	}{
		{name: "calm", wantTake: true},
		{name: "lag up to the limit", lag: 30 * time.Millisecond, wantTake: true},
		{name: "lag above the limit", lag: 31 * time.Millisecond},
		{name: "refuses since an earlier lag", earlier: time.Second},
	} {
		shedder := qlshed.New()
		shedder.RecordLag(time.Second, c.earlier)
		controller := New(Config{
			Shedder: shedder,
		})
		if got := controller.TakesOffloaded(c.lag); got != c.wantTake {
			t.Errorf("%s: got %v, want %v", c.name, got, c.wantTake)
		}
	}
}

// TestOverloadedRouterTellsCustomersOfTheirShare guards against a customer above its share that
// is told "overloaded" since most of its requests never reach the owner.
func TestOverloadedRouterTellsCustomersOfTheirShare(t *testing.T) {
	const (
		requestsPerTick = 40
		// The processor handles handledPerTick requests.
		handledPerTick = 4
		placedPart     = 0.3
		lag            = 60 * time.Millisecond
		// At first, the processor is late with everything.
		lateUntil = time.Second
		settled   = 3 * time.Second
		wantShare = 0.8
	)
	now := time.Duration(0)
	random := rand.New(rand.NewPCG(37, 216))
	shedder := qlshed.New()
	controller := New(Config{
		Budget:     qloffload.NewBudget(0),
		Shedder:    shedder,
		CanOffload: func() (bool, qloffload.Reason) { return false, qloffload.NoPeers },
		Strained:   func() bool { return true },
		Clock:      func() time.Duration { return now },
		Chance:     random.Float64,
	})
	counts, backlog := make(map[Action]int), 0
	for ; now < 2*settled; now += 10 * time.Millisecond {
		if backlog = max(backlog-handledPerTick, 0); backlog > 0 || now < lateUntil {
			shedder.RecordLag(now, lag)
		} else {
			shedder.RecordLag(now, 0)
		}
		for range requestsPerTick {
			action := controller.Decide(_testService, _testCustomer, false)
			if action == Handle {
				backlog++
			}
			if action == Handle && now >= lateUntil && random.Float64() >= placedPart {
				controller.RecordOverShare(_testService, _testCustomer)
			}
			if now >= settled {
				counts[action]++
			}
		}
	}
	refused := counts[Refuse] + counts[RefuseShare]
	if got, want := counts[RefuseShare], int(wantShare*float64(refused)); got < want {
		t.Errorf("refused for the share: got %d of %d refusals, want %d or more; handled %d", got, refused, want, counts[Handle])
	}
}
