// Package qloffload passes callers' requests on to routers with idle processors.
//
// The load balancer chooses a router by the caller, so that one small VM may receive half
// of a fleet's requests while the others idle. Such a VM offloads what exceeds its budget:
// it sends the request, as it has received it, to another router of its zone, and passes
// the answer on as it comes. Two routers share one connection for this (a link), so that a
// busy one reads and writes once for many requests. A link carries no more than its socket
// buffers hold each time that both processes get to run: a router opens further links to
// another one while what it sends there waits. The other router handles the request as if
// its caller had connected there.
//
// # What is known about a request
//
// Each router tells the others, on their links, how many requests it takes from them, and they
// offer no more. One that cannot take a request all the same declines it before it handles
// it. One that is still queued when its link breaks has not been received. In both cases it
// is served, or refused, where its caller has connected. Once it was sent and not declined, only an
// answer tells whether it has run: if the link breaks, the caller is told that the outcome
// is unknown. If the answer has begun, the caller's connection is reset, so that it does
// not look complete. Offloaded requests are not offloaded again. If the caller disconnects,
// the other router is told to cancel.
//
// The router with the caller's connection keeps the request's time limit, too: the other one
// may be frozen or cut off, and its link need not break then. At the limit the caller is told
// that the outcome is unknown, and what the other router sends later is dropped.
//
// # Usage
//
//	offloader := qloffload.New(qloffload.Config{Lag: lag, MemoryMB: 112, Clock: clock, Log: log})
//	offloader.Peers().Set(now, peers)
//	if ready, _ := offloader.Ready(); ready {
//		exchange := offloader.Start(request, stamp, qloffload.Caller{Write: write, Finish: finish}) // nil: not sent
//	}
package qloffload

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlbuffer"
	"github.com/quetzallane/quetzallane/internal/qloutcome"
	"go.uber.org/zap"
)

const (
	// MaxRequestBytes bounds the requests that are offloaded.
	MaxRequestBytes = 64 << 10
	// _bufferSize is in bytes. A link is read for many requests at once.
	_bufferSize = 64 << 10
	// _maxActivePerMB bounds the requests that are offloaded at a time, per 1 MiB of memory:
	// each holds its request until the answer begins.
	_maxActivePerMB = 12
	// _maxLag is the lag above which a router offloads nothing: it would not notice in time
	// that callers disconnect.
	_maxLag = 300 * time.Millisecond
	// _linkIdleTimeout is how long a link is kept without requests.
	_linkIdleTimeout = 30 * time.Second
)

// Config configures an Offloader.
type Config struct {
	// Lag returns how late this process reads what has arrived.
	Lag func() time.Duration
	// MemoryMB is the memory that the process may use, in units of 1 MiB.
	MemoryMB int
	// UnknownOutcome returns the answer to a request that was sent to another router and
	// got none. If it is nil, the callers' connections are reset.
	UnknownOutcome func() []byte
	// TimedOut returns the answer to a request that was sent to another router and got none
	// within its time limit. If it is nil, the callers' connections are reset.
	TimedOut func() []byte
	// Clock returns the time on a monotonic clock.
	Clock func() time.Duration
	// CustomerOf returns the customer of a request, or "". It may be nil if there is no
	// Outcomes.
	CustomerOf func(request []byte) string
	// Outcomes counts what becomes of requests; it may be nil.
	Outcomes *qloutcome.Counter
	Log      *zap.Logger
}

// Offloader offloads requests. It is safe for concurrent use.
type Offloader struct {
	config    Config
	peers     *Peers
	buffers   *qlbuffer.Pool
	maxActive int64
	active    atomic.Int64
	// delivering counts the answers that callers have not read yet.
	delivering atomic.Int64
	closing    atomic.Bool

	offloaded   atomic.Uint64
	declined    atomic.Uint64
	broken      atomic.Uint64
	timedOut    atomic.Uint64
	unreachable atomic.Uint64
	kept        keptCounter

	mu sync.Mutex
	// links holds the links by address.
	links map[string]*peerLinks
}

// peerLinks are the links to one router.
type peerLinks struct {
	open []*link
	// opening is set while a further one is being opened. None is before openAfter.
	opening   bool
	openAfter time.Duration
}

// best returns the open link on which least waits to be sent, and how many bytes that is, or
// nil.
func (p *peerLinks) best() (best *link, waiting int) {
	for _, l := range p.open {
		if size := l.queue.size(); best == nil || size < waiting {
			best, waiting = l, size
		}
	}
	return best, waiting
}

// New returns an offloader without peers.
func New(config Config) *Offloader {
	return &Offloader{
		config:    config,
		peers:     NewPeers(),
		buffers:   qlbuffer.NewPool(_bufferSize),
		maxActive: int64(_maxActivePerMB * config.MemoryMB),
		links:     make(map[string]*peerLinks),
	}
}

// Peers returns the routers that may take requests.
func (o *Offloader) Peers() *Peers {
	return o.peers
}

// SetClosing makes the router offload no further requests, since it is stopping.
func (o *Offloader) SetClosing() {
	o.closing.Store(true)
}

// Active returns the number of requests that are offloaded at present.
func (o *Offloader) Active() int64 {
	return o.active.Load()
}

// Delivering returns the number of answers that wait for their callers to read them, and
// whose requests need not be active any more.
func (o *Offloader) Delivering() int64 {
	return o.delivering.Load()
}

// BeginDelivery records that an answer waits for its caller to read it. The function that
// it returns is to be called once, when the answer waits no more.
func (o *Offloader) BeginDelivery() (end func()) {
	o.delivering.Add(1)
	return func() { o.delivering.Add(-1) }
}

// Stats counts requests since the start.
type Stats struct {
	Offloaded uint64 `json:"offloaded"`
	// Declined counts those that another router declined.
	Declined uint64 `json:"declined"`
	// Broken counts those of which the outcome is unknown to this router.
	Broken uint64 `json:"broken"`
	// TimedOut counts those that ended here at their time limit.
	TimedOut uint64 `json:"timed-out"`
	// Unreachable counts failed attempts to reach a router.
	Unreachable uint64 `json:"unreachable"`
	// Kept counts those beyond the budget that were not passed on, by reason.
	Kept Kept `json:"kept"`
}

// Stats returns the counters since the start.
func (o *Offloader) Stats() Stats {
	return Stats{
		Offloaded:   o.offloaded.Load(),
		Declined:    o.declined.Load(),
		Broken:      o.broken.Load(),
		TimedOut:    o.timedOut.Load(),
		Unreachable: o.unreachable.Load(),
		Kept:        o.kept.counts(),
	}
}

// Ready reports whether requests can be offloaded at present, and why not.
func (o *Offloader) Ready() (ready bool, reason Reason) {
	switch {
	case o.closing.Load():
		return false, Closing
	case o.peers.Count() == 0:
		return false, NoPeers
	case o.config.Lag() > _maxLag:
		return false, OwnLag
	case o.active.Load() >= o.maxActive:
		return false, TooManyActive
	}
	return o.peers.Offers(o.config.Clock())
}

// Caller is the connection of an offloaded request's caller. The goroutine that reads from
// the link calls the functions, which must not block.
type Caller struct {
	// Write passes a part of the answer on.
	Write func(data []byte) error
	// Finish is called once, after the last Write.
	Finish func(outcome Outcome)
	// OverShare is called before that if the other router has refused the request since
	// its customer is above its share.
	OverShare func()
	// Deadline is until when the request is waited for; if it is zero, there is no limit.
	Deadline time.Time
}

// Start sends a whole request to another router. It returns nil if none has received it.
func (o *Offloader) Start(request []byte, stamp Stamp, caller Caller) *Exchange {
	// The request counts as active before the check for a stop, which waits for those that
	// have passed it.
	o.active.Add(1)
	exchange := o.tryStart(request, stamp, caller)
	if exchange == nil {
		o.active.Add(-1)
	}
	return exchange
}

// tryStart is Start for a request that counts as active.
func (o *Offloader) tryStart(request []byte, stamp Stamp, caller Caller) *Exchange {
	if o.closing.Load() {
		o.CountKept(Closing)
		return nil
	}
	if !caller.Deadline.IsZero() && !time.Now().Before(caller.Deadline) {
		o.CountKept(OutOfTime)
		return nil
	}
	l, reason := o.chooseLink()
	if l == nil {
		o.CountKept(reason)
		return nil
	}
	exchange := &Exchange{
		offloader: o,
		caller:    caller,
		done:      make(chan struct{}),
	}
	if o.config.Outcomes != nil {
		exchange.customer = o.config.CustomerOf(request)
	}
	if sent, reason := l.start(exchange, stamp, request); !sent {
		o.CountKept(reason)
		return nil
	}
	o.offloaded.Add(1)
	exchange.count(qloutcome.Offloaded)
	return exchange
}

// chooseLink returns an open link, or nil and why there is none. Links are opened in the
// background, so that no request waits for that.
func (o *Offloader) chooseLink() (l *link, reason Reason) {
	for range _maxTries {
		now := o.config.Clock()
		address, ok := o.peers.Choose(now, rand.Float64())
		if !ok {
			return nil, o.peers.reason(now)
		}
		if l, reason = o.linkTo(address); l != nil {
			return l, 0
		}
	}
	return nil, reason
}

// linkTo returns an open link to a router with room in its queue, or nil and why there is
// none. It opens a further one while the queues are busy.
func (o *Offloader) linkTo(address string) (l *link, reason Reason) {
	o.mu.Lock()
	defer o.mu.Unlock()
	links := o.links[address]
	if links == nil {
		links = &peerLinks{}
		o.links[address] = links
	}
	l, waiting := links.best()
	busy := waiting > _busyQueueBytes && len(links.open) < _maxLinksPerPeer && o.config.Clock() >= links.openAfter
	if !links.opening && (l == nil || busy) {
		links.opening = true
		go o.openLink(address, links)
	}
	switch {
	case l == nil:
		return nil, LinkOpening
	case waiting >= _maxRequestQueueBytes:
		return nil, LinkFull
	}
	return l, 0
}

const (
	// _maxTries bounds the routers that are tried for one request.
	_maxTries = 4
	// _maxLinksPerPeer bounds the links to one router. A further one is opened while more
	// than _busyQueueBytes wait on each.
	_maxLinksPerPeer = 4
	_busyQueueBytes  = 32 << 10
	// _maxRequestQueueBytes bounds what waits on a link that is given a further request: the
	// time to send it is lost to all of them.
	_maxRequestQueueBytes = 256 << 10
)

// openLink opens a link and serves it until it ends.
func (o *Offloader) openLink(address string, links *peerLinks) {
	l, err := o.dial(address)
	if err != nil {
		o.unreachable.Add(1)
		o.config.Log.Info("offload-unreachable", zap.String("address", address), zap.Error(err))
		o.recordUnreachable(address, links)
		return
	}
	o.mu.Lock()
	links.opening = false
	links.open = append(links.open, l)
	o.mu.Unlock()
	l.run(o.buffers)
}

// recordUnreachable records that a link to a router was not opened. The router is not asked
// for a time if it was the only one.
func (o *Offloader) recordUnreachable(address string, links *peerLinks) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock()
	links.opening, links.openAfter = false, now+_unreachablePause
	if len(links.open) == 0 {
		delete(o.links, address)
		o.peers.Unreachable(now, address)
	}
}

// setRoom records the room that a router has told on a link. One that is closed already tells
// nothing: no later word would correct it.
func (o *Offloader) setRoom(l *link, rate float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if links := o.links[l.address]; links != nil && slices.Contains(links.open, l) {
		o.peers.SetRoom(o.config.Clock(), l.address, rate)
	}
}

// removeLink removes a link that has ended.
func (o *Offloader) removeLink(ended *link) {
	o.mu.Lock()
	defer o.mu.Unlock()
	links := o.links[ended.address]
	if links == nil {
		return
	}
	links.open = slices.DeleteFunc(links.open, func(l *link) bool { return l == ended })
	o.forgetUnused(ended.address, links)
}

// forgetUnused drops what is known of a router without links. The caller holds the lock.
func (o *Offloader) forgetUnused(address string, links *peerLinks) {
	if len(links.open) == 0 {
		o.peers.forgetRoom(address)
		if !links.opening {
			delete(o.links, address)
		}
	}
}

// Prune closes the links that had no request for long.
func (o *Offloader) Prune() {
	now := o.config.Clock()
	o.closeLinks(func(l *link) bool { return l.idleFor(now) >= _linkIdleTimeout })
}

// Cut ends all requests that are offloaded, as if their links had broken, and returns how
// many there were.
func (o *Offloader) Cut() int64 {
	cut := int64(0)
	for _, l := range o.openLinks() {
		cut += l.cut()
	}
	return cut
}

// Close closes all links.
func (o *Offloader) Close() {
	o.closeLinks(func(*link) bool { return true })
}

func (o *Offloader) closeLinks(ends func(l *link) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for address, links := range o.links {
		links.open = slices.DeleteFunc(links.open, func(l *link) bool {
			if !ends(l) {
				return false
			}
			// The link's reader notices this.
			l.queue.close()
			return true
		})
		o.forgetUnused(address, links)
	}
}
