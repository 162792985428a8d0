package qlowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"google.golang.org/protobuf/proto"
)

const (
	// _startSpread is the time within which the VMs of a fleet start.
	_startSpread = 300 * time.Millisecond
	// _discoveryTime is the time after the last start within which all routers must
	// know each other.
	_discoveryTime = 2 * time.Second
	// _packetLoss is the share of datagrams that the network loses on a calm day.
	_packetLoss = 0.001
)

// newStartingNetwork returns a network of routers that are still down.
func newStartingNetwork(t *testing.T, routers int) *network {
	n := newEmptyNetwork(t, routers)
	n.isLost = func(int, int) bool { return n.random.Float64() < _packetLoss/2 }
	for i := range routers {
		n.ids = append(n.ids, fmt.Sprintf("r%d", i))
		n.cores = append(n.cores, nil)
	}
	return n
}

// startAll starts all routers in random order within _startSpread.
func (n *network) startAll(incarnation uint64) {
	order := n.random.Perm(len(n.ids))
	for at, i := range order {
		n.cores[i] = n.newCore(i, n.ids[i], incarnation)
		if at%10 == 0 {
			n.advance(10 * _startSpread / time.Duration(len(order)))
		}
	}
}

// lowestLiveCount returns the lowest number of live routers in any router's view.
func (n *network) lowestLiveCount() int {
	lowest := len(n.cores)
	for _, core := range n.cores {
		lowest = min(lowest, core.LiveCount())
	}
	return lowest
}

// TestLargeFleetKnowsItselfSoonAfterStart starts all routers of a large fleet
// together, cuts the power of all of them, and starts them again. Each time, every
// router must know all others soon, and must not take any of them for dead after
// that: requests are placed by owners, which follow from the live routers.
func TestLargeFleetKnowsItselfSoonAfterStart(t *testing.T) {
	for _, routers := range []int{67, 195, 301} {
		n := newStartingNetwork(t, routers)
		for start := range uint64(2) {
			n.startAll(1 + start)
			n.advance(_discoveryTime)
			lowest := n.lowestLiveCount()
			t.Logf("%d routers, start %d: the lowest live count is %d", routers, start, lowest)
			if lowest != routers {
				t.Errorf("%d routers, start %d: a router sees %d live ones after %v, want all", routers, start, lowest, _discoveryTime)
			}
			for range 8 {
				n.advance(500 * time.Millisecond)
				if got := n.lowestLiveCount(); got != routers {
					t.Errorf("%d routers, start %d: a router sees %d live ones after %v, want all", routers, start, got, n.now)
				}
			}
		}
	}
}

// TestHalfOfLargeFleetReturns kills a random half of a large fleet at one moment and
// starts it again later. Soon after their return all routers must know each other.
func TestHalfOfLargeFleetReturns(t *testing.T) {
	for _, routers := range []int{67, 195, 301} {
		n, killed := newNetworkAfterLoss(t, routers)
		for _, i := range killed {
			n.cores[i] = n.newCore(i, n.ids[i], 2)
		}
		n.advance(_discoveryTime)
		if got := n.lowestLiveCount(); got != routers {
			t.Errorf("%d routers: a router sees %d live ones after the return, want all", routers, got)
		}
	}
}

// TestLossOfHalfOfLargeFleetIsKnown kills a random half of a large fleet at one moment.
// Every router must know of every loss by the time at which the users count a fleet of
// this size as settled.
func TestLossOfHalfOfLargeFleetIsKnown(t *testing.T) {
	for _, routers := range []int{67, 195, 301} {
		n, killed := newNetworkAfterLoss(t, routers)
		if got, want := n.highestLiveCount(), routers-len(killed); got != want {
			t.Errorf("%d routers: a router sees %d live ones after the loss, want %d", routers, got, want)
		}
	}
}

// TestEachLossIsSuspectedSoon guards against a dead router that nobody happens to probe: the
// time left after _suspicionTimeout must suffice to detect it, and to tell all.
func TestEachLossIsSuspectedSoon(t *testing.T) {
	for _, routers := range []int{67, 195, 301} {
		n := newStartingNetwork(t, routers)
		n.startAll(1)
		n.advance(_discoveryTime + 4*time.Second)
		killed := n.random.Perm(routers)[:routers*55/100]
		for _, i := range killed {
			n.cores[i] = nil
		}
		n.advance(_lossDetectionTime - _suspicionTimeout - _discoveryTime)
		suspected := make(map[string]bool)
		for _, core := range n.cores {
			if core == nil {
				continue
			}
			for _, member := range core.Members() {
				if member.State != qlmember.Alive.String() {
					suspected[member.ID] = true
				}
			}
		}
		missed := 0
		for _, i := range killed {
			if !suspected[n.ids[i]] {
				missed++
			}
		}
		if missed > 0 {
			t.Errorf("%d routers: nobody suspects %d of %d dead ones after %v, want all", routers, missed, len(killed),
				_lossDetectionTime-_suspicionTimeout-_discoveryTime)
		}
	}
}

// TestNewsAreFetchedFromLiveRouters guards against routers that ask dead ones, and so
// nobody, which losses they have missed.
func TestNewsAreFetchedFromLiveRouters(t *testing.T) {
	const routers, live = 9, 4
	n := newNetwork(t, routers)
	for i := live; i < routers; i++ {
		n.cores[i] = nil
	}
	for end := n.now + 5*time.Second; n.highestLiveCount() > live; n.advance(_timeStep) {
		if n.now > end {
			t.Fatalf("a router sees %d live ones after 5 s, want %d", n.highestLiveCount(), live)
		}
	}
	n.advance(2 * _networkDelay)
	asked, askedDead := 0, 0
	for range 2 * time.Second / _timeStep {
		n.advance(_timeStep)
		for _, d := range n.inFlight {
			packet := &qlfleetwire.Packet{}
			if err := proto.Unmarshal(d.packet, packet); err != nil {
				t.Fatal(err)
			}
			if d.deliverAt != n.now+_networkDelay-_timeStep || !packet.GetIntroduction().GetWantsReply() {
				continue
			}
			asked++
			if n.cores[d.to] == nil {
				askedDead++
			}
		}
	}
	if asked == 0 || askedDead > 0 {
		t.Errorf("%d of %d questions went to dead routers, want none of some", askedDead, asked)
	}
}

// TestDeadRoutersAreForgotten guards against a fleet in which the routers of replaced
// VMs stay known for good, and are probed in vain. One that was forgotten and returns
// must be discovered again.
func TestDeadRoutersAreForgotten(t *testing.T) {
	n := newNetwork(t, 9)
	lost := (n.owner() + 1) % 9
	n.cores[lost] = nil
	n.advance(10 * time.Second)
	n.now += _forgetAfter
	n.advance(10 * time.Second)
	for i, core := range n.cores {
		if core != nil && (core.routers[n.ids[lost]] != nil || core.LiveCount() != 8) {
			t.Errorf("router %d still knows %s, or sees %d live routers, want 8", i, n.ids[lost], core.LiveCount())
		}
	}
	n.cores[lost] = n.newCore(lost, n.ids[lost], 2)
	n.advance(4 * time.Second)
	if got := n.lowestLiveCount(); got != 9 {
		t.Errorf("a router sees %d live ones after the return, want 9", got)
	}
}

// _lossDetectionTime is the time within which the loss of many routers must be known:
// the users' stable-ms at 195 VMs.
const _lossDetectionTime = 5 * time.Second

// newNetworkAfterLoss returns a network of which 55% were killed _lossDetectionTime
// ago, and the indexes of those.
func newNetworkAfterLoss(t *testing.T, routers int) (n *network, killed []int) {
	n = newStartingNetwork(t, routers)
	n.startAll(1)
	n.advance(_discoveryTime + 4*time.Second)
	killed = n.random.Perm(routers)[:routers*55/100]
	for _, i := range killed {
		n.cores[i] = nil
	}
	n.advance(_lossDetectionTime)
	return n, killed
}

// highestLiveCount returns the highest number of live routers in the view of any
// router that is up.
func (n *network) highestLiveCount() int {
	highest := 0
	for _, core := range n.cores {
		if core != nil {
			highest = max(highest, core.LiveCount())
		}
	}
	return highest
}
