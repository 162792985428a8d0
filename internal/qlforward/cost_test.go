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

// BenchmarkRefusal measures what an overloaded router spends on a request with
// a prompt that it refuses, on a connection that is kept; half of it is the
// caller's part.
func BenchmarkRefusal(b *testing.B) {
	bench := newBench(b)
	bench.forwarder.config.Admit = func(context.Context, string) bool { return false }
	repeat(b, bench, "/chat/x", http.StatusServiceUnavailable)
}

// BenchmarkStream measures a request that an engine answers with ten events.
func BenchmarkStream(b *testing.B) {
	bench := newBench(b, newStandIn(b, "u1", stream(0, 9, true)))
	repeat(b, bench, "/chat/x", http.StatusOK)
}

func repeat(b *testing.B, bench *bench, path string, want int) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(bench.server.URL, "http://"))
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
