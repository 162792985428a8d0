package qlforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRefusal measures the cost at which an overloaded router refuses a
// request with a prompt, on a connection that is reused. Half of the measured
// cost is the caller's.
func BenchmarkRefusal(b *testing.B) {
	h := newHarness(b)
	h.forwarder.config.Admit = func(context.Context, string) bool { return false }
	sendRequests(b, h, "/chat/x", http.StatusServiceUnavailable)
}

// BenchmarkStream measures a request that an engine answers with ten events.
func BenchmarkStream(b *testing.B) {
	h := newHarness(b, newFakeUpstream(b, "u1", streamEvents(0, 9, true)))
	sendRequests(b, h, "/chat/x", http.StatusOK)
}

// sendRequests sends b.N requests on one connection and checks their status.
func sendRequests(b *testing.B, h *harness, path string, want int) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.server.URL, "http://"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	body := strings.Repeat("x", 900)
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: i%d\r\nKey: k1\r\nPrompt: 1\r\nContent-Length: %d\r\n\r\n%s",
			path, i, len(body), body)
		if err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if response.StatusCode != want {
			b.Fatalf("status: got %d, want %d", response.StatusCode, want)
		}
	}
}
