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

// desk is an entry whose one dispatcher is another router.
type desk struct {
	entry   *qlentry.Entry
	started []uint64
	refused map[uint64]qlcode.Code
	done    []qldispatch.Outcome
	number  uint64
}

func newDesk() *desk {
	d := &desk{
		refused: make(map[uint64]qlcode.Code),
	}
	d.entry = qlentry.New(qlentry.Config{
		Self:   "r1",
		Zone:   "z1",
		Start:  func(id uint64, _ qlentry.Assignment) { d.started = append(d.started, id) },
		Refuse: func(id uint64, code qlcode.Code, _ time.Duration) { d.refused[id] = code },
		Send: func(_ string, message *qlwire.Message) {
			if done := message.GetDone(); done != nil {
				d.done = append(d.done, qldispatch.Outcome(done.GetOutcome()))
			}
		},
		LocalDemand: func(string, string, int, float64, uint64) int { return 0 },
		LocalDone:   func(uint64, float64, qldispatch.Outcome) {},
		Monitor:     &qlinvariant.Monitor{},
	})
	d.entry.SetPool(0, "m", map[string]string{"u": "r2"}, []qlentry.DispatcherConfig{
		{
			ID:   "r2",
			Zone: "z1",
		},
	})
	return d
}

func (d *desk) submit(now time.Duration, id uint64, urgent bool) {
	d.entry.Submit(now, qlentry.Request{
		ID:             id,
		Customer:       "c",
		Pool:           "m",
		Deadline:       now + time.Minute,
		MaxQueueLength: 1000,
		Retry:          urgent,
	})
}

// grant gives the entry a grant that echoes its clock at a time.
func (d *desk) grant(now, echo time.Duration) {
	d.number++
	d.entry.Grant(now, "r2", 1, qldispatch.NewGrant(qldispatch.GrantConfig{
		Entry:    "r1",
		Number:   d.number,
		Customer: "c",
		Pool:     "m",
		Upstream: "u",
		Echo:     echo,
	}))
}

func TestStaleAndRepeatedGrantsAreNotUsed(t *testing.T) {
	d := newDesk()
	d.submit(0, 1, false)
	d.submit(0, 2, false)
	d.grant(10*time.Second, 8*time.Second)
	if len(d.started) != 0 || len(d.done) != 1 || d.done[0] != qldispatch.Declined {
		t.Errorf("a stale grant: got starts %v and ends %v, want a declined grant", d.started, d.done)
	}
	d.grant(10*time.Second, 10*time.Second)
	d.number--
	d.grant(10*time.Second, 10*time.Second)
	if got, want := len(d.started), 1; got != want {
		t.Errorf("starts by a grant that came twice: got %d, want %d", got, want)
	}
}

func TestGrantWithNobodyWaitingIsDeclined(t *testing.T) {
	d := newDesk()
	d.submit(0, 1, false)
	d.entry.Cancel(0, 1)
	d.grant(0, 0)
	if len(d.done) != 1 || d.done[0] != qldispatch.Declined {
		t.Errorf("ends: got %v, want one declined", d.done)
	}
}

// TestRetryBudget lets a customer retry without end: after ten retries in a
// row only a tenth of its new requests may be retried.
func TestRetryBudget(t *testing.T) {
	d := newDesk()
	id := uint64(0)
	retry := func() bool {
		id++
		d.submit(0, id, true)
		return d.refused[id] == 0
	}
	granted := 0
	for range 50 {
		if retry() {
			granted++
		}
	}
	if got, want := granted, 10; got != want {
		t.Errorf("retries in a row: got %d, want %d", got, want)
	}
	for range 30 {
		id++
		d.submit(0, id, false)
	}
	granted = 0
	for range 50 {
		if retry() {
			granted++
		}
	}
	if got, want := granted, 3; got < want-1 || got > want {
		t.Errorf("retries after 30 new requests: got %d, want %d", got, want)
	}
}
