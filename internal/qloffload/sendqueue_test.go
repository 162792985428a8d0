package qloffload

import (
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"
)

const _testSocketBytes = 64 << 10

// newTestPair returns the ends of a connection with small buffers.
func newTestPair(t *testing.T) (sender, reader *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	sender, _ = dialed.(*net.TCPConn)
	reader, _ = accepted.(*net.TCPConn)
	if err := sender.SetWriteBuffer(_testSocketBytes); err != nil {
		t.Fatal(err)
	}
	if err := reader.SetReadBuffer(_testSocketBytes); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = sender.Close()
		_ = reader.Close()
	})
	return sender, reader
}

// fillConnection writes until the connection has no room.
func fillConnection(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	data := make([]byte, _testSocketBytes)
	for n := 1; n > 0; {
		if err := raw.Control(func(descriptor uintptr) { n, _ = syscall.Write(int(descriptor), data) }); err != nil {
			t.Fatal(err)
		}
	}
}

// readArrived returns how many bytes have arrived. It does not wait, nor let other goroutines
// run.
func readArrived(t *testing.T, conn *net.TCPConn) int {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	data := make([]byte, _testSocketBytes)
	total := 0
	for n := 1; n > 0; total += max(n, 0) {
		if err := raw.Control(func(descriptor uintptr) { n, _ = syscall.Read(int(descriptor), data) }); err != nil {
			t.Fatal(err)
		}
	}
	return total
}

// TestFramesAreWrittenWhileTheirWriterWaitsForTheProcessor guards against links that carry one
// socket buffer each time that their writer gets to run on a lagging router.
func TestFramesAreWrittenWhileTheirWriterWaitsForTheProcessor(t *testing.T) {
	const (
		queuedFrames = 32
		laterFrames  = 64
		payload      = 16 << 10
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	sender, reader := newTestPair(t)
	q, err := newSendQueue(sender, func() {})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- q.run() }()
	queued := 0
	add := func(length int) {
		if err := q.add(true, func(to []byte) []byte { return appendFrame(to, frameRequest, 1, make([]byte, length)) }); err != nil {
			t.Fatal(err)
		}
		queued += _frameHeadBytes + length
	}
	for range queuedFrames {
		add(payload)
	}
	// The writer waits for room from here on.
	time.Sleep(10 * _batchDelay)
	received := 0
	for range laterFrames {
		received += readArrived(t, reader)
		add(1)
	}
	received += readArrived(t, reader)
	if received != queued {
		t.Errorf("got %d bytes while the writer did not run, want %d", received, queued)
	}
	q.close()
	if err := <-ended; err != nil {
		t.Errorf("the queue ended with %v, want no error", err)
	}
}

// TestQueueIsWrittenBeforeItEnds guards against frames that a closed queue drops.
func TestQueueIsWrittenBeforeItEnds(t *testing.T) {
	const frames = 40
	sender, reader := newTestPair(t)
	q, err := newSendQueue(sender, func() {})
	if err != nil {
		t.Fatal(err)
	}
	for range frames {
		if err := q.add(false, func(to []byte) []byte { return append(to, make([]byte, 16<<10)...) }); err != nil {
			t.Fatal(err)
		}
	}
	q.close()
	ended := make(chan error, 1)
	go func() { ended <- q.run() }()
	received := 0
	for done := false; !done; {
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the queue ended with %v, want no error", err)
			}
			done = true
		default:
			received += readArrived(t, reader)
			time.Sleep(time.Millisecond)
		}
	}
	for end := time.Now().Add(time.Second); received < frames<<14 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		received += readArrived(t, reader)
	}
	if want := frames << 14; received != want {
		t.Errorf("got %d bytes, want %d", received, want)
	}
}

// TestBrokenLinkHoldsNobody guards against a link whose connection fails just as both the
// goroutine that waits for room and one that adds a frame write to it.
func TestBrokenLinkHoldsNobody(t *testing.T) {
	for name, drains := range map[string]bool{
		"reset":                    false,
		"reset once there is room": true,
	} {
		t.Run(name, func(t *testing.T) {
			checkBrokenLinkHoldsNobody(t, drains)
		})
	}
}

// checkBrokenLinkHoldsNobody resets a full connection, after its reader has made room if it
// drains.
func checkBrokenLinkHoldsNobody(t *testing.T, drains bool) {
	t.Helper()
	sender, reader := newTestPair(t)
	queue, ended := runFullQueue(t, sender)
	time.Sleep(10 * _batchDelay)
	queue.mu.Lock()
	// The goroutine that waits for room is woken, and waits for the lock.
	for drains && readArrived(t, reader) > 0 {
		time.Sleep(_batchDelay)
	}
	resetConnection(t, reader)
	time.Sleep(10 * _batchDelay)
	added := make(chan struct{})
	go func() {
		defer close(added)
		defer queue.mu.Unlock()
		_ = queue.addLocked(true, func(to []byte) []byte { return appendFrame(to, frameCancel, 1, nil) })
	}()
	timeout := time.After(2 * time.Second)
	for name, done := range map[string]chan struct{}{"adds a frame": added, "waits for room": ended} {
		select {
		case <-done:
		case <-timeout:
			t.Fatalf("the goroutine that %s holds 2 s after the connection has failed", name)
		}
	}
	if got, want := queue.addControl(frameCancel, 2, nil), net.ErrClosed; got != want {
		t.Errorf("a frame on a broken link: got %v, want %v", got, want)
	}
}

// runFullQueue runs a queue that waits for room on a full connection.
func runFullQueue(t *testing.T, sender *net.TCPConn) (queue *sendQueue, ended chan struct{}) {
	t.Helper()
	fillConnection(t, sender)
	queue, err := newSendQueue(sender, func() {})
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		_ = queue.run()
	}()
	waiting := make([]byte, _maxQueueBytes)
	if err := queue.add(true, func(to []byte) []byte { return append(to, waiting...) }); err != nil {
		t.Fatal(err)
	}
	return queue, ended
}

func resetConnection(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	if err := conn.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
}
