package qloutcome

import (
	"fmt"
	"reflect"
	"sync"
	"testing"

	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

func TestOutcomesAreCountedByCustomerUntilTaken(t *testing.T) {
	c := New()
	var all sync.WaitGroup
	for range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			c.Add("hooli", OfCode(qlcode.QueueFull))
			c.Add("hooli", Offloaded)
			c.Add("acme", OfCode(qlcode.RouterOverloaded))
			c.Add("", IdleClosed)
		}()
	}
	all.Wait()
	c.Add("acme", OfCode(qlcode.PromptQuarantined))
	got := c.Take(2).Rows()
	want := []Row{
		{
			Customer: "hooli",
			Counts:   []Count{{Name: "offloaded", Count: 8}, {Name: "queue-full", Count: 8}},
			total:    16,
		},
		{
			Customer: "acme",
			Counts:   []Count{{Name: "router-overloaded", Count: 8}, {Name: "prompt-quarantined", Count: 1}},
			total:    9,
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := c.Take(2).Rows(); len(got) != 0 {
		t.Errorf("taken twice: got %+v, want no rows", got)
	}
}

func TestOnlyEndsThatCallersNoticeAreNotable(t *testing.T) {
	tests := []struct {
		outcome Outcome
		want    bool
	}{
		{outcome: OfCode(qlcode.Answered), want: false},
		{outcome: OfCode(qlcode.UnknownKey), want: false},
		{outcome: Accepted, want: false},
		{outcome: OfCode(qlcode.QueueFull), want: true},
		{outcome: OfCode(qlcode.RouterOverloaded), want: true},
		{outcome: OfCode(qlcode.UpstreamCut), want: true},
		{outcome: Offloaded, want: true},
		{outcome: RejectedUnread, want: true},
	}
	for _, tt := range tests {
		c := New()
		c.Add("acme", tt.outcome)
		if got := c.Take(1).Notable(); got != tt.want {
			t.Errorf("%s: got notable %v, want %v", tt.outcome.Name(), got, tt.want)
		}
	}
}

func TestCustomersOfCounterAreBounded(t *testing.T) {
	c := New()
	const extra = 10
	for i := range _maxCustomers + extra {
		c.Add(fmt.Sprint("customer-", i), Accepted)
	}
	rows := c.Take(2 * _maxCustomers).Rows()
	if got, want := len(rows), _maxCustomers+1; got != want {
		t.Errorf("rows: got %d, want %d", got, want)
	}
	if got, want := rows[0], (Row{Customer: _othersName, Counts: []Count{{Name: "accepted", Count: extra}}, total: extra}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestCountingAgainAllocatesNothing(t *testing.T) {
	c := New()
	overloaded := OfCode(qlcode.RouterOverloaded)
	c.Add("acme", overloaded)
	if got := testing.AllocsPerRun(100, func() { c.Add("acme", overloaded) }); got != 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
	if got := testing.AllocsPerRun(100, func() { OfCode(qlcode.RouterOverloaded) }); got != 0 {
		t.Errorf("allocations of OfCode: got %v, want 0", got)
	}
}

func TestEveryOutcomeHasAName(t *testing.T) {
	seen := make(map[string]bool)
	for outcome := range _outcomeCount + Outcome(len(_codes)) {
		if name := outcome.Name(); name == "" || name == "unlisted" || seen[name] {
			t.Errorf("outcome %d: got name %q, want one of its own", outcome, name)
		} else {
			seen[name] = true
		}
	}
}
