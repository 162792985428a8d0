package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/quetzallane/quetzallane/platform/qlsim"
)

// kind is one kind of request.
type kind struct {
	name   string
	method string
	// repeatable kinds may run more than once.
	repeatable bool
	stream     bool
}

var _callKinds = []kind{
	{name: "book", method: http.MethodPost},
	{name: "look", method: http.MethodGet, repeatable: true},
	{name: "gen", method: http.MethodGet, repeatable: true},
	{name: "chat", method: http.MethodPost, stream: true},
	{name: "resume", method: http.MethodPost, stream: true, repeatable: true},
}

const (
	_host       = "soak.example"
	_wait       = 3 * time.Second
	_connect    = time.Second
	_leastThink = 5 * time.Millisecond
	_think      = 40 * time.Millisecond
)

// attempt is one request and what became of it.
type attempt struct {
	id       string
	kind     kind
	customer string
	digest   string
	path     string
	// via is the process that it was sent to.
	via  string
	sent time.Time

	ended  time.Time
	status int
	// whole is set when an answer came to its end; closed when the connection
	// ended without a status.
	whole  bool
	closed bool
}

// caller sends requests on a connection that it keeps until the process is
// gone or asks it to close.
type caller struct {
	run      *run
	name     string
	customer string
	random   *rand.Rand
	router   *router
	via      string
	conn     net.Conn
	reader   *bufio.Reader
	sent     int
}

func (c *caller) loop(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			time.Sleep(_leastThink)
			continue
		}
		c.call(_callKinds[c.random.IntN(len(_callKinds))])
		time.Sleep(_leastThink + time.Duration(c.random.Int64N(int64(_think))))
	}
}

// connect chooses a router as the balancer does.
func (c *caller) connect() bool {
	var ready []*router
	for _, router := range c.run.routers {
		if router.ready.Load() {
			ready = append(ready, router)
		}
	}
	if len(ready) == 0 {
		ready = c.run.routers
	}
	c.router = ready[c.random.IntN(len(ready))]
	c.via = c.router.incarnation()
	conn, err := net.DialTimeout("tcp4", c.router.callers(), _connect)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call sends one request and judges its answer.
func (c *caller) call(k kind) *attempt {
	c.sent++
	body := ""
	if k.method == http.MethodPost {
		body = strings.Repeat("x", 1+c.random.IntN(4000))
	}
	a := &attempt{
		id:       fmt.Sprintf("%s-%d", c.name, c.sent),
		kind:     k,
		customer: c.customer,
		digest:   qlsim.Digest([]byte(body)),
		path:     fmt.Sprintf("/%s/%d", k.name, c.random.IntN(100)),
		via:      c.via,
		sent:     time.Now(),
	}
	c.run.ledger.begin(a)
	c.exchange(a, body)
	a.ended = time.Now()
	c.run.ledger.end(a, c.router.isPlanned())
	return a
}

func (c *caller) exchange(a *attempt, body string) {
	request, err := http.NewRequest(a.kind.method, "http://"+_host+a.path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	said := qlsim.Attempt{
		ID:      a.id,
		Key:     keyOf(a.customer),
		Timeout: _wait,
	}
	if a.kind.stream {
		said.PromptTokens, said.MaxOutputTokens = 200+c.random.IntN(4000), 10
		said.SharedSegmentID = uint32(c.random.IntN(20))
	}
	said.SetHeader(request.Header)
	_ = c.conn.SetDeadline(a.sent.Add(_wait))
	var text bytes.Buffer
	if err := request.Write(&text); err != nil {
		panic(err)
	}
	if _, err := c.conn.Write(text.Bytes()); err != nil {
		a.closed = true
		c.hangUp()
		return
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		a.closed = !errors.Is(err, os.ErrDeadlineExceeded)
		c.hangUp()
		return
	}
	a.status = response.StatusCode
	got, err := io.ReadAll(response.Body)
	a.whole = err == nil
	c.run.ledger.judge(a, response.Header, string(got))
	if err != nil || response.Close {
		c.hangUp()
	}
}

func keyOf(customer string) string {
	return "key-of-" + customer
}
