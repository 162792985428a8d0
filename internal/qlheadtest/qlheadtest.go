// Package qlheadtest has a server that sends malformed heads, for tests of HTTP clients.
//
// # Usage
//
//	for _, field := range qlheadtest.MalformedFields() {
//		server := qlheadtest.NewServer(t, qlheadtest.ResponseWith(field, body))
//	}
package qlheadtest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// ValidField is a line of a head.
const ValidField = "Field-Name: value"

// MalformedFields returns lines that a head may not contain.
func MalformedFields() []string {
	return []string{
		"Field Name: value",
		"Field-Name : value",
		"Transfer-Encoding : chunked",
		"Content-Length : 1",
		"Field\x01Name: value",
	}
}

// ResponseWith returns a response with status 200, the line in its head, and the body. It states that
// its connection is closed, so that no client sends another request on it.
func ResponseWith(line, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\n%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body)
}

// NewServer starts a server that answers each request with the bytes and closes the connection.
func NewServer(t *testing.T, response string) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, response)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	return server
}
