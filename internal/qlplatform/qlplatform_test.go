package qlplatform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestMalformedHeadIsNoValue has the service send a value after heads of which one is malformed.
func TestMalformedHeadIsNoValue(t *testing.T) {
	for _, c := range []struct {
		field string
		valid bool
	}{
		{field: "X-Y: z", valid: true},
		{field: "X Y: z"},
		{field: "X-Y : z"},
		{field: "X\x01Y: z"},
	} {
		service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.field+"\r\nContent-Length: 15\r\n\r\n{\"revision\": 7}")
			_ = conn.Close()
		}))
		client := New(Config{
			URL: service.URL,
		})
		for _, wait := range []time.Duration{0, time.Second} {
			list, _, err := client.VMs(t.Context(), 1, wait)
			if valid := err == nil && list.Revision == 7; valid != c.valid {
				t.Errorf("%q, wait %v: got %+v, %v, want it to be valid: %v", c.field, wait, list, err, c.valid)
			}
		}
		service.Close()
	}
}
