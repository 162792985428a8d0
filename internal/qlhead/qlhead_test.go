package qlhead

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

const _body = "ok"

// responseWith returns a response with the line in its head.
func responseWith(line string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nDate: now\r\n%s\r\nContent-Length: %d\r\n\r\n%s", line, len(_body), _body)
}

// newRawServer returns a server that writes the bytes and closes the connection.
func newRawServer(t *testing.T, response string) *httptest.Server {
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

func readResponse(response string) (body string, err error) {
	got, err := ReadResponse(bufio.NewReader(strings.NewReader(response)), nil)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(got.Body)
	return string(data), err
}

func get(client *http.Client, url string) (body string, err error) {
	got, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = got.Body.Close() }()
	data, err := io.ReadAll(got.Body)
	return string(data), err
}

// isTokenByte reports whether the byte may stand in a field name (RFC 9110, section 5.6.2).
func isTokenByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// TestBytesOfFieldNames has each byte at each place of a field name.
func TestBytesOfFieldNames(t *testing.T) {
	for c := range 256 {
		if c == '\n' {
			// It ends a line.
			continue
		}
		text := string([]byte{byte(c)})
		for _, name := range []string{text + "Name", "Na" + text + "me", "Name" + text} {
			got, err := readResponse(responseWith(name + ": value"))
			// A line that begins with a space or a tab continues the field before it, and a
			// colon ends the name.
			allowed := isTokenByte(byte(c)) || (c == ' ' || c == '\t') && name == text+"Name" || c == ':' && name != text+"Name"
			if (err == nil) != allowed || allowed && got != _body {
				t.Errorf("field name %q: got %q, error %v, want it to be allowed: %v", name, got, err, allowed)
			}
		}
	}
}

// TestBytesOfFieldValues has each byte in a field value.
func TestBytesOfFieldValues(t *testing.T) {
	for c := range 256 {
		got, err := readResponse(responseWith("Name: va" + string([]byte{byte(c)}) + "lue"))
		allowed := c >= ' ' && c != 0x7f || c == '\t'
		if (err == nil) != allowed || allowed && got != _body {
			t.Errorf("byte %#x in a value: got %q, error %v, want it to be allowed: %v", c, got, err, allowed)
		}
	}
}

// TestStatusCodes has each text of three characters that net/http accepts as a number.
func TestStatusCodes(t *testing.T) {
	for code := range 1000 {
		texts := []string{fmt.Sprintf("%03d", code)}
		if code < 100 {
			texts = append(texts, fmt.Sprintf("+%02d", code), fmt.Sprintf("-%02d", code))
		}
		for _, text := range texts {
			_, err := readResponse("HTTP/1.1 " + text + " Text\r\nContent-Length: 0\r\n\r\n")
			if allowed := code >= 100 && code <= 599 && code != http.StatusSwitchingProtocols; (err == nil) != allowed {
				t.Errorf("status code %s: got error %v, want it to be allowed: %v", text, err, allowed)
			}
		}
	}
}

func TestTransportRefusesStatusCodes(t *testing.T) {
	client := &http.Client{
		Transport: NewTransport(http.DefaultTransport),
	}
	for _, text := range []string{"000", "099", "+20", "0200", "101", "600", "999"} {
		response := "HTTP/1.1 " + text + " OK\r\nContent-Length: 2\r\n\r\n" + _body
		if got, err := get(client, newRawServer(t, response).URL); err == nil {
			t.Errorf("status code %s: got %q and no error, want one", text, got)
		}
	}
}

func TestTransportRefusesMalformedHeads(t *testing.T) {
	client := &http.Client{
		Transport: NewTransport(http.DefaultTransport),
	}
	for _, c := range []struct {
		line    string
		allowed bool
	}{
		{line: "Field-Name: value", allowed: true},
		{line: "Field-Name:value of words", allowed: true},
		{line: "Field Name: value"},
		{line: "Field-Name : value"},
		{line: "Transfer-Encoding : chunked"},
		{line: "Content-Length : 1"},
		{line: "Field\x01Name: value"},
	} {
		got, err := get(client, newRawServer(t, responseWith(c.line)).URL)
		if (err == nil) != c.allowed || c.allowed && got != _body {
			t.Errorf("%q: got %q, error %v, want it to be allowed: %v", c.line, got, err, c.allowed)
		}
	}
}
