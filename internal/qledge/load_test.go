package qledge

import (
	"reflect"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qloutcome"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestOutcomesAreLoggedByCustomerWhenRequestsAreRefused(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	e := &Edge{
		log:      zap.New(core),
		outcomes: qloutcome.New(),
	}
	e.outcomes.Add(_lightCustomer, qloutcome.OfCode(qlcode.Answered))
	e.logOutcomes()
	if got := logs.Len(); got != 0 {
		t.Errorf("lines of a calm router: got %d, want 0", got)
	}
	e.outcomes.Add(_lightCustomer, qloutcome.OfCode(qlcode.Answered))
	e.outcomes.Add(_heavyCustomer, qloutcome.OfCode(qlcode.RouterOverloaded))
	e.outcomes.Add(_heavyCustomer, qloutcome.OfCode(qlcode.RouterOverloaded))
	e.logOutcomes()
	var got []map[string]any
	for _, line := range logs.FilterMessage("customer-outcomes").All() {
		got = append(got, line.ContextMap())
	}
	want := []map[string]any{
		{"customer": _heavyCustomer, "router-overloaded": int64(2)},
		{"customer": _lightCustomer, "answered": int64(1)},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestRefusalsWithoutALogLineAreCounted(t *testing.T) {
	r := startEdge(t, "r1", newFakeStore(), nil)
	r.awaitState(t, "1 u1")
	got := make(map[string]int)
	// No counts are logged meanwhile.
	r.edge.fleet.Call(func(time.Duration) {
		r.edge.admitRequest([]byte("GET /x/ HTTP/1.1\r\nHost: h\r\n" + _keyHeader + ": unknown\r\n\r\n"))
		r.edge.admitRequest(nil)
		r.edge.forwarder.RawRefusal()
		for _, row := range r.edge.outcomes.Take(_maxOutcomeRows).Rows() {
			for _, count := range row.Counts {
				got[row.Customer+"/"+count.Name] += count.Count
			}
		}
	})
	want := map[string]int{
		"/rejected":          1,
		"/rejected-unread":   1,
		"/rejected-answered": 1,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
