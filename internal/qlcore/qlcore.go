package qlcore

import (
	"math/rand/v2"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlclaim"
	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlusage"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
)

// Core is the decision logic of one router. It is not safe for concurrent use.
type Core struct {
	config     Config
	random     *rand.Rand
	now        time.Duration
	members    *qlmember.Members
	dispatcher *qldispatch.Dispatcher
	home       *qlusage.Home
	entry      *qlentry.Entry
	acceptor   *qlclaim.Acceptor
	proposer   *qlclaim.Proposer

	configuration *qlconfig.Configuration
	vmList        VMList
	leavingVMs    map[string]bool
	liveRing      *qlring.Ring
	// poolRings holds each pool's dispatchers.
	poolRings map[string]*qlring.Ring
	// poolLevels holds, for each pool, the last known state of each dispatcher.
	poolLevels map[string]map[string]dispatcherLevel
	// requestingRouters holds, for each pool, the other routers that request
	// slots from this one and receive its offers.
	requestingRouters map[string][]string
	viewChanged       bool
	leaving           bool
	watcher           bool
	closed            bool

	requests map[uint64]*requestState
	// epochs holds the highest epoch received from each router.
	epochs map[string]uint64
	// revisions holds the configuration revision last received from each router
	// since this process started.
	revisions map[string]uint64
	ready     bool

	// grants and messages to this router itself wait here for processPending.
	grants   []qldispatch.Grant
	messages []*qlwire.Message

	reportSequence uint64
	// lastAnsweredReport holds the sequence number of the last report that each
	// usage home answered.
	lastAnsweredReport map[string]uint64
	// reportSentAt holds the send time of each unanswered report, by its
	// sequence number.
	reportSentAt    map[uint64]time.Duration
	nextReportAt    time.Duration
	nextOfferAt     time.Duration
	nextIdleOfferAt time.Duration
	// idleSlotsOffered reports for each pool whether its slots here were idle
	// at the last check. Idle slots are offered early only when they become
	// idle.
	idleSlotsOffered map[string]bool
	nextCatchUpAt    time.Duration
	catchUpInterval  time.Duration
	nextSlowTickAt   time.Duration

	slotSeconds    map[string]*SlotSeconds
	slotsCountedAt time.Duration
}

// New returns a Core without a VM list or configuration, which knows no other
// router.
func New(config Config) *Core {
	if config.ClaimWindow == 0 {
		config.ClaimWindow = DefaultClaimWindow
	}
	if config.ReportPeriod == 0 {
		config.ReportPeriod = DefaultReportPeriod
	}
	if config.Monitor == nil {
		config.Monitor = &qlinvariant.Monitor{}
	}
	c := &Core{
		config:             config,
		random:             config.Random,
		leavingVMs:         make(map[string]bool),
		poolRings:          make(map[string]*qlring.Ring),
		poolLevels:         make(map[string]map[string]dispatcherLevel),
		requestingRouters:  make(map[string][]string),
		requests:           make(map[uint64]*requestState),
		epochs:             make(map[string]uint64),
		revisions:          make(map[string]uint64),
		lastAnsweredReport: make(map[string]uint64),
		reportSentAt:       make(map[uint64]time.Duration),
		idleSlotsOffered:   make(map[string]bool),
		slotSeconds:        make(map[string]*SlotSeconds),
	}
	c.liveRing = qlring.New([]qlring.Node{qlring.NewNode(config.Self, config.Zone)})
	c.buildRoles()
	return c
}

func (c *Core) buildRoles() {
	c.members = qlmember.New(qlmember.Config{
		Self:         c.config.Self,
		Zone:         c.config.Zone,
		Incarnation:  c.config.Epoch,
		Random:       c.random,
		Send:         c.send,
		Digest:       c.digest,
		OnDigest:     c.applyDigest,
		OnLiveChange: func() { c.viewChanged = true },
		OnMemberGone: c.removeRouter,
	})
	c.dispatcher = qldispatch.New(qldispatch.Config{
		Self:              c.config.Self,
		Limits:            c.limits,
		Rank:              c.rank,
		OnGrant:           c.routeGrant,
		RequestFullDemand: c.requestFullDemand,
		Monitor:           c.config.Monitor,
	})
	c.home = qlusage.New(qlusage.Config{
		Limits:            c.limits,
		LargestCost:       c.largestCost,
		UnleasedAllowance: c.unleasedAllowance,
		Leasable:          c.leasable,
		Monitor:           c.config.Monitor,
	})
	c.entry = qlentry.New(qlentry.Config{
		Self:        c.config.Self,
		Zone:        c.config.Zone,
		Start:       c.start,
		Refuse:      c.refuseWaiting,
		Send:        c.send,
		LocalDemand: c.localDemand,
		LocalDone:   c.localDone,
		Monitor:     c.config.Monitor,
	})
	c.acceptor = qlclaim.NewAcceptor(qlclaim.AcceptorConfig{
		Self:      c.config.Self,
		Window:    c.config.ClaimWindow,
		Connected: c.majorityConnected,
	})
	c.proposer = qlclaim.NewProposer(qlclaim.ProposerConfig{
		Self:      c.config.Self,
		Window:    c.config.ClaimWindow,
		Epoch:     c.config.Epoch,
		Acceptors: c.acceptorsOf,
		Send:      c.send,
		Decided:   c.claimDecided,
	})
}

// send sends a message. A message to this router itself is queued and handled
// by processPending in the same step.
func (c *Core) send(to string, message *qlwire.Message) {
	if to == c.config.Self {
		c.messages = append(c.messages, message)
		return
	}
	c.config.Send(to, message)
}

// processPending handles the membership changes, local grants and local
// messages that a step has produced, including those that result from handling
// them.
func (c *Core) processPending() {
	for {
		if c.viewChanged {
			c.viewChanged = false
			c.applyView()
		}
		switch {
		case len(c.grants) > 0:
			grant := c.grants[0]
			c.grants = c.grants[1:]
			c.entry.Grant(c.now, c.config.Self, c.config.Epoch, grant)
		case len(c.messages) > 0:
			message := c.messages[0]
			c.messages = c.messages[1:]
			c.handle(c.config.Self, c.config.Epoch, message)
		default:
			c.grants = c.grants[:0]
			return
		}
	}
}

// advance records a clock reading; the recorded time never goes back. A large
// gap since the last reading means that this process was paused and that its
// view of the other routers is out of date. The usage home then handles it like
// a change of the live routers.
func (c *Core) advance(now time.Duration) {
	if now-c.now > _pauseThreshold {
		c.home.RecordViewChange(now)
	}
	c.now = max(c.now, now)
}

// Receive handles a message from another router. The epoch identifies the start
// of the sender's process; messages from an earlier start are dropped.
func (c *Core) Receive(now time.Duration, from string, epoch uint64, message *qlwire.Message) {
	c.advance(now)
	if known := c.epochs[from]; epoch < known {
		return
	} else if epoch > known {
		c.epochs[from] = epoch
		// The sender has restarted, so its usage home is empty.
		delete(c.lastAnsweredReport, from)
		c.dispatcher.StartEpoch(c.now, from, epoch)
		c.members.MarkStarted(c.now, from, epoch, false)
	}
	c.members.MarkHeard(c.now, from)
	c.handle(from, epoch, message)
	c.processPending()
}

func (c *Core) handle(from string, epoch uint64, message *qlwire.Message) {
	switch body := message.GetBody().(type) {
	case *qlwire.Message_Probe:
		c.members.ReceiveProbe(c.now, from, body.Probe)
	case *qlwire.Message_ProbeAck:
		c.members.ReceiveAck(c.now, from, body.ProbeAck)
	case *qlwire.Message_IndirectProbe:
		c.members.ReceiveIndirectProbe(from, body.IndirectProbe)
	case *qlwire.Message_Demand:
		c.dispatcher.ApplyDemand(c.now, from, body.Demand)
	case *qlwire.Message_DemandRequest:
		c.entry.SendFullDemand(c.now, from)
	case *qlwire.Message_Grant:
		c.entry.Grant(c.now, from, epoch, decodeGrant(c.config.Self, body.Grant))
	case *qlwire.Message_Done:
		c.dispatcher.Done(c.now, from, body.Done.GetGrant(), float64(body.Done.GetCost()), qldispatch.Outcome(body.Done.GetOutcome()))
	case *qlwire.Message_Offer:
		c.applyLevels(from, body.Offer.GetLevels())
	case *qlwire.Message_UsageReport:
		c.answerReport(from, epoch, body.UsageReport)
	case *qlwire.Message_UsageReply:
		c.applyTotals(from, body.UsageReply)
	case *qlwire.Message_ClaimRequest:
		c.answerClaim(from, body.ClaimRequest)
	case *qlwire.Message_ClaimReply:
		c.proposer.ReceiveReply(c.now, from, body.ClaimReply)
	case *qlwire.Message_ClaimRelease:
		c.acceptor.Release(c.now, from, body.ClaimRelease)
	case *qlwire.Message_ClaimSync:
		c.answerSync(from)
	case *qlwire.Message_ClaimCopy:
		c.acceptor.ApplyCopy(c.now, from, body.ClaimCopy)
	}
}

func decodeGrant(self string, grant *qlwire.Grant) qldispatch.Grant {
	return qldispatch.NewGrant(qldispatch.GrantConfig{
		Entry:     self,
		Number:    grant.GetGrant(),
		Customer:  grant.GetCustomer(),
		Pool:      grant.GetPool(),
		Upstream:  grant.GetUpstream(),
		Echo:      qlwire.ToClock(grant.GetEcho()),
		DemandAge: qlwire.ToClock(grant.GetHeld()),
	})
}

// routeGrant passes a grant of this router's dispatcher to the entry that may
// use it.
func (c *Core) routeGrant(grant qldispatch.Grant) {
	if grant.Entry() == c.config.Self {
		c.grants = append(c.grants, grant)
		return
	}
	c.config.Send(grant.Entry(), &qlwire.Message{
		Body: &qlwire.Message_Grant{
			Grant: &qlwire.Grant{
				Grant:    grant.Number(),
				Customer: grant.Customer(),
				Pool:     grant.Pool(),
				Upstream: grant.Upstream(),
				Echo:     qlwire.FromClock(grant.Echo()),
				Held:     qlwire.FromClock(grant.DemandAge()),
			},
		},
	})
}

// requestFullDemand requests an entry's complete demand.
func (c *Core) requestFullDemand(entry string) {
	c.send(entry, &qlwire.Message{
		Body: &qlwire.Message_DemandRequest{
			DemandRequest: &qlwire.DemandRequest{},
		},
	})
}

// localDemand passes a demand of this router's entry to its own dispatcher and
// returns how many of the requests still wait. seen is the highest number of a
// grant that the entry has handled.
func (c *Core) localDemand(customer, pool string, waiting int, estimate float64, seen uint64) int {
	return c.dispatcher.SetLocalDemand(c.now, customer, pool, waiting, estimate, seen)
}

func (c *Core) localDone(number uint64, cost float64, outcome qldispatch.Outcome) {
	c.dispatcher.Done(c.now, c.config.Self, number, cost, outcome)
}

// ApplyLoad applies an upstream's load report: the number of its running
// requests.
func (c *Core) ApplyLoad(now time.Duration, upstream string, running int) {
	c.advance(now)
	c.dispatcher.ApplyLoad(c.now, upstream, running)
	c.processPending()
}

// ApplyLoadFailure records that an upstream did not answer a load poll.
func (c *Core) ApplyLoadFailure(now time.Duration, upstream string) {
	c.advance(now)
	c.dispatcher.ApplyLoadFailure(c.now, upstream)
	c.processPending()
}

// OwnedUpstreams returns the ids of the upstreams that this router dispatches
// and whose load it polls, sorted.
func (c *Core) OwnedUpstreams() []string {
	return c.dispatcher.OwnedUpstreams()
}

// Leave begins a planned stop: the other routers are notified and take over the
// upstreams and usage of this one. New requests are accepted until Close.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	if c.leaving {
		return
	}
	c.leaving = true
	c.viewChanged = true
	c.members.PushDigestToAll()
	c.processPending()
}

// Close makes the Core refuse new requests. Waiting and active requests
// continue.
func (c *Core) Close(now time.Duration) {
	c.advance(now)
	c.closed = true
}

// Unfinished returns the number of this router's requests that have not ended.
func (c *Core) Unfinished() int {
	return len(c.requests)
}

// RemoteGrantCount returns the number of this router's grants that other
// routers are using for their requests.
func (c *Core) RemoteGrantCount() int {
	return c.dispatcher.RemoteGrantCount()
}

// Abandon ends a request whose goroutine stopped handling it: a waiting request
// is removed from its queue, and a started one is finished. Its claim is
// released only if notSent is true, that is, if the request was certainly not
// sent.
func (c *Core) Abandon(now time.Duration, id uint64, notSent bool) {
	c.advance(now)
	if c.requests[id] == nil {
		return
	}
	outcome := qldispatch.Abandoned
	if notSent {
		outcome = qldispatch.Declined
	}
	c.entry.Cancel(c.now, id)
	c.Finish(now, id, 0, outcome)
}
