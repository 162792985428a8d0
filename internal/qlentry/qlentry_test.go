package qlentry_test

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// entryFixture is an entry with one remote dispatcher, r2, and no local one. It
// records the requests started and refused and the outcomes sent.
type entryFixture struct {
	entry    *qlentry.Entry
	started  []uint64
	refused  map[uint64]qlcode.Code
	outcomes []qldispatch.Outcome
	number   uint64
}

func newEntryFixture() *entryFixture {
	f := &entryFixture{
		refused: make(map[uint64]qlcode.Code),
	}
	f.entry = qlentry.New(qlentry.Config{
		Self:   "r1",
		Zone:   "z1",
		Start:  func(id uint64, _ qlentry.Assignment) { f.started = append(f.started, id) },
		Refuse: func(id uint64, code qlcode.Code, _ time.Duration) { f.refused[id] = code },
		Send: func(_ string, message *qlwire.Message) {
			if done := message.GetDone(); done != nil {
				f.outcomes = append(f.outcomes, qldispatch.Outcome(done.GetOutcome()))
			}
		},
		LocalDemand: func(string, string, int, float64, uint64) int { return 0 },
		LocalDone:   func(uint64, float64, qldispatch.Outcome) {},
		Monitor:     &qlinvariant.Monitor{},
	})
	f.entry.SetPool(0, "m", map[string]string{"u": "r2"}, []qlentry.DispatcherConfig{
		{
			ID:   "r2",
			Zone: "z1",
		},
	})
	return f
}

func (f *entryFixture) submit(now time.Duration, id uint64, retry bool) {
	f.entry.Submit(now, qlentry.Request{
		ID:             id,
		Customer:       "c",
		Pool:           "m",
		Deadline:       now + time.Minute,
		MaxQueueLength: 1000,
		Retry:          retry,
	})
}

// grant passes the entry a new grant of r2 that echoes the given clock reading.
func (f *entryFixture) grant(now, echo time.Duration) {
	f.number++
	f.entry.Grant(now, "r2", 1, qldispatch.NewGrant(qldispatch.GrantConfig{
		Entry:    "r1",
		Number:   f.number,
		Customer: "c",
		Pool:     "m",
		Upstream: "u",
		Echo:     echo,
	}))
}

func TestStaleAndRepeatedGrantsAreNotUsed(t *testing.T) {
	f := newEntryFixture()
	f.submit(0, 1, false)
	f.submit(0, 2, false)
	f.grant(10*time.Second, 8*time.Second)
	if len(f.started) != 0 || len(f.outcomes) != 1 || f.outcomes[0] != qldispatch.Declined {
		t.Errorf("stale grant: got starts %v and outcomes %v, want no start and one Declined", f.started, f.outcomes)
	}
	f.grant(10*time.Second, 10*time.Second)
	f.number--
	f.grant(10*time.Second, 10*time.Second)
	if got, want := len(f.started), 1; got != want {
		t.Errorf("starts after a repeated grant: got %d, want %d", got, want)
	}
}

func TestGrantWithNobodyWaitingIsDeclined(t *testing.T) {
	f := newEntryFixture()
	f.submit(0, 1, false)
	f.entry.Cancel(0, 1)
	f.grant(0, 0)
	if len(f.outcomes) != 1 || f.outcomes[0] != qldispatch.Declined {
		t.Errorf("outcomes: got %v, want one Declined", f.outcomes)
	}
}

// TestRetryBudget guards against a customer whose requests are retried without
// limit: it gets ten retries in a row, and after that one for every ten new
// requests.
func TestRetryBudget(t *testing.T) {
	f := newEntryFixture()
	id := uint64(0)
	retry := func() bool {
		id++
		f.submit(0, id, true)
		return f.refused[id] == 0
	}
	accepted := 0
	for range 50 {
		if retry() {
			accepted++
		}
	}
	if got, want := accepted, 10; got != want {
		t.Errorf("retries in a row: got %d, want %d", got, want)
	}
	for range 30 {
		id++
		f.submit(0, id, false)
	}
	accepted = 0
	for range 50 {
		if retry() {
			accepted++
		}
	}
	if got, want := accepted, 3; got < want-1 || got > want {
		t.Errorf("retries after 30 new requests: got %d, want %d or %d", got, want-1, want)
	}
}
