package qlrouter

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/quetzallane/quetzallane/pkg/qlconfig"
)

// TestMalformedHeadIsNoLoad has an upstream send a malformed head before its load, and before its
// answer to an order.
func TestMalformedHeadIsNoLoad(t *testing.T) {
	for _, c := range []struct {
		field string
		valid bool
	}{
		{field: "X-Y: z", valid: true},
		{field: "X Y: z"},
		{field: "X-Y : z"},
		{field: "X\x01Y: z"},
	} {
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.field+"\r\nContent-Length: 14\r\n\r\n{\"running\": 3}")
			_ = conn.Close()
		}))
		address := strings.TrimPrefix(upstream.URL, "http://")
		running, err := readLoad(t.Context(), address)
		if valid := err == nil && running == 3; valid != c.valid {
			t.Errorf("%q: got load %d, %v, want it to be valid: %v", c.field, running, err, c.valid)
		}
		err = postLoadOrder(t.Context(), qlconfig.UpstreamText{
			Address: address,
		}, 1)
		if (err == nil) != c.valid {
			t.Errorf("%q: order: got %v, want it to be taken: %v", c.field, err, c.valid)
		}
		upstream.Close()
	}
}
