package qlhead

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/juju/errors"
)

// readerConn is a connection whose bytes come from the reader.
type readerConn struct {
	net.Conn
	reader io.Reader
}

// Read implements net.Conn.
func (c *readerConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// TestOldCodingIsFoundInPieces has the head of a response come a byte at a time.
func TestOldCodingIsFoundInPieces(t *testing.T) {
	for _, c := range []struct {
		response string
		want     bool
	}{
		{response: "HTTP/1.0 200 OK\r\nName: " + strings.Repeat("v", 100) + "\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", want: true},
		{response: "HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n", want: true},
	} {
		conn := &headConn{
			Conn: &readerConn{
				reader: iotest.OneByteReader(strings.NewReader(c.response)),
			},
		}
		got, err := io.ReadAll(conn)
		if (err == nil) != c.want || c.want && string(got) != c.response {
			t.Errorf("%q: got %q, error %v, want it whole: %v", c.response, got, err, c.want)
		}
	}
}

// serveInTurn answers the requests of one connection with the responses, and returns its URL.
func serveInTurn(t *testing.T, responses []string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for i, response := range responses {
			request, err := http.ReadRequest(reader)
			if err == nil {
				_, err = io.Copy(io.Discard, request.Body)
			}
			if err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
			_, _ = io.WriteString(conn, response)
		}
	}()
	return "http://" + listener.Addr().String()
}

// TestOldCodingIsFoundOnAKeptConnection has a malformed response after others on one connection,
// whose bodies look like malformed heads.
func TestOldCodingIsFoundOnAKeptConnection(t *testing.T) {
	const body = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	response := func(version, fields string) string {
		return fmt.Sprintf("%s 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", version, fields, len(body), body)
	}
	url := serveInTurn(t, []string{
		response("HTTP/1.1", ""),
		response("HTTP/1.0", "Connection: keep-alive\r\n"),
		response("HTTP/1.0", "Transfer-Encoding: chunked\r\n"),
	})
	client := &http.Client{
		Transport: NewTransport(&http.Transport{}),
		Timeout:   10 * time.Second,
	}
	for i := range 2 {
		if got, err := get(client, url); err != nil || got != body {
			t.Fatalf("response %d: got %q, error %v, want its body", i, got, err)
		}
	}
	// The transport can't send this one again on another connection.
	if _, err := client.Post(url, "text/plain", io.MultiReader(strings.NewReader("x"))); !errors.Is(err, errOldCoding) {
		t.Errorf("malformed response: got error %v, want %v", err, errOldCoding)
	}
}
