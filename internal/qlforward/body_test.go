package qlforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlmemory"
)

// dialHarness opens a caller's connection and sends the beginning of a request.
func (h *harness) dial(t *testing.T, begin string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", strings.TrimPrefix(h.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, begin); err != nil {
		t.Fatal(err)
	}
	return conn
}

func (h *harness) awaitMemory(want func(bytes int64) bool) (bytes int64) {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if bytes = h.forwarder.MemoryBytes(); want(bytes) {
			return bytes
		}
	}
	return bytes
}

const _chunkedOrder = "POST /order/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: i1\r\nKey: k1\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestBodyInChunksCountsForMemory guards against bodies without a stated length that are held
// beyond the limit on memory, so that the process is killed.
func TestBodyInChunksCountsForMemory(t *testing.T) {
	u := newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "ok"))
	h := newHarness(t, u)
	h.forwarder.memory = qlmemory.NewAccount(_requestMemoryBytes + 800)
	conn := h.dial(t, _chunkedOrder+chunk(strings.Repeat("x", 900)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := response.StatusCode, http.StatusTooManyRequests; got != want {
		t.Errorf("a body beyond the limit on memory: got %d, want %d", got, want)
	}
	if got := u.count(); got != 0 {
		t.Errorf("got %d requests at the upstream, want none", got)
	}
	h.forwarder.memory = qlmemory.NewAccount(1 << 20)
	h.dial(t, _chunkedOrder+chunk(strings.Repeat("x", 900)))
	if got, want := h.awaitMemory(func(bytes int64) bool { return bytes >= _requestMemoryBytes+900 }), int64(_requestMemoryBytes+900); got < want {
		t.Errorf("within a body: got %d bytes, want %d or more", got, want)
	}
}

// TestVanishedCallerHoldsNoMemory guards against callers that fall silent within a body and use
// up the memory for requests for good.
func TestVanishedCallerHoldsNoMemory(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "ok")))
	for _, begin := range []string{
		_chunkedOrder + chunk("xxx"),
		"POST /order/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: i1\r\nKey: k1\r\nContent-Length: 900\r\n\r\nxxx",
	} {
		h.dial(t, begin)
		if got := h.awaitMemory(func(bytes int64) bool { return bytes > 0 }); got == 0 {
			t.Fatal("the request was not begun")
		}
		if got := h.awaitMemory(func(bytes int64) bool { return bytes == 0 }); got != 0 {
			t.Errorf("after %v of silence: got %d bytes, want none", _bodyIdle, got)
		}
	}
	// A slow body that goes on is served.
	conn := h.dial(t, _chunkedOrder)
	for range 4 {
		time.Sleep(_bodyIdle / 2)
		if _, err := io.WriteString(conn, chunk("x")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("a slow body: got %v, %v, want 200", response, err)
	}
}

// _smallVMBytes is the memory of the smallest VM.
const _smallVMBytes = 112 << 20

// endlessReply sends what a request's path names, just below the limit on one connection, and
// then nothing more.
func endlessReply(conn net.Conn, request *http.Request) {
	const below = 240 << 10
	head := "HTTP/1.1 200 OK\r\nId: i1\r\nSignature: s\r\n"
	filler := strings.Repeat("x", below)
	fields := strings.Repeat("A: "+filler[:1000]+"\r\n", below/1005)
	part := request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:]
	switch part {
	case "head":
		_, _ = io.WriteString(conn, head+fields)
	case "line":
		_, _ = io.WriteString(conn, head+"A: "+filler)
	case "chunks":
		_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n"+chunk(filler))
	case "length":
		_, _ = io.WriteString(conn, head+"Content-Length: 1000000000000\r\n\r\n"+filler)
	case "unframed":
		_, _ = io.WriteString(conn, head+"\r\n"+filler)
	case "event":
		_, _ = io.WriteString(conn, head+"Content-Type: text/event-stream\r\n\r\ndata: "+filler)
	case "trailers":
		_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n0\r\n"+fields)
	case "extensions":
		_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n1;"+filler)
	case "informational":
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n"+fields[:len(fields)/2]+"\r\nHTTP/1.1 103 Early Hints\r\n"+fields[:len(fields)/3])
	default:
		respond(200, "Signature: s\r\n", "ok")(conn, request)
		return
	}
	time.Sleep(time.Second)
}

// TestSumOfEndlessAnswersIsBounded guards against faulty upstreams that send bytes without end on
// hundreds of connections at once: each stays below the limit on one, and together they take the
// memory of the process, with which the requests of other callers end.
func TestSumOfEndlessAnswersIsBounded(t *testing.T) {
	const connections = 300
	for _, path := range []string{
		"/order/head", "/order/line", "/order/chunks", "/order/length", "/order/unframed", "/chat/event", "/order/trailers",
		"/order/extensions", "/order/informational",
	} {
		t.Run(path, func(t *testing.T) {
			checkEndlessAnswers(t, path, connections)
		})
	}
}

// checkEndlessAnswers sends a request to the path on each of so many connections, and another
// caller's meanwhile.
func checkEndlessAnswers(t *testing.T, path string, connections int) {
	t.Helper()
	h := newHarness(t, newFakeUpstream(t, "u1", endlessReply))
	h.forwarder.memory = qlmemory.NewAccount(0)
	runtime.GC()
	var before, during runtime.MemStats
	runtime.ReadMemStats(&before)
	prompt := ""
	if strings.HasPrefix(path, "/chat/") {
		prompt = "Prompt: 1\r\n"
	}
	var begun sync.WaitGroup
	for range connections {
		begun.Go(func() {
			h.dial(t, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: i1\r\nKey: k1\r\n%sContent-Length: 0\r\n\r\n", path, prompt))
		})
	}
	begun.Wait()
	most, heap := int64(0), uint64(0)
	for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		most = max(most, h.forwarder.AnswerBytes())
		// This route has no limit on the wait for a head, which a busy machine may exceed.
		if got := h.send(t, "POST", "/order/x", nil, ""); got.status != 200 {
			t.Errorf("another request meanwhile: got %d, %v, want 200", got.status, got.err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&during)
	if during.HeapAlloc > before.HeapAlloc {
		heap = during.HeapAlloc - before.HeapAlloc
	}
	t.Logf("%d connections: %d KiB accounted for at most, %d KiB more of heap", connections, most>>10, heap>>10)
	if most > _maxAnswerBytes {
		t.Errorf("accounted for: got %d bytes, want at most %d", most, _maxAnswerBytes)
	}
	// The heap holds the upstreams' fillers, too.
	if heap > _smallVMBytes/2 {
		t.Errorf("heap: got %d bytes more, want at most %d", heap, _smallVMBytes/2)
	}
}
