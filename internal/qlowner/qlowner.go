// Package qlowner has one router, the owner, decide on which engine each request
// of a group of engines is placed.
//
// Under heavy load on engines, a router that knows all placed requests decides
// better than many routers that each know a part of them. The owner is found by
// rendezvous hashing over the live routers, without an election. The engines of
// a large service are divided into groups, each with an owner of its own. For
// each request, a router asks the owner of the request's group by one datagram
// and, if that refuses the request, the owner of one other group. If no answer
// arrives within a few round trips, the router decides by itself: it scales up
// the load that it knows to account for the other routers, and places no more than
// was placed of its requests lately. An owner that is silent is skipped for a while;
// one that answers late, as under a flood of requests of its own, remains the owner.
// The loss of an owner loses only its view of the load, which the next owner regains
// as routers report their active requests to it.
//
// An owner that gets more questions than it can decide drops those that have waited
// too long and tells the others that it is strained. They then ask less for customers
// above their share, see OwnerStrained.
//
// While the routers' views of the live routers differ, two routers may own the
// same engines. Each of them then knows a part of the load, and engines may
// receive up to twice their intended load until the views agree.
//
// # Usage
//
//	config := qlowner.Config{Self: "r1", Zone: "z1", Address: "10.0.0.1:7400", Random: random}
//	config.Send, config.OnDecision = send, onDecision // and the other functions
//	core := qlowner.New(config)
//	core.Ask(now, request)
//	core.Receive(now, receivedAt, source, packet)
//	core.Tick(now)
//	core.Flush(now)
package qlowner

import (
	"math/rand/v2"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlquarantine"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

const (
	// _answerTimeout is how long a router waits for an owner's answer: a few
	// round trips between zones, and a small part of any latency objective.
	_answerTimeout = 50 * time.Millisecond
	// An owner that misses _missLimit answers and is silent for _silenceLimit, several
	// times what one in a flood needs, is skipped for _penaltyDuration.
	_missLimit       = 2
	_silenceLimit    = 400 * time.Millisecond
	_penaltyDuration = 1500 * time.Millisecond
	// _noteBatchDelay is how long notes, which report changes of active requests,
	// wait for others to share a datagram with.
	_noteBatchDelay = 10 * time.Millisecond
	// The _introduceInterval constants are the time between introductions: while
	// no other router is known, while new routers are being discovered, and once
	// discovery has settled.
	_introduceIntervalAlone    = 250 * time.Millisecond
	_introduceIntervalLearning = 500 * time.Millisecond
	_introduceIntervalSettled  = 5 * time.Second
	// _settledAfter is how long no router must have been discovered or changed
	// before introductions become rarer and shorter.
	_settledAfter = 3 * time.Second
	// _introduceIntervalAfterNews is the time until the next introduction after
	// routers were discovered: there may be more than one reply has room for.
	_introduceIntervalAfterNews = 100 * time.Millisecond
	// _forgetAfter is how long a dead router stays known, longer than regions lose each
	// other. One that returns later is discovered anew, through the seeds.
	_forgetAfter = time.Hour
	// _manyLosses losses, each within _lossInterval of the one before, resume
	// discovery. A single loss is left to gossip: it costs fewer bytes.
	_manyLosses   = 3
	_lossInterval = time.Second
	// _maxIntroducedToNew limits the routers listed in a reply to a router that is
	// discovering others, _maxIntroducedToKnown those in any other introduction.
	_maxIntroducedToNew   = 100
	_maxIntroducedToKnown = 5
	// With _probeInterval and _suspicionTimeout, a fleet of ten routers detects
	// the loss of a router within about two seconds.
	_probeInterval    = 300 * time.Millisecond
	_probeTimeout     = 100 * time.Millisecond
	_suspicionTimeout = time.Second
	// _groupKeyPrefix is the rendezvous hashing key for the owner of all engines.
	// If there are several groups, the group's number and the number of groups
	// are appended.
	_groupKeyPrefix = "engines"
	// _reconcileInterval is the time between searches for requests whose end was
	// never reported, and between sendings of the list of active requests. A
	// request that is missing from that list counts as ended once it is older
	// than _lostRequestMinAge.
	_lostRequestMinAge = 300 * time.Millisecond
	_reconcileInterval = time.Second
	// _unansweredRounds is how many reconciliations include a router after a question that
	// it did not answer: the first may come before _lostRequestMinAge.
	_unansweredRounds = 2
	// _lagFactor is by how many times its own scheduling lag a router extends its
	// wait for an answer: the question and the answer are each delayed by the lag.
	_lagFactor = 2
	// _laggingThreshold is the scheduling lag above which the times at which this
	// router sees events say nothing about engines: a tenth of the strictest
	// latency objective that users require. The router counts as lagging for
	// _laggingHold longer, because events that were delayed meanwhile are still
	// to be reported.
	_laggingThreshold = 30 * time.Millisecond
	_laggingHold      = time.Second
	// _assumedPeerLoad is the load that a router without an owner's answer assumes
	// for each other router, as a multiple of its own load.
	_assumedPeerLoad = 1.0
)

// Config configures a Core. All functions have to be set: they are called without
// a check for nil.
type Config struct {
	Self        string
	Zone        string
	Address     string
	Incarnation uint64
	// Capacity is the processor capacity of this VM in thousandths of a core. The
	// routers on the largest VMs become owners.
	Capacity uint32
	Random   *rand.Rand
	// Seeds are addresses of routers through which the others are discovered.
	Seeds []string
	// Send sends a packet to an address. Packets may be lost.
	Send func(address string, packet *qlfleetwire.Packet)
	// OnDecision is called with the decision on a request of this router.
	OnDecision func(request uint64, decision qlplace.Decision)
	// Revisions returns the revision of the configuration in force and the position of the
	// last change to the list of upstreams.
	Revisions func() (configuration uint64, list qlposition.Position)
	// OnNewerDocuments is called when the router at the address has newer
	// documents than this one.
	OnNewerDocuments func(address string)
	// OnUpdate is called with updates from a watcher of the platform's store.
	OnUpdate func(now time.Duration, address string, update *qlfleetwire.Update)
	// OnLiveChange is called with the live routers when they change, and first by
	// New.
	OnLiveChange func(live []qlring.Node)
	// OnOwnerChange is called when this router starts asking another owner for a
	// group. The old owner is empty at the first choice.
	OnOwnerChange func(from, to string)
	// OnMessageError is called for each message to or from a router that cannot be
	// encoded or decoded.
	OnMessageError func(router string, err error)
	// Quarantine configures the table of engines' crashes and quarantines.
	Quarantine qlquarantine.Config
	// Answers holds the segments of prompts of which this router has seen answers go
	// on. If it is nil, no quarantine is doubted.
	Answers *qlquarantine.Answers
	// OnInformed is called once this router knows which crashes the others know, or
	// has waited for that in vain. Without seeds, New calls it.
	OnInformed func()
	// DecideLocally makes this router decide all requests by itself.
	DecideLocally bool
	// Policy selects the placement policy.
	Policy qlplace.Policy
	// WeighPrefixes is passed on to qlplace.
	WeighPrefixes bool
}

// question is a request whose owner was asked and has not answered yet.
type question struct {
	request  *qlplace.Request
	owner    string
	askedAt  time.Duration
	deadline time.Duration
	// secondGroup is set if another group has already refused the request.
	secondGroup bool
}

// activeRequest is a request of this router from its placement to its end.
type activeRequest struct {
	engine string
	// groupKey identifies the group of engines that the request was placed in.
	groupKey string
	// pendingTokens is the number of tokens not yet prefilled, 0 after the first
	// event. reservedTokens is the number of unshared prompt tokens plus the maximum
	// number of output tokens.
	pendingTokens  int
	reservedTokens int
	objective      time.Duration
	// notified are the routers that know of the request and include it in the
	// load.
	notified []string
}

// sendQueue collects messages to one router for its next datagram.
type sendQueue struct {
	packet    *qlfleetwire.Packet
	urgent    bool
	createdAt time.Duration
}

// penalty records the answers that an owner missed since it sent the last one, and until
// when it is skipped for them; 0 if it is not.
type penalty struct {
	misses int
	// silentSince is when the first of these questions was asked, but not before
	// strainedAt, when the owner last said that it is strained.
	silentSince time.Duration
	strainedAt  time.Duration
	until       time.Duration
}

// Core decides requests, or has their owners decide them, and keeps the view of
// the other routers. It performs no I/O and is not safe for concurrent use.
type Core struct {
	config       Config
	placer       *qlplace.Placer
	quarantine   *qlquarantine.Table
	evidence     evidenceState
	members      *qlmember.Members
	routers      map[string]*qlfleetwire.Router
	listRevision uint64
	// live are the live routers, this one included unless it is leaving. ranks caches
	// their order by group key.
	live  []qlring.Node
	ranks map[string][]qlring.Node
	// owners are the routers that this one asked last, by group key.
	owners         map[string]string
	questions      map[uint64]question
	activeRequests map[uint64]*activeRequest
	sendQueues     map[string]*sendQueue
	penalties      map[string]penalty
	// knownBy holds the incarnations of the routers that are known to know this one,
	// since they have sent it membership messages.
	knownBy map[string]uint64
	// trackingRouters are the routers that had active requests of this one at the
	// last reconciliation.
	trackingRouters []string
	// unansweredBy holds, for routers that did not answer a question in time, to how many
	// more of the next reconciliations they belong: they may have placed the request.
	unansweredBy map[string]int
	leaving      bool
	// lastLossAt is when a live router was lost last, recentLosses how many were lost
	// without a pause of _lossInterval.
	lastLossAt   time.Duration
	recentLosses int
	introduceAt  time.Duration
	learnedAt    time.Duration
	reconcileAt  time.Duration
	now          time.Duration
	lag          time.Duration
	laggingUntil time.Duration
	strain       strainState
	alone        aloneLimit
	stats        Stats
}

// Stats counts decisions by the router that made them.
type Stats struct {
	AskedOwner uint64 `json:"asked-owner"`
	// AskedSecondOwner counts requests that were refused by one group and passed
	// on to a second one.
	AskedSecondOwner uint64 `json:"asked-second-owner"`
	AnsweredByOwner  uint64 `json:"answered-by-owner"`
	DecidedAlone     uint64 `json:"decided-alone"`
	DecidedForOthers uint64 `json:"decided-for-others"`
	AnswersMissed    uint64 `json:"answers-missed"`
	// AnswersLate counts answers that came after this router had decided by itself, or
	// whose caller had left.
	AnswersLate uint64 `json:"answers-late"`
	// PlacedAlone counts the requests that this router placed although another one owns
	// the engines.
	PlacedAlone uint64 `json:"placed-alone"`
	// RefusedAlone counts those that it refused then, since it may not place more.
	RefusedAlone uint64 `json:"refused-alone"`
	// QuestionsDropped counts questions of other routers that had waited here for so long
	// that no answer would have reached them in time.
	QuestionsDropped uint64 `json:"questions-dropped"`
	Packets          uint64 `json:"packets"`
}

// New returns a core that does not know any other router yet.
func New(config Config) *Core {
	c := &Core{
		config: config,
		placer: qlplace.New(qlplace.Config{
			Random:        config.Random,
			Policy:        config.Policy,
			WeighPrefixes: config.WeighPrefixes,
		}),
		evidence: evidenceState{
			exchangedAt: make(map[string]time.Duration),
		},
		routers:        make(map[string]*qlfleetwire.Router),
		ranks:          make(map[string][]qlring.Node),
		owners:         make(map[string]string),
		questions:      make(map[uint64]question),
		activeRequests: make(map[uint64]*activeRequest),
		sendQueues:     make(map[string]*sendQueue),
		penalties:      make(map[string]penalty),
		knownBy:        make(map[string]uint64),
		unansweredBy:   make(map[string]int),
		strain:         newStrainState(),
		alone:          newAloneLimit(),
	}
	c.quarantine = qlquarantine.New(c.quarantineConfig())
	c.members = qlmember.New(qlmember.Config{
		Self:             config.Self,
		Zone:             config.Zone,
		Incarnation:      config.Incarnation,
		ProbeInterval:    _probeInterval,
		ProbeTimeout:     _probeTimeout,
		SuspicionTimeout: _suspicionTimeout,
		Random:           config.Random,
		Send:             c.sendMembership,
		Digest:           c.digest,
		OnDigest:         c.receiveDigest,
		OnLiveChange:     c.updateLive,
		OnMemberGone:     func(id string) { c.placer.DropRouter(c.now, id) },
	})
	c.updateLive()
	if len(config.Seeds) == 0 {
		// There is nobody to ask.
		c.setInformed()
	}
	return c
}

// Placer returns the placer. The caller must keep its set of engines up to date.
func (c *Core) Placer() *qlplace.Placer {
	return c.placer
}

// Stats returns the counters since the start.
func (c *Core) Stats() Stats {
	return c.stats
}

// Members returns the view of the other routers, for state dumps.
func (c *Core) Members() []qlmember.MemberState {
	return c.members.State()
}

// Neighbor is a live router of this one's zone.
type Neighbor struct {
	// Address is where it receives packets.
	Address string
	// Capacity is the processor capacity of its VM in thousandths of a core.
	Capacity uint32
}

// Neighbors returns the live routers of this one's zone, without this one.
func (c *Core) Neighbors() []Neighbor {
	var neighbors []Neighbor
	for _, node := range c.live {
		router := c.routers[node.ID()]
		if node.ID() == c.config.Self || node.Zone() != c.config.Zone || router == nil {
			continue
		}
		neighbors = append(neighbors, Neighbor{
			Address:  router.GetAddress(),
			Capacity: router.GetCapacity(),
		})
	}
	return neighbors
}

// LiveCount returns the number of live routers, this one included unless it is
// leaving and others are live.
func (c *Core) LiveCount() int {
	return len(c.live)
}

// Owners returns the router that decides for this one, by group key. The caller
// must not change the map.
func (c *Core) Owners() map[string]string {
	return c.owners
}

func (c *Core) updateLive() {
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
		// The first one is this router.
		live = live[1:]
	}
	switch {
	case len(live) > len(c.live):
		// Others may have started, or returned, together with the new one.
		c.resumeDiscovery(c.now)
	case len(live) < len(c.live):
		c.countLoss(c.now)
	}
	c.live = live
	clear(c.ranks)
	c.config.OnLiveChange(live)
}

// countLoss resumes discovery when several routers are lost in a short time: gossip then
// carries more updates than it spreads for certain, and introductions show what a router
// has missed.
func (c *Core) countLoss(now time.Duration) {
	if now-c.lastLossAt > _lossInterval {
		c.recentLosses = 0
	}
	c.lastLossAt = now
	if c.recentLosses++; c.recentLosses >= _manyLosses {
		c.resumeDiscovery(now)
	}
}

func (c *Core) digest() *qlwire.Digest {
	configuration, list := c.config.Revisions()
	return &qlwire.Digest{
		ConfigurationRevision: configuration,
		ListRevision:          list.Revision,
		ListEra:               list.Era,
		Leaving:               c.leaving,
	}
}

func (c *Core) receiveDigest(from string, digest *qlwire.Digest) {
	configuration, list := c.config.Revisions()
	theirs := qlposition.Position{
		Era:      digest.GetListEra(),
		Revision: digest.GetListRevision(),
	}
	if digest.GetConfigurationRevision() > configuration || theirs.After(list) {
		c.config.OnNewerDocuments(c.members.Address(from))
	}
}

// Leave announces to all routers that this one is stopping, so that they choose
// another owner.
func (c *Core) Leave() {
	c.leaving = true
	c.updateLive()
	c.members.PushDigestToAll()
}

// Tick performs the periodic work: probes, introductions and reconciliation of
// active requests. It has to be called every few tens of milliseconds.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.IsLagging() {
		c.placer.MarkAllLagging(now)
	}
	c.placer.AssumeFirstEvents(now)
	c.placer.SetFleet(c.Fleet())
	c.noticeAllDropped(now)
	c.members.Tick(now)
	c.introduce(now)
	c.expireInformed(now)
	c.doubtQuarantines(now)
	if now >= c.reconcileAt {
		c.reconcileAt = now + _reconcileInterval
		c.placer.Tick(now)
		c.alone.expire(now, c.minAloneRate())
		c.quarantine.Tick(now, c.ownsTrials)
		c.forgetDeadRouters(now)
		c.sendRunning(now)
	}
}

// SetSeeds replaces the addresses through which routers are discovered.
func (c *Core) SetSeeds(seeds []string) {
	c.config.Seeds = seeds
}

// SendUpdate sends an update to a router, if that is known. The datagram may be
// lost.
func (c *Core) SendUpdate(to string, update *qlfleetwire.Update) {
	router := c.routers[to]
	if router == nil {
		return
	}
	packet := c.newPacket()
	packet.Update = update
	c.send(router.GetAddress(), packet)
}
