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

// Core is one router's decisions. It is not safe for several goroutines.
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
	list          VMList
	leavingVMs    map[string]bool
	live          *qlring.Ring
	poolRings     map[string]*qlring.Ring
	poolLevels    map[string]map[string]heardLevel
	// followers holds, for each pool, the routers that ask this one.
	followers   map[string][]string
	viewChanged bool
	leaving     bool
	watches     bool
	closed      bool

	requests map[uint64]*requestState
	epochs   map[string]uint64
	// revisions holds the configuration revision heard from each listed
	// router since this process started.
	revisions map[string]uint64
	ready     bool

	grants   []qldispatch.Grant
	messages []*qlwire.Message

	reportSequence uint64
	// answered holds the last report that each home answered.
	answered map[string]uint64
	// asked holds when the reports were sent that are not answered yet.
	asked       map[uint64]time.Duration
	reportAt    time.Duration
	offerAt     time.Duration
	offerSoonAt time.Duration
	idleOffered map[string]bool
	copyAt      time.Duration
	copyPause   time.Duration
	slowAt      time.Duration

	slotSeconds    map[string]*SlotSeconds
	slotsCountedAt time.Duration
}

// New returns a core that knows no other router and no configuration.
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
		config:      config,
		random:      config.Random,
		leavingVMs:  make(map[string]bool),
		poolRings:   make(map[string]*qlring.Ring),
		poolLevels:  make(map[string]map[string]heardLevel),
		followers:   make(map[string][]string),
		requests:    make(map[uint64]*requestState),
		epochs:      make(map[string]uint64),
		revisions:   make(map[string]uint64),
		answered:    make(map[string]uint64),
		asked:       make(map[uint64]time.Duration),
		idleOffered: make(map[string]bool),
		slotSeconds: make(map[string]*SlotSeconds),
	}
	c.live = qlring.New([]qlring.Node{qlring.NewNode(config.Self, config.Zone)})
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
		OnDigest:     c.heard,
		OnLiveChange: func() { c.viewChanged = true },
		OnMemberGone: c.died,
	})
	c.dispatcher = qldispatch.New(qldispatch.Config{
		Self:              c.config.Self,
		Limits:            c.limits,
		Rank:              c.rank,
		OnGrant:           c.granted,
		RequestFullDemand: c.askDemand,
		Monitor:           c.config.Monitor,
	})
	c.home = qlusage.New(qlusage.Config{
		Limits:            c.limits,
		LargestCost:       c.largestCost,
		UnleasedAllowance: c.freeShare,
		Leasable:          c.lendable,
		Monitor:           c.config.Monitor,
	})
	c.entry = qlentry.New(qlentry.Config{
		Self:        c.config.Self,
		Zone:        c.config.Zone,
		Start:       c.start,
		Refuse:      c.refuseNotSent,
		Send:        c.send,
		LocalDemand: c.want,
		LocalDone:   c.ownDone,
		Monitor:     c.config.Monitor,
	})
	c.acceptor = qlclaim.NewAcceptor(qlclaim.AcceptorConfig{
		Self:      c.config.Self,
		Window:    c.config.ClaimWindow,
		Connected: c.connected,
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

// send sends a message; one to this router itself is handled in this step.
func (c *Core) send(to string, message *qlwire.Message) {
	if to == c.config.Self {
		c.messages = append(c.messages, message)
		return
	}
	c.config.Send(to, message)
}

// settle handles what a step left to do in this process until nothing is.
func (c *Core) settle() {
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

// advance takes a clock reading; the clock never goes back. A leap means that
// this process was paused: what it believes of the others is old.
func (c *Core) advance(now time.Duration) {
	if now-c.now > _pause {
		c.home.NoteViewChange(now)
	}
	c.now = max(c.now, now)
}

// Receive takes a message from another router. Messages of an earlier start
// of the sender are dropped.
func (c *Core) Receive(now time.Duration, from string, epoch uint64, message *qlwire.Message) {
	c.advance(now)
	if known := c.epochs[from]; epoch < known {
		return
	} else if epoch > known {
		c.epochs[from] = epoch
		// As a home it is new, whatever it answered before.
		delete(c.answered, from)
		c.dispatcher.StartEpoch(c.now, from, epoch)
	}
	c.members.MarkHeard(c.now, from)
	c.handle(from, epoch, message)
	c.settle()
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
		c.proposer.Reply(c.now, from, body.ClaimReply)
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

// granted routes a grant of this router's dispatcher to its entry.
func (c *Core) granted(grant qldispatch.Grant) {
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

// askDemand asks an entry to state its demands in full.
func (c *Core) askDemand(entry string) {
	c.send(entry, &qlwire.Message{
		Body: &qlwire.Message_DemandRequest{
			DemandRequest: &qlwire.DemandRequest{},
		},
	})
}

func (c *Core) want(customer, pool string, waiting int, estimate float64, seen uint64) int {
	return c.dispatcher.SetLocalDemand(c.now, customer, pool, waiting, estimate, seen)
}

func (c *Core) ownDone(number uint64, cost float64, outcome qldispatch.Outcome) {
	c.dispatcher.Done(c.now, c.config.Self, number, cost, outcome)
}

// ApplyLoad takes an upstream's load report.
func (c *Core) ApplyLoad(now time.Duration, upstream string, running int) {
	c.advance(now)
	c.dispatcher.ApplyLoad(c.now, upstream, running)
	c.settle()
}

// ApplyLoadFailure notes an upstream that does not answer a load poll.
func (c *Core) ApplyLoadFailure(now time.Duration, upstream string) {
	c.advance(now)
	c.dispatcher.ApplyLoadFailure(c.now, upstream)
	c.settle()
}

// OwnedUpstreams returns the upstreams whose load this router polls.
func (c *Core) OwnedUpstreams() []string {
	return c.dispatcher.OwnedUpstreams()
}

// Leave begins a planned stop: the other routers hear of it and take over
// what this one owns. Requests are still taken until Close.
func (c *Core) Leave(now time.Duration) {
	c.advance(now)
	if c.leaving {
		return
	}
	c.leaving = true
	c.viewChanged = true
	c.members.PushDigestToAll()
	c.settle()
}

// Close ends the taking of requests; those that wait or run go on.
func (c *Core) Close(now time.Duration) {
	c.advance(now)
	c.closed = true
}

// Unfinished returns the number of callers' requests not ended yet.
func (c *Core) Unfinished() int {
	return len(c.requests)
}

// RemoteGrantCount returns the number of other routers' requests that run by grants
// of this router.
func (c *Core) RemoteGrantCount() int {
	return c.dispatcher.RemoteGrantCount()
}

// Abandon ends a request whose handling stopped: one that waits is taken
// out, and one that was started is finished. A claim is given back only when
// the request was certainly not sent.
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
