package qledge

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qlforward"
	"github.com/quetzallane/quetzallane/internal/qlintake"
	"github.com/quetzallane/quetzallane/internal/qlshed"
	"go.uber.org/zap"
)

func TestConnectionsWithoutRoomAreClosedUnread(t *testing.T) {
	c := newCallerConnections(10, 1)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	g := &limitListener{
		Listener: listener,
		takes:    c.takes,
		intake: qlintake.New(qlintake.Config{
			Overloaded: func() bool { return false },
		}),
		log: zap.NewNop(),
	}
	go func() {
		for {
			conn, err := g.Accept()
			if err != nil {
				return
			}
			c.follow(conn, http.StateNew)
		}
	}()
	for i := range 10 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err = conn.Read(make([]byte, 1))
		if got, want := errors.Is(err, os.ErrDeadlineExceeded), i < c.most; got != want {
			t.Errorf("connection %d: got kept %v (%v), want %v", i, got, err, want)
		}
	}
	if _, _, rejected := c.counts(); rejected != uint64(10-c.most) {
		t.Errorf("rejected: got %d, want %d", rejected, 10-c.most)
	}
}

// TestRejectedConnectionsRequestIsRefused has a request come before its connection is
// looked at.
func TestRejectedConnectionsRequestIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	if _, err := caller.Write([]byte("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	g := &limitListener{
		Listener: listener,
		takes:    func() bool { return false },
		log:      zap.NewNop(),
	}
	go func() { _, _ = g.Accept() }()
	_ = caller.SetReadDeadline(time.Now().Add(time.Second))
	got, err := io.ReadAll(caller)
	if err != nil || string(got) != string(qlforward.RawRefusal()) {
		t.Errorf("got %q, %v, want the refusal", got, err)
	}
}

// TestIdleConnectionWithARequestIsKept: a request that was not read must not be
// lost because its connection seems idle.
func TestIdleConnectionWithARequestIsKept(t *testing.T) {
	c := newCallerConnections(10, 1)
	caller, conn := tcpPair(t)
	for range c.full {
		other, _ := net.Pipe()
		c.follow(other, http.StateNew)
	}
	c.changed(conn, http.StateNew)
	if _, err := caller.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	c.changed(conn, http.StateIdle)
	if _, err := conn.Read(make([]byte, 3)); err != nil {
		t.Errorf("the connection was closed: %v", err)
	}
	c.changed(conn, http.StateIdle)
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("an idle connection beyond the bound: got %v, want it closed", err)
	}
}

// TestCallerThatLeftIsSeen looks at connections as the forwarder does.
func TestCallerThatLeftIsSeen(t *testing.T) {
	caller, conn := tcpPair(t)
	e := &Edge{
		shedder: qlshed.New(),
	}
	ctx := context.WithValue(context.Background(), connectionKey{}, conn)
	e.shedder.RecordLag(0, time.Second)
	if e.callerLeft(ctx) {
		t.Error("a caller that waits is taken for gone")
	}
	// A request that was not read yet keeps a stop from closing the connection.
	c := newCallerConnections(10, 1)
	c.follow(conn, http.StateNew)
	c.follow(conn, http.StateIdle)
	if c.anyUnread() {
		t.Error("an empty connection is said to hold a request")
	}
	if _, err := caller.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); !c.anyUnread(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a request that was not read is not seen")
		}
	}
	if _, err := conn.Read(make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	_ = caller.Close()
	for end := time.Now().Add(time.Second); !e.callerLeft(ctx); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a caller that closed its connection is not seen")
		}
	}
}

func TestIdleConnectionsYield(t *testing.T) {
	c := newCallerConnections(10, 1)
	var conns []net.Conn
	for range 7 {
		conn, _ := net.Pipe()
		conns = append(conns, conn)
		if victim := c.follow(conn, http.StateNew); victim != nil {
			t.Fatal("a connection that is not idle was closed")
		}
	}
	if !c.isCrowded() {
		t.Error("7 connections of 10 descriptors are not taken for crowded")
	}
	c.follow(conns[3], http.StateActive)
	victim := c.follow(conns[3], http.StateIdle)
	if victim != conns[3] {
		t.Error("the idle connection was not chosen")
	}
	c.follow(conns[3], http.StateClosed)
	if got := c.follow(conns[4], http.StateIdle); got != nil {
		t.Error("a connection was closed below the bound")
	}
	if open, closed, rejected := c.counts(); open != 6 || closed != 1 || rejected != 0 {
		t.Errorf("counts: got %d open, %d closed and %d rejected, want 6, 1 and 0", open, closed, rejected)
	}
}

// awaitTrue waits for a condition, two seconds at most.
func awaitTrue(condition func() bool) {
	for end := time.Now().Add(2 * time.Second); !condition() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// TestRequestBeingRefusedKeepsItsConnection has the intake hold a request whose
// body has not come: to the server its connection is idle.
func TestRequestBeingRefusedKeepsItsConnection(t *testing.T) {
	caller, accepted := tcpPair(t)
	intake := qlintake.New(qlintake.Config{
		Overloaded:  func() bool { return true },
		Refuse:      func(qlintake.Head) ([]byte, bool) { return qlforward.RawRefusal(), false },
		IdleTimeout: func() time.Duration { return time.Minute },
	})
	conn := intake.Wrap(accepted)
	c := newCallerConnections(100, 1000)
	c.follow(conn, http.StateNew)
	c.follow(conn, http.StateIdle)
	go func() { _, _ = conn.Read(make([]byte, 100)) }()
	if _, err := caller.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nb")); err != nil {
		t.Fatal(err)
	}
	taken, _ := conn.(*qlintake.Conn)
	awaitTrue(func() bool { return taken.RequestPending() && !qlconn.HasUnreadBytes(conn) })
	if !c.anyUnread() {
		t.Error("a request that is being refused does not keep its connection")
	}
	if _, err := caller.Write([]byte("ody")); err != nil {
		t.Fatal(err)
	}
	if _, err := caller.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	awaitTrue(func() bool { return !c.anyUnread() })
	if c.anyUnread() {
		t.Error("a connection whose request was refused is not idle")
	}
}
