package qloffload

import (
	"strings"
	"testing"
)

// TestMalformedRequestIsNotHandled offloads requests that the HTTP server would refuse.
func TestMalformedRequestIsNotHandled(t *testing.T) {
	f := newTestFleet(t)
	for _, fields := range []string{
		"X Y: z\r\n",
		"X-Y : z\r\n",
		"Content-Length : 4\r\n",
		"Transfer-Encoding : chunked\r\n",
		"X\x01Y: z\r\n",
	} {
		_, a := f.start("POST /plain HTTP/1.1\r\nHost: h\r\n" + fields + "\r\nbody")
		f.awaitOutcome(a, Answered)
		if got := a.String(); !strings.HasPrefix(got, "HTTP/1.1 400 ") {
			t.Errorf("%q: got %q, want status 400", fields, got)
		}
	}
}
