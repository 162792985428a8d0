package qlforward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

// TestLateRouterDoesNotBlameUpstreams has upstreams that this router takes for
// silent: it blames them only while it is in time itself.
func TestLateRouterDoesNotBlameUpstreams(t *testing.T) {
	const silence = 1300 * time.Millisecond
	silent := func(conn net.Conn, _ *http.Request) {
		time.Sleep(silence)
		_ = conn.Close()
	}
	for _, c := range []struct {
		late bool
		want qlengine.Outcome
	}{
		{late: false, want: qlengine.Failed},
		{late: true, want: qlengine.Abandoned},
	} {
		b := newBench(t, newStandIn(t, "u1", silent), newStandIn(t, "u2", silent))
		b.forwarder.config.Lagging = func() bool { return c.late }
		b.send(t, http.MethodPost, "/resume/x", map[string]string{"Prompt": "1"}, "body")
		b.mu.Lock()
		if len(b.outcomes) == 0 || b.outcomes[0] != c.want {
			t.Errorf("late %v: got outcomes %v, want the first %v", c.late, b.outcomes, c.want)
		}
		b.mu.Unlock()
	}
}

// TestLateRouterDoesNotPaceServices has a router that is late itself get answers
// after the objective.
func TestLateRouterDoesNotPaceServices(t *testing.T) {
	b := newBench(t, newStandIn(t, "u1", func(conn net.Conn, request *http.Request) {
		time.Sleep(110 * time.Millisecond)
		say(200, "Signature: s\r\nLoad: 6\r\n", "x")(conn, request)
	}))
	b.forwarder.config.Dialect.ReadAnswer = func(_ *http.Response) Answer {
		return Answer{
			Signed:  true,
			HasLoad: true,
			Waiting: 6,
		}
	}
	b.forwarder.config.Lagging = func() bool { return true }
	for range 5 {
		b.send(t, http.MethodGet, "/look/1", nil, "")
	}
	if got, want := b.forwarder.pacer("plain").SendFraction(), 1.0; got != want {
		t.Errorf("part that is sent: got %.2f, want %.2f", got, want)
	}
}
