package qledge

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// limitDescriptors sets the number of file descriptors that a process may open, and returns
// the limit before.
func limitDescriptors(t *testing.T, pid int, limit uint64) (before uint64) {
	t.Helper()
	var old syscall.Rlimit
	prlimit := func(next *syscall.Rlimit, previous *syscall.Rlimit) {
		_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE,
			uintptr(unsafe.Pointer(next)), uintptr(unsafe.Pointer(previous)), 0, 0)
		if errno != 0 {
			t.Fatal(errno)
		}
	}
	prlimit(nil, &old)
	prlimit(&syscall.Rlimit{
		Cur: limit,
		Max: old.Max,
	}, nil)
	return old.Cur
}

// TestListenersAcceptAgainAfterDescriptorsRanOut guards against a router that takes no
// connection for good, while it is ready, since one call to accept has failed.
func TestListenersAcceptAgainAfterDescriptorsRanOut(t *testing.T) {
	settings := stopSettings(t)
	p := startProcess(t, settings, newWorkingUpstream(t).address())
	before := limitDescriptors(t, p.command.Process.Pid, 0)
	listeners := map[string]string{
		"callers":    settings.CallerAddress,
		"readiness":  settings.ReadyAddress,
		"operations": settings.OperationsAddress,
		"offload":    settings.OffloadAddress,
		"peers":      settings.PeerAddress,
	}
	waiting := make(map[string]net.Conn)
	for name, address := range listeners {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		waiting[name] = conn
	}
	time.Sleep(300 * time.Millisecond)
	limitDescriptors(t, p.command.Process.Pid, before)
	time.Sleep(time.Second)
	caller, err := dialRouter(p.callers)
	if err != nil {
		t.Fatal(err)
	}
	if err := caller.conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if answer := caller.ask(_lookupPath, "after", 0); answer.status != http.StatusOK {
		t.Errorf("caller: got status %d, error %v, want 200", answer.status, answer.err)
	}
	for _, name := range []string{"readiness", "operations"} {
		client := http.Client{
			Timeout: 3 * time.Second,
		}
		response, err := client.Get("http://" + listeners[name] + "/readyz")
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		_ = response.Body.Close()
		if got := response.StatusCode; got != http.StatusOK {
			t.Errorf("%s: got status %d, want 200", name, got)
		}
	}
	link, err := net.Dial("tcp4", listeners["offload"])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = link.Close() }()
	_ = link.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := link.Read(make([]byte, 1)); err != nil {
		t.Errorf("a link of another router: got %v, want its first byte", err)
	}
	_ = waiting["peers"].SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := waiting["peers"].Read(make([]byte, 1)); err == nil {
		t.Error("a connection of another router was answered without a request")
	} else if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		t.Errorf("a connection of another router: got %v, want it open", err)
	}
}

// admitMost admits connections of light customers while the limits allow them.
func (c *callerConnections) admitMost(upstreams int) {
	c.upstreams = func() int { return upstreams }
	c.open = 0
	for c.admitLight() {
		c.open++
	}
}

// checkSplit checks the limits of a VM.
func checkSplit(t *testing.T, descriptors, megabytes int) {
	t.Helper()
	c := newCallerConnections(descriptors, megabytes)
	kept := c.usable + maxWaitingConnections(descriptors)
	if descriptors >= 1024 {
		kept += _fileDescriptors
	}
	if kept >= descriptors {
		t.Errorf("%d descriptors, %d MB: got %d in use, want fewer", descriptors, megabytes, kept)
	}
	for upstreams := 0; upstreams <= c.usable; upstreams += c.usable/16 + 1 {
		c.admitMost(upstreams)
		if got := c.open + upstreams; got > c.usable {
			t.Errorf("%d descriptors, %d MB: got %d callers beside %d upstreams, want at most %d", descriptors, megabytes, c.open, upstreams, c.usable)
		}
	}
	c.admitMost(0)
	if got, want := c.forUpstreams(), c.usable/5; got < want || got > c.usable-c.open {
		t.Errorf("%d descriptors, %d MB: got %d connections to upstreams beside %d callers, want %d or more", descriptors, megabytes, got, c.open, want)
	}
}

// TestDescriptorsAreSplit guards against limits whose sum exceeds the descriptors of a VM, and
// against callers that leave none for upstreams.
func TestDescriptorsAreSplit(t *testing.T) {
	for _, descriptors := range []int{8, 400, 1024, 4100, 8192} {
		for _, megabytes := range []int{112, 134, 284, 1 << 20} {
			checkSplit(t, descriptors, megabytes)
		}
	}
}

// TestRequestsBeyondDescriptorsAreRefused guards against a router that takes more callers than
// it has descriptors for, so that accept fails and those that come then wait in vain.
func TestRequestsBeyondDescriptorsAreRefused(t *testing.T) {
	const (
		descriptors = 400
		callers     = 350
		work        = 2 * time.Second
	)
	settings := stopSettings(t)
	settings.Descriptors = descriptors
	p := startProcess(t, settings, newWorkingUpstream(t).address())
	limitDescriptors(t, p.command.Process.Pid, descriptors)
	var running sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	slowest := time.Duration(0)
	for n := range callers {
		running.Go(func() {
			caller, err := dialRouter(p.callers)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = caller.conn.Close() }()
			began := time.Now()
			answer := caller.ask(_orderPath, fmt.Sprint(n), work)
			mu.Lock()
			defer mu.Unlock()
			statuses[answer.status]++
			if answer.status == http.StatusServiceUnavailable {
				slowest = max(slowest, time.Since(began))
			}
		})
		time.Sleep(time.Millisecond)
	}
	running.Wait()
	t.Logf("answers by status: %v, the slowest refusal took %v", statuses, slowest)
	if got := statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable]; got != callers {
		t.Errorf("got %v, want an answer to each of %d", statuses, callers)
	}
	if got, want := statuses[http.StatusOK], descriptors/4; got < want {
		t.Errorf("got %d served, want %d or more", got, want)
	}
	if slowest >= work/2 {
		t.Errorf("refused after %v, want at once", slowest)
	}
	if strings.Contains(p.output.String(), "too many open files") {
		t.Error("the router ran out of descriptors")
	}
}
