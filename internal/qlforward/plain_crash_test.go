package qlforward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// TestCallThatCrashesUpstreamsStopsAtTwo guards against a repeatable call that crashes each
// of its route's attempts.
func TestCallThatCrashesUpstreamsStopsAtTwo(t *testing.T) {
	for _, start := range []string{"", "HTTP/1.1 200 OK\r\nContent-Le"} {
		var upstreams []*fakeUpstream
		for i := range 4 {
			var u *fakeUpstream
			u = newFakeUpstream(t, fmt.Sprintf("u%d", i), func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, start)
				u.crash()
			})
			upstreams = append(upstreams, u)
		}
		got := newHarness(t, upstreams...).send(t, "GET", "/find/x", nil, "")
		crashed := 0
		for _, u := range upstreams {
			crashed += u.count()
		}
		if crashed != 2 {
			t.Errorf("start %q: %d upstreams crashed, want 2", start, crashed)
		}
		if code := got.header.Get(_resultHeader); code != qlcode.UpstreamCut.String() || got.status != http.StatusBadGateway {
			t.Errorf("start %q: got status %d, code %s, want 502, %s", start, got.status, code, qlcode.UpstreamCut)
		}
	}
}

// TestCallIsRepeatedWhenUpstreamsLive checks that broken answers of upstreams that go on
// take all attempts of the route, as do upstreams that have crashed already.
func TestCallIsRepeatedWhenUpstreamsLive(t *testing.T) {
	broken := func(net.Conn, *http.Request) {}
	upstreams := []*fakeUpstream{newFakeUpstream(t, "u0", broken), newFakeUpstream(t, "u1", broken), newFakeUpstream(t, "u2", broken)}
	_ = newHarness(t, upstreams...).send(t, "GET", "/find/x", nil, "")
	for _, u := range upstreams {
		if got := u.count(); got != 1 {
			t.Errorf("%s got the call %d times, want once", u.id, got)
		}
	}
}
