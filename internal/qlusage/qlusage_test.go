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
	_largest = 1000.0
	// _up is the time for which a home is up when a test begins.
	_up = 10 * time.Second
)

// TestMain fixes the seed of random tests, so that their verdict is the same
// every time; -rapid.seed=N takes another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

func newHome(t interface{ Errorf(string, ...any) }, bound int) *qlusage.Home {
	return qlusage.New(qlusage.Config{
		Limits: func(string) (qlfair.Limits, bool) {
			return qlfair.Limits{
				Share:       2,
				MaxInFlight: bound,
			}, true
		},
		LargestCost:       func(string) float64 { return _largest },
		UnleasedAllowance: func(_, _, _ string, bound int) int { return bound / 6 },
		Leasable:          func(_ string, bound int) int { return bound - 3*(bound/6) },
		Monitor: &qlinvariant.Monitor{
			Report: func(v qlinvariant.Violation) { t.Errorf("invariant: %v", v) },
		},
	})
}

// source plays one dispatcher: its counters and what a home last told it.
type source struct {
	id       string
	used     int64
	included int64
	known    int64
	allotted uint32
	sequence uint64
}

func (s *source) report() *qlwire.UsageReport {
	s.sequence++
	return &qlwire.UsageReport{
		Sequence: s.sequence,
		Pool:     "m",
		Items: []*qlwire.UsageItem{
			{
				Customer:         "c",
				Used:             s.used,
				Unreported:       s.used - s.included,
				KnownVirtualTime: s.known,
				InFlight:         1,
				Allotted:         s.allotted,
			},
		},
	}
}

func (s *source) apply(reply *qlwire.UsageReply) {
	total := reply.GetTotals()[0]
	s.known = total.GetVirtualTime()
	s.included = total.GetIncluded()
	s.allotted = total.GetMaxInFlight()
}

// TestReportsLostRepeatedReordered delivers reports of three dispatchers in
// any order, some twice, some never. Once each has been heard again, the
// virtual time is all service divided by the share.
func TestReportsLostRepeatedReordered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home := newHome(t, 100)
		sources := []*source{{id: "r1"}, {id: "r2"}, {id: "r3"}}
		type sent struct {
			from   *source
			report *qlwire.UsageReport
		}
		var underWay []sent
		now := _up
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 500).Draw(t, "pause")) * time.Millisecond
			s := sources[rapid.IntRange(0, 2).Draw(t, "source")]
			s.used += int64(rapid.IntRange(0, 300).Draw(t, "served"))
			underWay = append(underWay, sent{from: s, report: s.report()})
			if rapid.Bool().Draw(t, "deliver") {
				next := underWay[rapid.IntRange(0, len(underWay)-1).Draw(t, "which")]
				reply := home.Report(now, next.from.id, 1, next.report)
				if rapid.Bool().Draw(t, "answer arrives") {
					next.from.apply(reply)
				}
			}
		}
		total := int64(0)
		for _, s := range sources {
			s.apply(home.Report(now, s.id, 1, s.report()))
			total += s.used
		}
		got := home.State()[0].VirtualTime
		if want := float64(total) / 2; math.Abs(got-want) > 0.01*float64(len(sources)) {
			t.Errorf("virtual time: got %v, want %v", got, want)
		}
	})
}

// TestNewHomeIsWholeAfterOneRound lets a home die and another take over.
func TestNewHomeIsWholeAfterOneRound(t *testing.T) {
	home := newHome(t, 100)
	sources := []*source{{id: "r1"}, {id: "r2"}, {id: "r3"}}
	total := int64(0)
	round := func(home *qlusage.Home, now time.Duration) {
		for i, s := range sources {
			s.used += int64(100 * (i + 1))
			total += int64(100 * (i + 1))
			s.apply(home.Report(now, s.id, 1, s.report()))
		}
	}
	for i := range 5 {
		round(home, _up+time.Duration(i)*time.Second)
	}
	next := newHome(t, 100)
	round(next, _up+6*time.Second)
	got, want := next.State()[0].VirtualTime, float64(total)/2
	// The dispatchers' knowledge is up to one round old.
	if math.Abs(got-want) > 600 {
		t.Errorf("virtual time at the new home: got %v, want %v within a round's 600", got, want)
	}
}

// holder plays a dispatcher that holds a part of a limit. It applies answers in
// order, some time after they were given, and keeps what runs with it when its
// part is lowered.
type holder struct {
	id       string
	running  uint32
	held     uint32
	answered uint64
	answers  []*qlwire.UsageReply
}

// using is what the dispatcher may have in flight at any moment.
func (h *holder) using() uint32 {
	return max(h.held, h.running)
}

func (h *holder) report(t *rapid.T, sequence uint64) *qlwire.UsageReport {
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

// receive applies the oldest answer under way.
func (h *holder) receive() {
	if len(h.answers) == 0 {
		return
	}
	answer := h.answers[0]
	h.answers = h.answers[1:]
	h.held = answer.GetTotals()[0].GetMaxInFlight()
	h.answered = answer.GetSequence()
}

// TestAllotmentsStayWithinTheBound reports random demands; what dispatchers
// may have in flight at the same time never adds up to more than the limit,
// though requests outlast a lowered part, and reports cross answers.
func TestAllotmentsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := 3 * rapid.IntRange(1, 20).Draw(t, "bound")
		home := newHome(t, bound)
		var holders []*holder
		for i := range 3 {
			holders = append(holders, &holder{
				id:   fmt.Sprint("r", i),
				held: uint32(bound / 6),
			})
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := holders[rapid.IntRange(0, 2).Draw(t, "dispatcher")]
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				h.answers = append(h.answers, home.Report(_up+time.Duration(step)*50*time.Millisecond, h.id, 1, h.report(t, uint64(step+1))))
			case 1:
				h.receive()
			case 2:
				h.running = uint32(rapid.IntRange(0, int(h.using())).Draw(t, "running"))
			}
			sum := uint32(0)
			for _, other := range holders {
				sum += other.using()
			}
			if sum > uint32(bound) {
				t.Errorf("in flight may add up to %d, want at most %d", sum, bound)
			}
		}
	})
}

// TestRestartedHomePlacesNobodyAtZero reports a customer that is new at its
// dispatcher to a home that has just restarted. The home learns the system's
// virtual time before it answers.
func TestRestartedHomePlacesNobodyAtZero(t *testing.T) {
	home := newHome(t, 100)
	s := &source{
		id:   "r1",
		used: 50,
	}
	reply := home.Report(100*time.Millisecond, "r1", 1, s.report())
	if got := reply.GetTotals(); len(got) != 0 {
		t.Errorf("totals of a home that knows nothing: got %v, want none", got)
	}
	home.SetVirtualTime(200*time.Millisecond, "m", 5000)
	reply = home.Report(300*time.Millisecond, "r1", 1, s.report())
	if got, want := qlwire.ToVirtual(reply.GetTotals()[0].GetVirtualTime()), 5025.0; got != want {
		t.Errorf("virtual time: got %v, want %v", got, want)
	}
}
