package qlforward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// _soundResponse follows malformed heads: no byte after them may be taken for a response.
const _soundResponse = "HTTP/1.1 200 OK\r\nId: i1\r\nSignature: s\r\nContent-Length: 5\r\n\r\nsound"

// sendOnEachRoute sends a request on each kind of route to an upstream that sends the bytes.
func sendOnEachRoute(t *testing.T, response string, check func(path string, got result)) {
	t.Helper()
	for _, c := range []struct {
		path   string
		header map[string]string
	}{
		{path: "/order/x"},
		{path: "/look/x"},
		{path: "/chat/x", header: promptHeaders()},
		{path: "/resume/x", header: promptHeaders()},
	} {
		u := newFakeUpstream(t, "u1", func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, response) })
		check(c.path, newHarness(t, u).send(t, http.MethodPost, c.path, c.header, ""))
	}
}

// checkIsNotForwarded checks that callers get 502 if an upstream sends the bytes, since the request
// may have run.
func checkIsNotForwarded(t *testing.T, name, response string) {
	t.Helper()
	sendOnEachRoute(t, response, func(path string, got result) {
		if got.status != http.StatusBadGateway || got.err != nil || got.header.Get("Signature") != "" {
			t.Errorf("%s, %s: got status %d, body %q, error %v, want 502", name, path, got.status, got.body, got.err)
		}
	})
}

func TestResponseWithMalformedFieldIsNotForwarded(t *testing.T) {
	chunks := chunk("whole answer") + _lastChunk
	for _, c := range []struct {
		name   string
		fields string
	}{
		{name: "space in a name", fields: "X Y: z\r\n"},
		{name: "space before a colon", fields: "X: y\r\nX-Y : z\r\n"},
		{name: "spaces before a colon", fields: "X-Y  : z\r\n"},
		{name: "tab before a colon", fields: "X-Y\t: z\r\n"},
		{name: "empty name", fields: ": z\r\n"},
		{name: "control byte in a name", fields: "X\x01Y: z\r\n"},
		{name: "NUL in a name", fields: "X\x00Y: z\r\n"},
		{name: "DEL in a name", fields: "X\x7fY: z\r\n"},
		{name: "CR in a name", fields: "X\rY: z\r\n"},
		{name: "quote in a name", fields: "X\"Y: z\r\n"},
		{name: "byte above 0x7f in a name", fields: "X\xe4Y: z\r\n"},
		{name: "no colon", fields: "X-Y\r\n"},
		{name: "control byte in a value", fields: "X-Y: \x01\r\n"},
		{name: "NUL in a value", fields: "X-Y: \x00\r\n"},
		{name: "negative length", fields: "Content-Length: -12\r\n"},
		{name: "signed length", fields: "Content-Length: +12\r\n"},
		{name: "two lengths", fields: "Content-Length: 12\r\nContent-Length: 11\r\n"},
		{name: "unknown transfer coding", fields: "Transfer-Encoding: unknown\r\n"},
		{name: "space after Transfer-Encoding", fields: "Transfer-Encoding : chunked\r\n"},
		{name: "space after Transfer-Encoding, and a length", fields: fmt.Sprintf("Transfer-Encoding : chunked\r\nContent-Length: %d\r\n", len(chunks))},
		{name: "space after Content-Length", fields: "Content-Length : 3\r\n"},
		{name: "space after Content-Length of 0", fields: "Content-Length : 0\r\n"},
	} {
		head := "HTTP/1.1 200 OK\r\nId: i1\r\n" + c.fields + "Signature: s\r\n\r\n"
		checkIsNotForwarded(t, c.name, head+chunks)
		checkIsNotForwarded(t, c.name+", sound response after it", head+_soundResponse)
	}
}

func TestResponseWithInvalidStatusIsNotForwarded(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "20", "0200", "+20", "-20", "2x0", "2 0", "101", "600", "999"} {
		head := "HTTP/1.1 " + status + " OK\r\nId: i1\r\nSignature: s\r\n"
		checkIsNotForwarded(t, "status "+status, head+"Content-Length: 12\r\n\r\nwhole answer")
		checkIsNotForwarded(t, "status "+status+", no length", head+"\r\nwhole answer")
		checkIsNotForwarded(t, "status "+status+", sound response as its body", head+"\r\n"+_soundResponse)
	}
}

// TestResponseWithMalformedTrailerIsNotComplete has a malformed field follow the last chunk.
func TestResponseWithMalformedTrailerIsNotComplete(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nId: i1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(_event1) + "0\r\nX Y: z\r\n\r\n"
	sendOnEachRoute(t, response, func(path string, got result) {
		// A stream has begun by then.
		if got.status == http.StatusOK && got.err == nil {
			t.Errorf("%s: got the whole answer %q, want none", path, got.body)
		}
	})
}

// TestOldResponseInChunksIsNotForwarded has an upstream answer with HTTP/1.0 in chunks. That
// version has none, so that the end of the body is not known (RFC 9112, section 6.1).
func TestOldResponseInChunksIsNotForwarded(t *testing.T) {
	head := "HTTP/1.0 200 OK\r\nId: i1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	checkIsNotForwarded(t, "HTTP/1.0 in chunks", head+chunk("whole answer")+_lastChunk)
}
