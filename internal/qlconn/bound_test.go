package qlconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
)

// _endlessMegabytes is how much an upstream sends at most that never ends a head.
const _endlessMegabytes = 64

// TestHeadWithoutEndIsCut has upstreams send a status line, one field, fields, or
// informational responses without end. The request must fail, and the connection be
// closed, after a bounded number of bytes: one such upstream must not take the
// memory of the process.
func TestHeadWithoutEndIsCut(t *testing.T) {
	for _, c := range []struct {
		name  string
		start string
		chunk string
	}{
		{name: "status line", start: "HTTP/1.1 200 ", chunk: strings.Repeat("x", 64<<10)},
		{name: "one field", start: "HTTP/1.1 200 OK\r\nA: ", chunk: strings.Repeat("x", 64<<10)},
		{name: "fields", start: "HTTP/1.1 200 OK\r\n", chunk: strings.Repeat("A: xxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n", 2<<10)},
		{name: "informational responses", chunk: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2<<10)},
	} {
		sent := make(chan int, 1)
		u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
			total := 0
			defer func() { sent <- total }()
			if _, ok := readRequest(reader); !ok {
				return
			}
			if _, err := io.WriteString(conn, c.start); err != nil {
				return
			}
			for total < _endlessMegabytes<<20 {
				n, err := io.WriteString(conn, c.chunk)
				if total += n; err != nil {
					return
				}
			}
		})
		request := u.request("1")
		request.HeadTimeout = 5 * time.Second
		if got, err := sendAndRead(t, newPool(), request); err == nil {
			t.Errorf("%s: got %q, want an error", c.name, got)
		}
		// What the kernel buffers between the two ends is read by nobody.
		if total := <-sent; total > 16<<20 {
			t.Errorf("%s: the upstream could send %d bytes", c.name, total)
		}
	}
}

// TestInformationalResponsesAreSkipped checks that a few responses with status 1xx
// before the response don't fail the request.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		if id, ok := readRequest(reader); ok {
			_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", _maxInformationalResponses)+response(id, "ok"))
		}
	})
	if got, err := sendAndRead(t, newPool(), u.request("1")); got != "ok" {
		t.Errorf("got %q, %v, want ok", got, err)
	}
}

// TestPoolKeepsConnectionsWithinLimit guards against a process that opens connections to
// upstreams until it has no file descriptor left for its callers.
func TestPoolKeepsConnectionsWithinLimit(t *testing.T) {
	const limit = 3
	release := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/slow" {
			<-release
		}
		_, _ = io.WriteString(w, "answer")
	})
	pool := New(Config{
		DialTimeout: time.Second,
		IdleTimeout: time.Minute,
		MaxOpen:     func() int { return limit },
		Matches:     func(*http.Response, string) bool { return true },
	})
	ask := func(address, path string) error {
		exchange, err := pool.Do(context.Background(), &Request{
			Address: address,
			Method:  http.MethodGet,
			Target:  path,
			Host:    "h",
		})
		if err != nil {
			return err
		}
		defer exchange.Close()
		_, err = io.ReadAll(exchange.Response().Body)
		return err
	}
	var addresses []string
	for range limit + 2 {
		server := httptest.NewServer(handler)
		defer server.Close()
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	for _, address := range addresses {
		if err := ask(address, "/"); err != nil {
			t.Fatal(err)
		}
	}
	if pool.open != limit || pool.idle != limit {
		t.Errorf("after answers of %d upstreams: got %d connections, %d idle, want %d", len(addresses), pool.open, pool.idle, limit)
	}
	var slow sync.WaitGroup
	for _, address := range addresses[:limit] {
		slow.Go(func() {
			if err := ask(address, "/slow"); err != nil {
				t.Error(err)
			}
		})
	}
	for end := time.Now().Add(2 * time.Second); !pool.Full() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if err := ask(addresses[limit], "/"); !errors.Is(err, ErrTooManyConnections) || !errors.Is(err, ErrNotSent) {
		t.Errorf("with all connections in use: got %v, want %v, %v", err, ErrTooManyConnections, ErrNotSent)
	}
	close(release)
	slow.Wait()
	if err := ask(addresses[limit], "/"); err != nil || pool.Full() {
		t.Errorf("with idle connections again: got %v", err)
	}
}
