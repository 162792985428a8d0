package qloffload

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlbuffer"
	"github.com/quetzallane/quetzallane/internal/qloutcome"
	"go.uber.org/zap"
)

const (
	// _dialTimeout limits the time until another router accepts a link.
	_dialTimeout = 500 * time.Millisecond
	// The _keepAlive constants and _unackedTimeout detect the loss of the other router.
	_keepAliveIdle     = time.Second
	_keepAliveInterval = time.Second
	_keepAliveCount    = 3
	_unackedTimeout    = 3 * time.Second
	// _tcpUserTimeout is the option TCP_USER_TIMEOUT, which package syscall lacks.
	_tcpUserTimeout = 0x12
	// _hello is what a router sends first on each link that it accepts.
	_hello = 'Q'
)

// setTimeouts makes a link break when the other end is lost.
func setTimeouts(conn *net.TCPConn) error {
	err := conn.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     _keepAliveIdle,
		Interval: _keepAliveInterval,
		Count:    _keepAliveCount,
	})
	if err != nil {
		return errors.Trace(err)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, _tcpUserTimeout, int(_unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(optionErr)
}

// link is a connection to a router that takes requests. Many requests share it.
type link struct {
	offloader *Offloader
	address   string
	conn      *net.TCPConn
	queue     *sendQueue

	mu        sync.Mutex
	lastID    uint32
	exchanges map[uint32]*Exchange
	// unsent are the exchanges whose requests are still queued.
	unsent []*Exchange
	broken bool
	// usedAt is when the last request was sent.
	usedAt time.Duration

	silence silenceDetector
	// silent is what CheckLinks has found last.
	silent bool
}

// dial opens a link and waits until the other router has accepted it.
func (o *Offloader) dial(address string) (*link, error) {
	dialer := net.Dialer{
		Timeout: _dialTimeout,
	}
	raw, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, ok := raw.(*net.TCPConn)
	if !ok {
		return nil, errors.NotSupportedf("connection of type %T", raw)
	}
	if err := awaitHello(conn); err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	l := &link{
		offloader: o,
		address:   address,
		conn:      conn,
		exchanges: make(map[uint32]*Exchange),
		usedAt:    o.config.Clock(),
	}
	if l.queue, err = newSendQueue(conn, l.markSent); err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	return l, nil
}

func awaitHello(conn *net.TCPConn) error {
	if err := setTimeouts(conn); err != nil {
		return errors.Trace(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(_dialTimeout)); err != nil {
		return errors.Trace(err)
	}
	var hello [1]byte
	if _, err := conn.Read(hello[:]); err != nil {
		return errors.Annotate(err, "link not accepted")
	}
	if hello[0] != _hello {
		return errors.NotValidf("first byte %q of a link", hello[0])
	}
	return errors.Trace(conn.SetReadDeadline(time.Time{}))
}

// start queues a request, and reports false, and why, if it is certain not to be sent.
func (l *link) start(exchange *Exchange, stamp Stamp, request []byte) (sent bool, reason Reason) {
	l.mu.Lock()
	if l.broken {
		l.mu.Unlock()
		return false, LinkBroken
	}
	l.lastID++
	exchange.link, exchange.id = l, l.lastID
	l.exchanges[exchange.id] = exchange
	l.unsent = append(l.unsent, exchange)
	l.usedAt = l.offloader.config.Clock()
	if deadline := exchange.caller.Deadline; !deadline.IsZero() {
		exchange.timer = time.AfterFunc(time.Until(deadline), exchange.timeOut)
	}
	l.mu.Unlock()
	sentAt := l.offloader.config.Clock()
	err := l.queue.add(true, func(to []byte) []byte {
		return appendRequest(appendClock(to, sentAt), exchange.id, stamp, request)
	})
	if err == nil {
		return true, 0
	}
	if l.remove(exchange.id) == nil {
		// The link broke meanwhile, which has ended the exchange.
		return true, 0
	}
	if errors.Is(err, errQueueFull) {
		return false, LinkFull
	}
	return false, LinkBroken
}

// markSent records that all queued requests are being written.
func (l *link) markSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, exchange := range l.unsent {
		exchange.sent = true
	}
	l.unsent = nil
}

// remove ends the link's part in an exchange. It returns nil if that has ended before.
func (l *link) remove(id uint32) *Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	exchange := l.exchanges[id]
	delete(l.exchanges, id)
	if exchange != nil {
		exchange.stopTimer()
	}
	return exchange
}

// run writes requests and reads answers until the link breaks or is closed.
func (l *link) run(buffers *qlbuffer.Pool) {
	go func() {
		if err := l.queue.run(); err != nil {
			l.offloader.config.Log.Info("offload-link-not-written", zap.String("address", l.address), zap.Error(err))
		}
		// The reader notices the end.
		_ = l.conn.Close()
	}()
	err := readFrames(l.conn, buffers, l.receive)
	l.fail(err)
}

// readFrames reads frames until the connection ends.
func readFrames(conn *net.TCPConn, buffers *qlbuffer.Pool, handle func(kind frameKind, id uint32, payload []byte) error) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var frames frameReader
	for {
		buffer, n, err := buffers.Read(raw)
		if err != nil {
			return err
		}
		err = frames.read((*buffer)[:n], handle)
		buffers.Put(buffer)
		if err != nil {
			return errors.Trace(err)
		}
	}
}

// receive handles a frame of the other router. One of an unknown request is late: the
// caller has disconnected.
func (l *link) receive(kind frameKind, id uint32, payload []byte) error {
	l.silence.heard.Add(1)
	switch kind {
	case frameAnswer:
		l.mu.Lock()
		exchange := l.exchanges[id]
		if exchange != nil {
			exchange.began = true
		}
		l.mu.Unlock()
		if exchange == nil {
			return nil
		}
		if err := exchange.caller.Write(payload); err != nil {
			exchange.count(qloutcome.OffloadUnwritten)
			// Parts after a missing one would make the answer look whole.
			l.offloader.config.Log.Debug("offload-answer-not-written", zap.Error(err))
			exchange.cancel("a part that was not written")
			return nil
		}
		l.recordWritten(exchange, payload)
	case frameEnd:
		l.end(id, payload)
	case frameDeclined:
		l.offloader.declined.Add(1)
		l.offloader.peers.Declined(l.offloader.config.Clock(), l.address)
		l.decline(id)
	case frameBroken:
		if exchange := l.remove(id); exchange != nil {
			l.offloader.broken.Add(1)
			exchange.countEnd(Broken)
			exchange.finishBroken("the other router")
		}
	case frameRoom:
		rate, err := splitRoom(payload)
		if err != nil {
			return errors.Trace(err)
		}
		l.offloader.setRoom(l, float64(rate))
	case framePong:
		l.silence.answersPings.Store(true)
	case frameRequest, frameCancel, framePing, frameClock:
		return errors.NotValidf("frame of kind %d in an answer", kind)
	}
	return nil
}

// recordWritten records that a part of an answer was passed on, unless the exchange has ended.
func (l *link) recordWritten(exchange *Exchange, part []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.exchanges[exchange.id] == exchange {
		exchange.answer.add(part)
	}
}

// end ends an exchange whose answer is whole.
func (l *link) end(id uint32, payload []byte) {
	exchange := l.remove(id)
	if exchange == nil {
		return
	}
	if len(payload) > 0 && payload[0]&_flagOverShare != 0 && exchange.caller.OverShare != nil {
		exchange.caller.OverShare()
	}
	exchange.finish(Answered)
}

// decline ends an exchange that the other router has not taken. One whose answer it has begun all
// the same is broken.
func (l *link) decline(id uint32) {
	exchange := l.remove(id)
	if exchange == nil {
		return
	}
	exchange.countEnd(NotTaken)
	if exchange.began {
		exchange.finishBroken("declined after it had begun")
		return
	}
	exchange.finish(NotTaken)
}

// fail closes the link. Requests that were not written have not been received, the outcome
// of the others is unknown.
func (l *link) fail(err error) {
	// Nothing more is written from here on.
	_ = l.conn.Close()
	l.queue.close()
	l.offloader.removeLink(l)
	l.mu.Lock()
	l.broken = true
	outcomes := make(map[*Exchange]Outcome, len(l.exchanges))
	for _, exchange := range l.exchanges {
		exchange.stopTimer()
		outcomes[exchange] = NotTaken
		if exchange.sent {
			outcomes[exchange] = Broken
			l.offloader.broken.Add(1)
		}
	}
	clear(l.exchanges)
	l.mu.Unlock()
	if len(outcomes) > 0 {
		l.offloader.peers.Unreachable(l.offloader.config.Clock(), l.address)
		l.offloader.config.Log.Info("offload-link-broken", zap.String("address", l.address), zap.Int("requests", len(outcomes)), zap.Error(err))
	}
	for exchange, outcome := range outcomes {
		exchange.countEnd(outcome)
		if outcome == Broken {
			exchange.finishBroken("the link")
			continue
		}
		exchange.finish(outcome)
	}
}

// cut ends all requests on the link, tells the other router, and returns how many there
// were.
func (l *link) cut() int64 {
	l.mu.Lock()
	exchanges := make([]*Exchange, 0, len(l.exchanges))
	for _, exchange := range l.exchanges {
		exchange.stopTimer()
		exchanges = append(exchanges, exchange)
	}
	clear(l.exchanges)
	l.mu.Unlock()
	l.offloader.broken.Add(uint64(len(exchanges)))
	for _, exchange := range exchanges {
		exchange.sendCancel()
		exchange.finishBroken("the end of a planned stop")
	}
	return int64(len(exchanges))
}

// activeCount returns the number of requests that wait for their answers.
func (l *link) activeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.exchanges)
}

// idleFor returns how long the link has had no request.
func (l *link) idleFor(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.exchanges) > 0 {
		return 0
	}
	return now - l.usedAt
}

// Outcome is how the offloading of a request ended.
type Outcome int

const (
	// Answered means that a whole answer was passed on.
	Answered Outcome = iota + 1
	// NotTaken means that the other router has not handled the request and will not.
	NotTaken
	// Broken means that the answer broke off, or the caller has disconnected. The request
	// may have run.
	Broken
)

// Exchange is one request that was sent to another router.
type Exchange struct {
	offloader *Offloader
	link      *link
	id        uint32
	caller    Caller
	customer  string
	done      chan struct{}
	outcome   Outcome
	// sent is set once the request may have reached the other router. The link's lock
	// guards it.
	sent bool
	// began is set once a part of the answer has come. The link's lock guards it until the
	// link's part in the exchange has ended.
	began bool
	// answer is what was passed on of the answer. It is guarded like began.
	answer answerTracker
	// timer calls timeOut at the deadline; nil without one. The link's lock guards it.
	timer *time.Timer
}

// Done is closed when the exchange has ended.
func (x *Exchange) Done() <-chan struct{} {
	return x.done
}

// Outcome returns how the exchange has ended; it is valid once Done is closed.
func (x *Exchange) Outcome() Outcome {
	return x.outcome
}

// Cancel ends the exchange because its caller has disconnected. One that has only ended its
// side of the connection is told that the outcome is unknown.
func (x *Exchange) Cancel() {
	x.cancel("the caller")
}

func (x *Exchange) cancel(cause string) {
	if x.link.remove(x.id) == nil {
		return
	}
	x.sendCancel()
	x.count(qloutcome.OffloadLeft)
	x.finishBroken(cause)
}

// stopTimer ends the wait for the deadline. The caller holds the link's lock.
func (x *Exchange) stopTimer() {
	if x.timer != nil {
		x.timer.Stop()
	}
}

// timeOut ends the exchange because its time limit has passed. Its caller is told that the
// outcome is unknown.
func (x *Exchange) timeOut() {
	if x.link.remove(x.id) == nil {
		return
	}
	x.offloader.timedOut.Add(1)
	x.count(qloutcome.OffloadTimedOut)
	x.sendCancel()
	x.finishUnknown(x.offloader.config.TimedOut, "the time limit")
}

// sendCancel tells the other router that nobody waits for the answer.
func (x *Exchange) sendCancel() {
	if err := x.link.queue.addControl(frameCancel, x.id, nil); err != nil {
		// The other router keeps working on a request that nobody waits for, unless its
		// link breaks.
		_ = x.link.conn.Close()
	}
}

// finishBroken ends an exchange of which the other router has told no end. The cause says by
// what it ended.
func (x *Exchange) finishBroken(cause string) {
	x.finishUnknown(x.offloader.config.UnknownOutcome, cause)
}

// finishUnknown ends an exchange with the answer, or by a reset if another one has begun that
// is not whole.
func (x *Exchange) finishUnknown(answer func() []byte, cause string) {
	var err error
	switch {
	case x.answer.isWhole():
		x.finish(Answered)
		return
	case !x.began && answer != nil:
		if err = x.caller.Write(answer()); err == nil {
			x.finish(Answered)
			return
		}
	}
	// The caller's connection ends without an answer, or without the rest of one.
	x.offloader.config.Log.Info("offloaded-request-cut", zap.String("cause", cause), zap.String("address", x.link.address),
		zap.String("customer", x.customer), zap.Bool("begun", x.began), zap.Error(err))
	x.finish(Broken)
}

func (x *Exchange) count(outcome qloutcome.Outcome) {
	x.offloader.config.Outcomes.Add(x.customer, outcome)
}

// countEnd counts an end that the other router or the link has caused, unless the request
// was answered.
func (x *Exchange) countEnd(outcome Outcome) {
	switch outcome {
	case NotTaken:
		x.count(qloutcome.OffloadDeclined)
	case Broken:
		x.count(qloutcome.OffloadBroken)
	case Answered:
	}
}

func (x *Exchange) finish(outcome Outcome) {
	x.offloader.active.Add(-1)
	x.outcome = outcome
	x.caller.Finish(outcome)
	close(x.done)
}
