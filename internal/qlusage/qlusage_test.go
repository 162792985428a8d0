package qlusage_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlusage"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"pgregory.net/rapid"
)

const (
	_largestCost = 1000.0
	// _homeUptime is how long a home has been running when a test begins.
	_homeUptime = 10 * time.Second
)

// TestMain fixes the seed of random tests, so that their results are the same
// every time; -rapid.seed=N sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

func newHome(t interface{ Errorf(string, ...any) }, limit int) *qlusage.Home {
	return qlusage.New(qlusage.Config{
		Limits: func(string) (qlfair.Limits, bool) {
			return qlfair.Limits{
				Share:       2,
				MaxInFlight: limit,
			}, true
		},
		LargestCost:       func(string) float64 { return _largestCost },
		UnleasedAllowance: func(_, _, _ string, limit int) int { return limit / 6 },
		Leasable:          func(_ string, limit int) int { return limit - 3*(limit/6) },
		Monitor: &qlinvariant.Monitor{
			Report: func(v qlinvariant.Violation) { t.Errorf("invariant: %v", v) },
		},
	})
}

// testDispatcher is one dispatcher's counters and what it last received from a
// home.
type testDispatcher struct {
	id       string
	used     int64
	included int64
	known    int64
	allotted uint32
	sequence uint64
}

func (d *testDispatcher) report() *qlwire.UsageReport {
	d.sequence++
	return &qlwire.UsageReport{
		Sequence: d.sequence,
		Pool:     "m",
		Items: []*qlwire.UsageItem{
			{
				Customer:         "c",
				Used:             d.used,
				Unreported:       d.used - d.included,
				KnownVirtualTime: d.known,
				InFlight:         1,
				Allotted:         d.allotted,
			},
		},
	}
}

func (d *testDispatcher) apply(reply *qlwire.UsageReply) {
	total := reply.GetTotals()[0]
	d.known = total.GetVirtualTime()
	d.included = total.GetIncluded()
	d.allotted = total.GetMaxInFlight()
}

// TestReportsLostRepeatedReordered delivers reports of three dispatchers in any
// order, some twice and some never. After one more report from each, the
// virtual time is all service divided by the share.
func TestReportsLostRepeatedReordered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home := newHome(t, 100)
		dispatchers := []*testDispatcher{{id: "r1"}, {id: "r2"}, {id: "r3"}}
		type sent struct {
			from   *testDispatcher
			report *qlwire.UsageReport
		}
		var inTransit []sent
		now := _homeUptime
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 500).Draw(t, "pause")) * time.Millisecond
			d := dispatchers[rapid.IntRange(0, 2).Draw(t, "dispatcher")]
			d.used += int64(rapid.IntRange(0, 300).Draw(t, "served"))
			inTransit = append(inTransit, sent{from: d, report: d.report()})
			if rapid.Bool().Draw(t, "deliver") {
				next := inTransit[rapid.IntRange(0, len(inTransit)-1).Draw(t, "which")]
				reply := home.ApplyReport(now, next.from.id, 1, next.report)
				if rapid.Bool().Draw(t, "answer arrives") {
					next.from.apply(reply)
				}
			}
		}
		total := int64(0)
		for _, d := range dispatchers {
			d.apply(home.ApplyReport(now, d.id, 1, d.report()))
			total += d.used
		}
		got := home.State()[0].VirtualTime
		if want := float64(total) / 2; math.Abs(got-want) > 0.01*float64(len(dispatchers)) {
			t.Errorf("virtual time: got %v, want %v", got, want)
		}
	})
}

// TestNewHomeIsCompleteAfterOneRound replaces a home by an empty one. After one
// report of each dispatcher, the new home knows the virtual time.
func TestNewHomeIsCompleteAfterOneRound(t *testing.T) {
	home := newHome(t, 100)
	dispatchers := []*testDispatcher{{id: "r1"}, {id: "r2"}, {id: "r3"}}
	total := int64(0)
	round := func(home *qlusage.Home, now time.Duration) {
		for i, d := range dispatchers {
			d.used += int64(100 * (i + 1))
			total += int64(100 * (i + 1))
			d.apply(home.ApplyReport(now, d.id, 1, d.report()))
		}
	}
	for i := range 5 {
		round(home, _homeUptime+time.Duration(i)*time.Second)
	}
	next := newHome(t, 100)
	round(next, _homeUptime+6*time.Second)
	got, want := next.State()[0].VirtualTime, float64(total)/2
	// The virtual time that dispatchers know is up to one round old.
	if math.Abs(got-want) > 600 {
		t.Errorf("virtual time at the new home: got %v, want %v within 600, the service of one round", got, want)
	}
}

// leaseHolder is a dispatcher that holds a part of a limit. It applies answers
// in order and with a delay, and its requests continue to run when its part is
// lowered.
type leaseHolder struct {
	id       string
	running  uint32
	held     uint32
	answered uint64
	answers  []*qlwire.UsageReply
}

// inUse returns what the dispatcher may have in flight at any moment.
func (h *leaseHolder) inUse() uint32 {
	return max(h.held, h.running)
}

func (h *leaseHolder) report(t *rapid.T, sequence uint64) *qlwire.UsageReport {
	return &qlwire.UsageReport{
		Sequence: sequence,
		Answered: h.answered,
		Pool:     "m",
		Items: []*qlwire.UsageItem{
			{
				Customer: "c",
				InFlight: h.running,
				Waiting:  uint32(rapid.IntRange(0, 50).Draw(t, "waiting")),
				Allotted: h.held,
			},
		},
	}
}

// receive applies the oldest answer in transit.
func (h *leaseHolder) receive() {
	if len(h.answers) == 0 {
		return
	}
	answer := h.answers[0]
	h.answers = h.answers[1:]
	h.held = answer.GetTotals()[0].GetMaxInFlight()
	h.answered = answer.GetSequence()
}

// TestAllotmentsStayWithinTheLimit reports random demands. What the dispatchers
// may have in flight at the same time never adds up to more than the limit,
// even though requests outlast a lowered part and reports cross answers in
// transit.
func TestAllotmentsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := 3 * rapid.IntRange(1, 20).Draw(t, "limit")
		home := newHome(t, limit)
		var holders []*leaseHolder
		for i := range 3 {
			holders = append(holders, &leaseHolder{
				id:   fmt.Sprint("r", i),
				held: uint32(limit / 6),
			})
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := holders[rapid.IntRange(0, 2).Draw(t, "dispatcher")]
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				h.answers = append(h.answers, home.ApplyReport(_homeUptime+time.Duration(step)*50*time.Millisecond, h.id, 1, h.report(t, uint64(step+1))))
			case 1:
				h.receive()
			case 2:
				h.running = uint32(rapid.IntRange(0, int(h.inUse())).Draw(t, "running"))
			}
			sum := uint32(0)
			for _, holder := range holders {
				sum += holder.inUse()
			}
			if sum > uint32(limit) {
				t.Errorf("requests in flight may add up to %d, want at most %d", sum, limit)
			}
		}
	})
}

// TestRestartedHomeStartsNobodyAtZero reports a customer that is new at its
// dispatcher to a home that has just restarted. The home leaves the customer out
// of its answer until it knows the system's virtual time: a customer that started
// at 0 would be served before all others.
func TestRestartedHomeStartsNobodyAtZero(t *testing.T) {
	home := newHome(t, 100)
	d := &testDispatcher{
		id:   "r1",
		used: 50,
	}
	reply := home.ApplyReport(100*time.Millisecond, "r1", 1, d.report())
	if got := reply.GetTotals(); len(got) != 0 {
		t.Errorf("totals of a home without a virtual time: got %v, want none", got)
	}
	home.SetVirtualTime(200*time.Millisecond, "m", 5000)
	reply = home.ApplyReport(300*time.Millisecond, "r1", 1, d.report())
	if got, want := qlwire.ToVirtual(reply.GetTotals()[0].GetVirtualTime()), 5025.0; got != want {
		t.Errorf("virtual time: got %v, want %v", got, want)
	}
}
