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

	"github.com/quetzallane/quetzallane/internal/qlhead"
	"github.com/quetzallane/quetzallane/platform/qlsim"
)

// requestKind is a kind of request. Each kind has a route of the same name.
type requestKind struct {
	name   string
	method string
	// repeatable requests may be executed more than once.
	repeatable bool
	// stream is set when the answer is an event stream.
	stream bool
}

var _requestKinds = []requestKind{
	{name: "book", method: http.MethodPost},
	{name: "look", method: http.MethodGet, repeatable: true},
	{name: "gen", method: http.MethodGet, repeatable: true},
	{name: "chat", method: http.MethodPost, stream: true},
	{name: "resume", method: http.MethodPost, stream: true, repeatable: true},
}

// _streamKinds are the kinds of requests to engines.
var _streamKinds = _requestKinds[3:]

const (
	// _crashPart is the part of prompts on which engines crash.
	_crashPart      = "dead0001"
	_host           = "soak.example"
	_callerTimeout  = 3 * time.Second
	_connectTimeout = time.Second
	// A caller pauses between requests for _minThinkTime and a random time of up
	// to _thinkTimeJitter.
	_minThinkTime    = 5 * time.Millisecond
	_thinkTimeJitter = 40 * time.Millisecond
)

// attempt is one request of a caller and its outcome.
type attempt struct {
	id       string
	kind     requestKind
	customer string
	digest   string
	path     string
	// process is the name, from router.incarnation, of the router process that the
	// request was sent to.
	process string
	sentAt  time.Time

	endedAt time.Time
	status  int
	// complete is set when the answer was received to its end; disconnected is
	// set when the connection ended before a status was received.
	complete     bool
	disconnected bool
}

// caller sends one request after another over a connection. It keeps the
// connection until the connection fails or the router asks to close it.
type caller struct {
	run       *soakRun
	name      string
	customer  string
	random    *rand.Rand
	router    *router
	process   string
	conn      net.Conn
	reader    *bufio.Reader
	sentCount int
	// crashesEngines is set if the prompts hold a part on which engines crash.
	crashesEngines bool
}

// loop sends random kinds of requests, with pauses between, until the context ends.
func (c *caller) loop(ctx context.Context) {
	kinds := _requestKinds
	if c.crashesEngines {
		kinds = _streamKinds
	}
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			time.Sleep(_minThinkTime)
			continue
		}
		c.call(kinds[c.random.IntN(len(kinds))])
		time.Sleep(_minThinkTime + time.Duration(c.random.Int64N(int64(_thinkTimeJitter))))
	}
}

// connect connects to a router chosen as the balancer does: a random one of those
// that are ready, or of all if none is.
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
	c.process = c.router.incarnation()
	conn, err := net.DialTimeout("tcp4", c.router.callerAddress(), _connectTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call sends one request and has the ledger check its answer and outcome.
func (c *caller) call(k requestKind) *attempt {
	c.sentCount++
	body := ""
	if k.method == http.MethodPost {
		body = strings.Repeat("x", 1+c.random.IntN(4000))
	}
	a := &attempt{
		id:       fmt.Sprintf("%s-%d", c.name, c.sentCount),
		kind:     k,
		customer: c.customer,
		digest:   qlsim.Digest([]byte(body)),
		path:     fmt.Sprintf("/%s/%d", k.name, c.random.IntN(100)),
		process:  c.process,
		sentAt:   time.Now(),
	}
	c.run.ledger.recordAttempt(a)
	c.exchange(a, body)
	a.endedAt = time.Now()
	c.run.ledger.recordEnd(a, c.router.isStopping())
	return a
}

// exchange sends the request, reads the answer within _callerTimeout and sets the
// attempt's outcome.
func (c *caller) exchange(a *attempt, body string) {
	request, err := http.NewRequest(a.kind.method, "http://"+_host+a.path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	fields := qlsim.Attempt{
		ID:      a.id,
		Key:     keyOf(a.customer),
		Timeout: _callerTimeout,
	}
	if a.kind.stream {
		fields.PromptTokens, fields.MaxOutputTokens = 200+c.random.IntN(4000), 10
		own := qlsim.Digest([]byte(fields.ID))
		fields.Parts = []string{"1", fmt.Sprintf("%x", 2+c.random.IntN(20)), own}
		if c.crashesEngines {
			fields.Parts = []string{"1", _crashPart, own}
		}
	}
	fields.SetHeader(request.Header)
	_ = c.conn.SetDeadline(a.sentAt.Add(_callerTimeout))
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		panic(err)
	}
	if _, err := c.conn.Write(encoded.Bytes()); err != nil {
		a.disconnected = true
		c.disconnect()
		return
	}
	response, err := qlhead.ReadResponse(c.reader, request)
	if err != nil {
		a.disconnected = !errors.Is(err, os.ErrDeadlineExceeded)
		c.disconnect()
		return
	}
	a.status = response.StatusCode
	answer, err := io.ReadAll(response.Body)
	a.complete = err == nil
	c.run.ledger.checkAnswer(a, response.Header, string(answer))
	if err != nil || response.Close {
		c.disconnect()
	}
}

func keyOf(customer string) string {
	return "key-of-" + customer
}
