package qlplatform

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlheadtest"
)

// TestMalformedHeadIsNoValue has the service send a value after a valid head and malformed ones.
func TestMalformedHeadIsNoValue(t *testing.T) {
	for _, field := range append(qlheadtest.MalformedFields(), qlheadtest.ValidField) {
		client := New(Config{
			URL: qlheadtest.NewServer(t, qlheadtest.ResponseWith(field, `{"revision": 7}`)).URL,
		})
		for _, wait := range []time.Duration{0, time.Second} {
			list, _, err := client.VMs(t.Context(), 1, wait)
			if got, want := err == nil && list.Revision == 7, field == qlheadtest.ValidField; got != want {
				t.Errorf("%q, wait %v: got %+v, %v, want it to be valid: %v", field, wait, list, err, want)
			}
		}
	}
}
