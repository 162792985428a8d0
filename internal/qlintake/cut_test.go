package qlintake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qloffload"
)

// cuttingProxy passes bytes on between two routers, and ends their links once it has passed
// on a number of bytes of the second one's answers.
type cuttingProxy struct {
	listener net.Listener
	target   string
	reset    bool
	// remaining counts down what is passed on while armed is set.
	remaining atomic.Int64
	armed     atomic.Bool
}

func (p *cuttingProxy) serve() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = accepted.Close()
			continue
		}
		go func() {
			_, _ = io.Copy(target, accepted)
			_ = target.Close()
		}()
		go p.passAnswers(accepted, target)
	}
}

func (p *cuttingProxy) passAnswers(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		ends := false
		if p.armed.Load() {
			left := p.remaining.Add(-int64(n))
			ends = left <= 0
			n += int(min(left, 0))
		}
		if _, err := to.Write(buffer[:n]); err != nil || ends {
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok && p.reset {
		_ = tcp.SetLinger(0)
	}
	_ = to.Close()
	_ = from.Close()
}

// offloadCut sends a request through a link that is cut after a number of bytes of the
// answer, and reports whether the answer was shorter than that.
func offloadCut(t *testing.T, path, want string, bytes int, reset bool) (wasCut bool) {
	t.Helper()
	s := newOffloadingServer(t)
	p := &cuttingProxy{
		listener: s.listen(),
		target:   s.others,
		reset:    reset,
	}
	go p.serve()
	s.offloader.Peers().Set(0, []qloffload.Peer{qloffload.NewPeer(p.listener.Addr().String(), 1)})
	caller := s.dial()
	caller.awaitOffloading()
	for s.offloader.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
	taken := s.other.Taken()
	p.remaining.Store(int64(bytes))
	p.armed.Store(true)
	if _, err := io.WriteString(caller.conn, post(path, "", 1)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(caller.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	if err == nil && string(body) != want {
		t.Errorf("%s, cut after %d bytes: got a whole answer %q, want %q or an error", path, bytes, body, want)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%s, cut after %d bytes: the caller's connection was not ended", path, bytes)
	}
	if got := s.other.Taken() - taken; got != 1 {
		t.Errorf("%s, cut after %d bytes: got %d requests at the other router, want 1", path, bytes, got)
	}
	if wasCut = p.remaining.Load() <= 0; !wasCut && err != nil {
		t.Errorf("%s, not cut: got %v", path, err)
	}
	return wasCut
}

// TestLinkCutAfterAnyByteGivesNoWholeAnswer guards against a part of another router's answer
// that its caller takes for a whole one, and against a second run of its request here.
func TestLinkCutAfterAnyByteGivesNoWholeAnswer(t *testing.T) {
	for _, c := range []struct {
		path string
		want string
	}{
		{path: "/", want: "there 1"},
		{path: "/events", want: "there 1 event event"},
	} {
		for _, reset := range []bool{false, true} {
			wasCut := true
			for bytes := 0; wasCut; bytes++ {
				t.Run(fmt.Sprintf("%s, reset %v, %d bytes", c.path, reset, bytes), func(t *testing.T) {
					wasCut = offloadCut(t, c.path, c.want, bytes, reset)
				})
			}
		}
	}
}
