package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const clientHost = "ficu95.example"

// attempt is one attempt of a client, on a connection of its own.
type attempt struct {
	id, method, path, key string
	timeout               time.Duration
	// tokens and prefix are set for requests to model replicas.
	tokens, prefix string
	body           []byte
	headers        []string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the bytes of the request.
func (a *attempt) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n"+nameAttempt+": %s\r\n", a.method, a.path, clientHost, a.id)
	if a.tokens != "" {
		fmt.Fprintf(&b, "X-Model: m\r\n"+nameTokens+": %s\r\n"+namePrefix+": %s\r\n", a.tokens, a.prefix)
	}
	fmt.Fprintf(&b, nameDeadline+": %d\r\nAuthorization: Token %s\r\n", a.timeout.Milliseconds(), a.key)
	for _, h := range a.headers {
		b.WriteString(h + "\r\n")
	}
	if a.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	return b.Bytes()
}

// result is what a client has seen of its attempt.
type result struct {
	status    int
	signature string
	attemptID string
	body      []byte
	// whole is set if the answer looks complete: it ended as its framing says.
	whole  bool
	err    error
	took   time.Duration
	header http.Header
	// closes is set if the answer says that its connection ends.
	closes bool
}

func (r result) String() string {
	return fmt.Sprintf("status=%d whole=%v bytes=%d signature=%q err=%v after %.3fs", r.status, r.whole, len(r.body), r.signature, r.err, r.took.Seconds())
}

// do makes an attempt on a new connection.
func (a *attempt) do(address string) result {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	return a.doOn(conn, bufio.NewReader(conn))
}

func (a *attempt) doOn(conn net.Conn, reader *bufio.Reader) (res result) {
	began := time.Now()
	defer func() { res.took = time.Since(began) }()
	_ = conn.SetDeadline(began.Add(a.timeout + time.Second))
	if _, err := conn.Write(a.bytes()); err != nil {
		res.err = err
		return res
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: a.method})
	if err != nil {
		res.err = err
		return res
	}
	res.status, res.header, res.closes = response.StatusCode, response.Header, response.Close
	res.signature, res.attemptID = response.Header.Get(nameSignature), response.Header.Get(nameAttempt)
	res.body, res.err = io.ReadAll(response.Body)
	res.whole = res.err == nil
	return res
}

// event returns an event of the stream that answers an attempt.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }

// events returns how many events of the stream the body holds, in order from 0, and whether it
// holds anything else.
func events(id string, body []byte) (count int, rest string) {
	text := string(body)
	for {
		after, ok := strings.CutPrefix(text, event(id, count))
		if !ok {
			return count, text
		}
		text, count = after, count+1
	}
}
