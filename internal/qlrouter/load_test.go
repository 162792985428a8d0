package qlrouter

import (
	"strings"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qlheadtest"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
)

// TestMalformedHeadIsNoLoad has an upstream send a valid head and malformed ones before its load,
// and before its answer to an order.
func TestMalformedHeadIsNoLoad(t *testing.T) {
	for _, field := range append(qlheadtest.MalformedFields(), qlheadtest.ValidField) {
		server := qlheadtest.NewServer(t, qlheadtest.ResponseWith(field, `{"running": 3}`))
		address := strings.TrimPrefix(server.URL, "http://")
		want := field == qlheadtest.ValidField
		running, err := readLoad(t.Context(), address)
		if got := err == nil && running == 3; got != want {
			t.Errorf("%q: got load %d, %v, want it to be valid: %v", field, running, err, want)
		}
		err = postLoadOrder(t.Context(), qlconfig.UpstreamText{
			Address: address,
		}, 1)
		if got := err == nil; got != want {
			t.Errorf("%q: order: got %v, want it to be taken: %v", field, err, want)
		}
	}
}
