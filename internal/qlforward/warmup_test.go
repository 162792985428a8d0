package qlforward

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/internal/qlwarmup"
)

// TestColdPlainUpstreamGetsAShare guards against routers that each send a cold upstream of a
// plain service as much as a warm one, and against a refusal that could be taken for an
// unknown outcome when no other upstream is left.
func TestColdPlainUpstreamGetsAShare(t *testing.T) {
	reply := respond(200, "Signature: s\r\n", "ok")
	cold, warm := newFakeUpstream(t, "cold", reply), newFakeUpstream(t, "warm", reply)
	h := newHarness(t)
	table, err := qlroute.Build(&qlroute.Document{
		Revision: 1,
		Routes: []qlroute.RouteConfig{{
			Host:        "127.0.0.1",
			Prefix:      "/",
			Kind:        qlroute.NonIdempotent,
			MaxAttempts: 2,
			Timeout:     time.Second,
			Goal:        time.Second,
			Public:      true,
			Targets: []qlroute.Target{{
				Service: "plain",
				Weight:  1,
			}},
		}},
		Services: []qlroute.ServiceConfig{{
			Name: "plain",
			WarmUp: qlroute.WarmUp{
				Duration:  3 * time.Second,
				PerSecond: 10,
			},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	entry := func(u *fakeUpstream, left time.Duration) qlcatalog.Entry {
		return qlcatalog.Entry{
			ID:      u.id,
			Service: "plain",
			Address: u.address,
			Slots:   4,
			State:   qlcatalog.Ready,
			WarmUp: qlwarmup.Report{
				Left:  left,
				Given: true,
			},
		}
	}
	h.forwarder.config.WarmUp.Fleet = func() qlwarmup.Fleet {
		return qlwarmup.Fleet{
			Known: 1,
			Live:  1,
		}
	}
	h.forwarder.SetView(NewView(table, []qlcatalog.Entry{entry(cold, time.Second), entry(warm, 0)}, qlposition.Position{Revision: 1}))
	// The harness's clock stands still, so the cold one has room for one request.
	for range 8 {
		if got := h.send(t, "POST", "/x", nil, ""); got.status != 200 {
			t.Errorf("beside a warm upstream: got %d, want 200", got.status)
		}
	}
	if got := cold.count(); got > 1 {
		t.Errorf("requests to the cold upstream: got %d, want 1 at most", got)
	}
	h.forwarder.SetView(NewView(table, []qlcatalog.Entry{entry(cold, time.Second)}, qlposition.Position{Revision: 2}))
	for range 2 {
		got := h.send(t, "POST", "/x", nil, "")
		if got.status != 200 && (got.status != 429 || got.header.Get("Retry-After") == "") {
			t.Errorf("without another upstream: got %d, want 200, or 429 with a time", got.status)
		}
	}
	if got := cold.count(); got != 1 {
		t.Errorf("requests to the cold upstream: got %d, want 1", got)
	}
}
