package qlintake

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestOddHeadIsNotPassedOn guards against a request hidden in the body of another one: a head that
// the HTTP server refuses must not be taken by the intake for one without a body, and be passed on
// to another router.
func TestOddHeadIsNotPassedOn(t *testing.T) {
	s := newOffloadingServer(t)
	hidden := post("/hidden", "", 1)
	for _, fields := range []string{
		"Host: h\r\nContent-Length : 80\r\n",
		"Host: h\r\nContent-Length\t: 80\r\n",
		"Host: h\r\nContent Length: 80\r\n",
		"Host: h\r\nTransfer-Encoding : chunked\r\n",
		"Host: h\r\n: x\r\n",
		"Host: h\r\nX\x01: y\r\n",
		"Host: h\r\nX: y\x00\r\n",
		"Host: h\r\nno colon\r\n",
		"Host: h\r\nHost: other\r\n",
		"X: no host\r\n",
	} {
		taken, begun := s.other.Taken(), s.begun.Load()
		caller := s.dial()
		if _, err := io.WriteString(caller.conn, "POST / HTTP/1.1\r\n"+fields+"\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond)
		// The connection may be closed already.
		_, _ = io.WriteString(caller.conn, hidden)
		response, err := http.ReadResponse(caller.reader, nil)
		if err != nil {
			t.Errorf("%q: %v", fields, err)
			continue
		}
		if got, want := response.StatusCode, http.StatusBadRequest; got != want {
			t.Errorf("%q: got %d, want %d", fields, got, want)
		}
		rest, _ := io.ReadAll(caller.reader)
		if strings.Contains(string(rest), "HTTP/1.1") {
			t.Errorf("%q: got a second answer, %q", fields, rest)
		}
		if s.other.Taken() != taken || s.begun.Load() != begun {
			t.Errorf("%q: got %d requests passed on, %d handled here, want none", fields, s.other.Taken()-taken, s.begun.Load()-begun)
		}
	}
}
