package qlhead

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qlheadtest"
)

const _body = "ok"

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
			got, err := readResponse(qlheadtest.ResponseWith(name+": value", _body))
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
		got, err := readResponse(qlheadtest.ResponseWith("Name: va"+string([]byte{byte(c)})+"lue", _body))
		allowed := c >= ' ' && c != 0x7f || c == '\t'
		if (err == nil) != allowed || allowed && got != _body {
			t.Errorf("byte %#x in a value: got %q, error %v, want it to be allowed: %v", c, got, err, allowed)
		}
	}
}

// TestOldResponses has responses with HTTP/1.0, which are refused if a transfer coding is stated:
// their bodies would hold the framing of the chunks.
func TestOldResponses(t *testing.T) {
	client := &http.Client{
		Transport: DefaultTransport(),
	}
	for _, c := range []struct {
		name     string
		response string
		want     string
	}{
		{name: "length", response: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n" + _body + "x", want: _body},
		{name: "no length", response: "HTTP/1.0 200 OK\r\n\r\n" + _body, want: _body},
		{name: "bare LF", response: "HTTP/1.0 200 OK\nName: value\n\n" + _body, want: _body},
		{name: "head longer than a buffer", response: "HTTP/1.0 200 OK\r\nName: " + strings.Repeat("v", 9000) + "\r\n\r\n" + _body, want: _body},
		{name: "in chunks", response: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{name: "in chunks, lower case", response: "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{name: "in chunks, with a length", response: "HTTP/1.0 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{name: "in chunks, older version", response: "HTTP/0.9 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{name: "the field in the body", response: "HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n", want: "Transfer-Encoding: chunked\r\n"},
		{name: "a longer name", response: "HTTP/1.0 200 OK\r\nTransfer-Encoding-Name: chunked\r\n\r\n" + _body, want: _body},
		{name: "cut in the head", response: "HTTP/1.0 200 OK\r\nName: va"},
		{name: "cut in the version", response: "HTTP/1"},
	} {
		got, err := readResponse(c.response)
		if (err == nil) != (c.want != "") || got != c.want {
			t.Errorf("%s: got %q, error %v, want %q", c.name, got, err, c.want)
		}
		got, err = get(client, qlheadtest.NewServer(t, c.response).URL)
		if (err == nil) != (c.want != "") || got != c.want {
			t.Errorf("%s: client got %q, error %v, want %q", c.name, got, err, c.want)
		}
	}
}

// TestMalformedTrailers has malformed fields after the last chunk. The body must not look complete.
func TestMalformedTrailers(t *testing.T) {
	client := &http.Client{
		Transport: DefaultTransport(),
	}
	for _, field := range append(qlheadtest.MalformedFields(), qlheadtest.ValidField) {
		response := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + field + "\r\n\r\n"
		want := field == qlheadtest.ValidField
		if got, err := readResponse(response); (err == nil) != want || got != _body {
			t.Errorf("%q: got %q, error %v, want it to be allowed: %v", field, got, err, want)
		}
		if got, err := get(client, qlheadtest.NewServer(t, response).URL); (err == nil) != want || got != _body {
			t.Errorf("%q: client got %q, error %v, want it to be allowed: %v", field, got, err, want)
		}
	}
}

// TestMalformedInformationalResponses has malformed fields in a response that a client skips.
func TestMalformedInformationalResponses(t *testing.T) {
	client := &http.Client{
		Transport: DefaultTransport(),
	}
	for _, field := range append(qlheadtest.MalformedFields(), qlheadtest.ValidField) {
		response := "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + qlheadtest.ResponseWith("Name: value", _body)
		want := field == qlheadtest.ValidField
		if got, err := get(client, qlheadtest.NewServer(t, response).URL); (err == nil) != want || want && got != _body {
			t.Errorf("%q: got %q, error %v, want it to be allowed: %v", field, got, err, want)
		}
	}
}

// TestConnectionOfAnOldResponseIsNotReused has a response with HTTP/1.0 ask to keep its connection.
func TestConnectionOfAnOldResponseIsNotReused(t *testing.T) {
	response, err := ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok")), nil)
	if err != nil || !response.Close {
		t.Errorf("got %+v, %v, want the connection to be closed after it", response, err)
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
		Transport: DefaultTransport(),
	}
	for _, text := range []string{"000", "099", "+20", "0200", "101", "600", "999"} {
		response := "HTTP/1.1 " + text + " OK\r\nContent-Length: 2\r\n\r\n" + _body
		if got, err := get(client, qlheadtest.NewServer(t, response).URL); err == nil {
			t.Errorf("status code %s: got %q and no error, want one", text, got)
		}
	}
}

func TestTransportRefusesMalformedHeads(t *testing.T) {
	client := &http.Client{
		Transport: DefaultTransport(),
	}
	const noSpace = "Field-Name:value of words"
	for _, field := range append(qlheadtest.MalformedFields(), qlheadtest.ValidField, noSpace) {
		got, err := get(client, qlheadtest.NewServer(t, qlheadtest.ResponseWith(field, _body)).URL)
		if allowed := field == qlheadtest.ValidField || field == noSpace; (err == nil) != allowed || allowed && got != _body {
			t.Errorf("%q: got %q, error %v, want it to be allowed: %v", field, got, err, allowed)
		}
	}
}
