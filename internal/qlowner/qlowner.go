// Package qlowner has each request for an engine decided by one router.
//
// It answers heavy load on engines: a router that knows all that was placed
// decides better than many that each know a part. The owner of the engines is
// found by rendezvous hashing over the live routers; nobody is elected. The
// engines of a large service are divided into groups, each with an owner of
// its own. A request asks the owner of its group by one datagram, and that of
// one other group when it is refused there. When no answer comes within a few
// round trips the router decides by itself, scaling up what it knows; an owner
// that misses twice is passed over for a while. Losing an owner loses only
// knowledge: routers tell the next one what they have running.
//
// Two routers may own the engines at once while views differ. Each then knows
// a part of the load, and engines may get up to twice what is meant for them,
// for as long as the views differ.
//
// # Usage
//
//	core := qlowner.New(qlowner.Config{Self: "r1", Zone: "z1", Address: "10.0.0.1:7400", Send: send, Decide: decide, Random: random})
//	core.Ask(now, request)
//	core.Receive(now, source, packet)
//	core.Tick(now)
//	core.Flush(now)
package qlowner

import (
	"math/rand/v2"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

const (
	// _answerWait is how long an owner's answer is waited for: a few round
	// trips between zones, and a small part of any objective.
	_answerWait = 50 * time.Millisecond
	// _missLimit and _missPause: an owner that did not answer so many times in
	// a row is passed over for so long.
	_missLimit = 2
	_missPause = 1500 * time.Millisecond
	// _noteDelay lets notes share a datagram.
	_noteDelay = 10 * time.Millisecond
	// _introduceFirst, _introduceSoon and _introduceLater are the time between
	// introductions: before another router is known, while more are learned of,
	// and after.
	_introduceFirst = 250 * time.Millisecond
	_introduceSoon  = 500 * time.Millisecond
	_introduceLater = 5 * time.Second
	// _settledAfter is how long no router must have been learned of for
	// introductions to become rare and short.
	_settledAfter = 3 * time.Second
	// _introduced bounds the routers of an introduction to one that is new,
	// _introducedAgain those to one that is known.
	_introduced      = 40
	_introducedAgain = 5
	// _probeInterval and _suspicion find a router that is gone within about
	// two seconds in a fleet of ten.
	_probeInterval = 300 * time.Millisecond
	_probeTimeout  = 100 * time.Millisecond
	_suspicion     = time.Second
	// _ownerKey names the engines in the routers' rendezvous order; a group's
	// number and that of all groups follow when there are several.
	_ownerKey = "engines"
	// _expireInterval is the time between searches for lost runs, and between
	// tellings of those that go on. _runSlack is how old a run must be to be
	// taken for lost.
	_runSlack       = 300 * time.Millisecond
	_expireInterval = time.Second
	// _lagFactor is how many times its own lag a router waits longer for an
	// answer: the way out and the way in are late by as much.
	_lagFactor = 2
	// _lateLag is the lag from which on this router's times say nothing about
	// engines: a tenth of the strictest objective on the users' sheets. _lateFor
	// is how long that holds on: what waited meanwhile is still to be told.
	_lateLag = 30 * time.Millisecond
	_lateFor = time.Second
	// _fallbackLoad is how much of the others' load a router that decides by
	// itself assumes, in parts of its own for each other router.
	_fallbackLoad = 1.0
)

// Config configures a Core.
type Config struct {
	Self        string
	Zone        string
	Address     string
	Incarnation uint64
	// Capacity is this VM's, in thousandths of a core: the largest decide.
	Capacity uint32
	Random   *rand.Rand
	// Seeds are addresses of routers to begin with.
	Seeds []string
	// Send sends a packet to an address; it may be lost.
	Send func(address string, packet *qlfleetwire.Packet)
	// Decide takes the decision on a request.
	OnDecision func(request uint64, verdict qlplace.Decision)
	// Revisions returns those of the documents in force.
	Revisions func() (configuration, list uint64)
	// Behind is called when a router has newer documents.
	OnNewerDocuments func(address string, configuration, list uint64)
	// Update is called with what a reader of the platform's store tells.
	OnUpdate func(now time.Duration, address string, update *qlfleetwire.Update)
	// Changed is called with the live routers when they changed.
	OnLiveChange func(live []qlring.Node)
	// OwnerChanged is called when this router turns to another owner.
	OnOwnerChange func(from, to string)
	// Faulty is told of messages to and from a router that cannot be encoded
	// or decoded.
	OnMessageError func(router string, err error)
	// Local makes this router decide all requests by itself.
	DecideLocally bool
	// Policy is how it decides.
	Policy qlplace.Policy
}

type question struct {
	request *qlplace.Request
	owner   string
	until   time.Duration
	// second is set when another group refused the request before.
	second bool
}

// own is a run of this router's.
type own struct {
	engine string
	// key names the group that decided.
	key    string
	unread int
	memory int
	goal   time.Duration
	// told are the routers that count the run.
	told []string
}

type outbox struct {
	packet *qlfleetwire.Packet
	urgent bool
	since  time.Duration
}

type distrust struct {
	misses int
	until  time.Duration
}

// Core is the decision code. It is not safe for several goroutines.
type Core struct {
	config       Config
	placer       *qlplace.Placer
	members      *qlmember.Members
	routers      map[string]*qlfleetwire.Router
	listRevision uint64
	// live are the routers that answer, this one included, and ranks their
	// order for each group of engines that was asked for.
	live  []qlring.Node
	ranks map[string][]qlring.Node
	// owners are those that this router turned to last, for each group.
	owners     map[string]string
	questions  map[uint64]question
	runs       map[uint64]*own
	outboxes   map[string]*outbox
	distrusted map[string]distrust
	// counting are the routers that counted runs of this one lately.
	counting    []string
	leaving     bool
	introduceAt time.Duration
	learnedAt   time.Duration
	expireAt    time.Duration
	now         time.Duration
	lag         time.Duration
	lateUntil   time.Duration
	stats       Stats
}

// Stats counts what was decided where.
type Stats struct {
	AskedOwner uint64 `json:"asked-owner"`
	// AskedAgain counts requests that asked a second group.
	AskedSecondOwner uint64 `json:"asked-second-owner"`
	AnsweredByOwner  uint64 `json:"answered-by-owner"`
	DecidedAlone     uint64 `json:"decided-alone"`
	DecidedForOthers uint64 `json:"decided-for-others"`
	AnswersMissed    uint64 `json:"answers-missed"`
	Packets          uint64 `json:"packets"`
}

// New returns a core that knows no other router.
func New(config Config) *Core {
	c := &Core{
		config: config,
		placer: qlplace.New(qlplace.Config{
			Random: config.Random,
			Policy: config.Policy,
		}),
		routers:    make(map[string]*qlfleetwire.Router),
		ranks:      make(map[string][]qlring.Node),
		owners:     make(map[string]string),
		questions:  make(map[uint64]question),
		runs:       make(map[uint64]*own),
		outboxes:   make(map[string]*outbox),
		distrusted: make(map[string]distrust),
	}
	c.members = qlmember.New(qlmember.Config{
		Self:          config.Self,
		Zone:          config.Zone,
		Incarnation:   config.Incarnation,
		ProbeInterval: _probeInterval,
		ProbeTimeout:  _probeTimeout,
		Suspicion:     _suspicion,
		Random:        config.Random,
		Send:          c.sendMembership,
		Digest:        c.digest,
		Heard:         c.heard,
		Changed:       c.rank,
		Died:          func(id string) { c.placer.DropRouter(c.now, id) },
	})
	c.rank()
	return c
}

// Placer returns the placer, which has to be told of engines.
func (c *Core) Placer() *qlplace.Placer {
	return c.placer
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	return c.stats
}

// Members returns the view of the other routers, for dumps.
func (c *Core) Members() []qlmember.MemberState {
	return c.members.State()
}

// LiveCount returns how many routers answer, this one included.
func (c *Core) LiveCount() int {
	return len(c.live)
}

// Owners returns the routers that decide for this one, by group.
func (c *Core) Owners() map[string]string {
	return c.owners
}

func (c *Core) rank() {
	if c.members == nil {
		return
	}
	live := c.members.Live()
	for i, node := range live {
		capacity := c.config.Capacity
		if node.ID() != c.config.Self {
			capacity = c.routers[node.ID()].GetCapacity()
		}
		live[i] = node.WithSize(capacity)
	}
	if c.leaving && len(live) > 1 {
		live = live[1:]
	}
	c.live = live
	clear(c.ranks)
	c.config.OnLiveChange(live)
}

func (c *Core) digest() *qlwire.Digest {
	configuration, list := c.config.Revisions()
	return &qlwire.Digest{
		ConfigurationRevision: configuration,
		ListRevision:          list,
		Leaving:               c.leaving,
	}
}

func (c *Core) heard(from string, digest *qlwire.Digest) {
	configuration, list := c.config.Revisions()
	if digest.GetConfigurationRevision() > configuration || digest.GetListRevision() > list {
		c.config.OnNewerDocuments(c.members.Address(from), digest.GetConfigurationRevision(), digest.GetListRevision())
	}
}

// Leave tells all routers that this one stops, so that they ask another.
func (c *Core) Leave() {
	c.leaving = true
	c.rank()
	c.members.Announce()
}

// Tick does what time demands.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.IsLagging() {
		c.placer.MarkAllLagging(now)
	}
	c.placer.AssumeFirstEvents(now)
	c.members.Tick(now)
	c.introduce(now)
	if now >= c.expireAt {
		c.expireAt = now + _expireInterval
		c.placer.Tick(now)
		c.sendRunning(now)
	}
}

// SetSeeds takes other addresses to begin with.
func (c *Core) SetSeeds(seeds []string) {
	c.config.Seeds = seeds
}

// SendUpdate sends an update to a router. Datagrams may be lost.
func (c *Core) SendUpdate(to string, update *qlfleetwire.Update) {
	router := c.routers[to]
	if router == nil {
		return
	}
	packet := c.newPacket()
	packet.Update = update
	c.send(router.GetAddress(), packet)
}
