package qlforward

import (
	"context"
	"net/http"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlposition"
)

// newZoneHarness returns a harness with three upstreams in zone z1 and one in z2, and a
// function that evacuates zones.
func newZoneHarness(t *testing.T) (h *harness, upstreams []*fakeUpstream, evacuate func(zones ...string)) {
	t.Helper()
	for _, id := range []string{"a", "b", "c", "d"} {
		upstreams = append(upstreams, newFakeUpstream(t, id, respond(http.StatusOK, "Signature: s\r\n", id)))
	}
	h = newHarness(t, upstreams...)
	var entries []qlcatalog.Entry
	for i, u := range upstreams {
		for _, service := range []string{"plain", "engines"} {
			entries = append(entries, qlcatalog.Entry{
				ID:      u.id,
				Service: service,
				Address: u.address,
				Zone:    []string{"z1", "z1", "z1", "z2"}[i],
				Slots:   4,
				State:   qlcatalog.Ready,
			})
		}
	}
	evacuate = func(zones ...string) {
		h.forwarder.SetView(NewView(testTable(t), entries, qlposition.Position{Revision: 30}).WithoutZones(zones))
	}
	evacuate()
	return h, upstreams, evacuate
}

// TestAttemptIsNotSentToAZoneEvacuatedMeanwhile guards against requests that reach a zone
// since they were placed there just before its evacuation. The router that places them never
// hears of it. All upstreams of the zone must be left out together: there are as many as a
// request may find unreachable.
func TestAttemptIsNotSentToAZoneEvacuatedMeanwhile(t *testing.T) {
	for _, c := range []struct{ name, path, prompt string }{
		{name: "plain", path: "/find/x"},
		{name: "not repeatable", path: "/order/x"},
		{name: "engine, once chosen", path: "/chat/x", prompt: "p"},
		{name: "engine, while it is chosen", path: "/chat/x", prompt: "p"},
	} {
		h, upstreams, evacuate := newZoneHarness(t)
		setOutgoing := h.forwarder.config.Dialect.SetOutgoing
		h.forwarder.config.Dialect.SetOutgoing = func(header http.Header, outgoing Outgoing) {
			evacuate("z1")
			setOutgoing(header, outgoing)
		}
		if c.name == "engine, while it is chosen" {
			h.forwarder.config.Placement.Decide = func(ctx context.Context, request *qlplace.Request) qlplace.Decision {
				evacuate("z1")
				return h.decide(ctx, request)
			}
		}
		result := h.send(t, http.MethodPost, c.path, map[string]string{"Prompt": c.prompt}, "")
		if got, want := result.status, http.StatusOK; got != want || result.body != "d" {
			t.Errorf("%s: got status %d of %q, want %d of the other zone", c.name, got, result.body, want)
		}
		for _, u := range upstreams[:3] {
			if got := u.count(); got != 0 {
				t.Errorf("%s: %s got %d requests, want none", c.name, u.id, got)
			}
		}
		for _, outcome := range h.outcomes {
			if outcome == qlengine.Unreachable || outcome == qlengine.Failed {
				t.Errorf("%s: got outcome %v, want none that is held against the engine", c.name, outcome)
			}
		}
	}
}

// TestServiceOnlyInEvacuatedZonesIsRefusedAtOnce guards against callers that wait for a
// service without a usable upstream, or that return at once.
func TestServiceOnlyInEvacuatedZonesIsRefusedAtOnce(t *testing.T) {
	h, _, evacuate := newZoneHarness(t)
	evacuate("z1", "z2")
	for _, path := range []string{"/find/x", "/order/x", "/chat/x"} {
		result := h.send(t, http.MethodPost, path, map[string]string{"Prompt": "p"}, "")
		if got, want := result.status, http.StatusServiceUnavailable; got != want {
			t.Errorf("%s: got status %d, want %d", path, got, want)
		}
		if got, want := result.header.Get("Retry-After"), "1.000"; got != want {
			t.Errorf("%s: got Retry-After %q, want %q", path, got, want)
		}
	}
	if got := len(h.placementRequests); got != 0 {
		t.Errorf("placement requests: got %d, want none", got)
	}
}
