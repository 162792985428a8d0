package qlclaim

import (
	"sort"
	"strings"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

const (
	// _claimTimeout is how long an attempt waits for its acceptors' replies.
	_claimTimeout = 600 * time.Millisecond
	// _claimResendAfter is the age of an attempt at which the claim is sent again
	// to acceptors that have not replied.
	_claimResendAfter = 200 * time.Millisecond
)

// Result is how an attempt to claim a key ended.
type Result int

// The results.
const (
	// Claimed means that a quorum granted the key, so the request may be sent.
	Claimed Result = iota + 1
	// Duplicate means that another request with the same body holds the key.
	Duplicate
	// DuplicateMismatch means that another request with a different body holds
	// the key.
	DuplicateMismatch
	// Unavailable means that no quorum granted the key and no acceptor reported
	// another holder.
	Unavailable
)

// ProposerConfig configures a Proposer.
type ProposerConfig struct {
	// Window is the acceptors' window; a claim is valid for half of it.
	Window time.Duration
	// Self is this router's ID.
	Self string
	// Epoch distinguishes this process's attempts from those of an earlier
	// start of the router; it is the upper part of their numbers.
	Epoch uint64
	// Acceptors returns the routers that record the claims on the key.
	Acceptors func(key string) []qlring.Node
	// Send sends a claim or release to an acceptor, which may be this router.
	Send func(to string, message *qlwire.Message)
	// Decided is called when a request's attempt ends. Holder is the name of the
	// request that holds the key, if an acceptor reported one.
	Decided func(request uint64, result Result, holder string)
}

// attempt is the state of one request's attempt to claim its key.
type attempt struct {
	number        uint64
	request       uint64
	key           string
	bodyHash      []byte
	requestName   string
	acceptors     []string
	acceptorsHash uint64
	replies       map[string]Reply
	holder        string
	startedAt     time.Duration
	resent        bool
	decided       bool
}

// Proposer claims keys for one entry's requests. It is not safe for concurrent
// use.
type Proposer struct {
	config ProposerConfig
	// number is the count of attempts so far.
	number uint64
	// attempts holds the attempts by number, byRequest by request.
	attempts  map[uint64]*attempt
	byRequest map[uint64]*attempt
}

// NewProposer returns a proposer without attempts.
func NewProposer(config ProposerConfig) *Proposer {
	return &Proposer{
		config:    config,
		attempts:  make(map[uint64]*attempt),
		byRequest: make(map[uint64]*attempt),
	}
}

// Claim starts an attempt to claim a request's key. The request's name is reported
// as the holder's to other requests with the key.
func (p *Proposer) Claim(now time.Duration, request uint64, key string, bodyHash []byte, requestName string) {
	p.number++
	nodes := p.config.Acceptors(key)
	a := &attempt{
		number:        p.config.Epoch<<20 + p.number,
		request:       request,
		key:           key,
		bodyHash:      bodyHash,
		requestName:   requestName,
		acceptorsHash: AcceptorsHash(nodes),
		replies:       make(map[string]Reply, AcceptorCount),
		startedAt:     now,
	}
	for _, node := range nodes {
		a.acceptors = append(a.acceptors, node.ID())
	}
	p.attempts[a.number] = a
	p.byRequest[request] = a
	for _, to := range a.acceptors {
		p.sendClaim(a, to)
	}
}

func (p *Proposer) sendClaim(a *attempt, to string) {
	p.config.Send(to, &qlwire.Message{
		Body: &qlwire.Message_ClaimRequest{
			ClaimRequest: &qlwire.ClaimRequest{
				Attempt:   a.number,
				Key:       []byte(a.key),
				BodyHash:  a.bodyHash,
				Request:   shortName(p.config.Self, a.requestName),
				Acceptors: a.acceptorsHash,
			},
		},
	})
}

// shortName removes the router's ID from a request name of the form ID-suffix and
// keeps the hyphen. The acceptor knows the ID, because it knows the claim's sender.
func shortName(router, name string) string {
	if suffix, ok := strings.CutPrefix(name, router); ok && strings.HasPrefix(suffix, "-") {
		return suffix
	}
	return name
}

// fullName reverses shortName.
func fullName(router, name string) string {
	if strings.HasPrefix(name, "-") {
		return router + name
	}
	return name
}

// ReceiveReply applies an acceptor's reply. The attempt ends once a quorum has
// granted the key or all acceptors have replied.
func (p *Proposer) ReceiveReply(now time.Duration, from string, reply *qlwire.ClaimReply) {
	a := p.attempts[reply.GetAttempt()]
	if a == nil || a.decided || !a.hasAcceptor(from) {
		return
	}
	if now-a.startedAt >= _claimTimeout {
		// Too late, perhaps because this process was paused: the granted claims
		// may have expired and no longer exclude other attempts.
		p.decide(a, a.failureResult())
		return
	}
	a.replies[from] = Reply(reply.GetVerdict())
	if reply.GetHolder() != "" {
		a.holder = reply.GetHolder()
	}
	if a.count(Granted) >= Quorum {
		p.decide(a, Claimed)
		return
	}
	if len(a.replies) == len(a.acceptors) {
		p.decide(a, a.failureResult())
	}
}

func (a *attempt) hasAcceptor(id string) bool {
	for _, acceptor := range a.acceptors {
		if acceptor == id {
			return true
		}
	}
	return false
}

func (a *attempt) count(wanted Reply) int {
	count := 0
	for _, reply := range a.replies {
		if reply == wanted {
			count++
		}
	}
	return count
}

// failureResult returns the result of an attempt that no quorum granted.
func (a *attempt) failureResult() Result {
	if a.count(Mismatch) > 0 {
		return DuplicateMismatch
	}
	if a.count(Held) > 0 {
		return Duplicate
	}
	return Unavailable
}

func (p *Proposer) decide(a *attempt, result Result) {
	a.decided = true
	if result != Claimed {
		p.release(a)
	}
	p.config.Decided(a.request, result, a.holder)
}

// Valid reports whether the request's claim is young enough to send the request.
// A claim is valid for half of the window; the other half is left for the time
// between this check and the upstream's work.
func (p *Proposer) Valid(now time.Duration, request uint64) bool {
	a := p.byRequest[request]
	return a != nil && a.decided && now-a.startedAt < p.config.Window/2
}

// ValidUntil returns the time until which the request's claim is valid, or 0 when
// the request holds no claim.
func (p *Proposer) ValidUntil(request uint64) time.Duration {
	if a := p.byRequest[request]; a != nil && a.decided {
		return a.startedAt + p.config.Window/2
	}
	return 0
}

// Release releases the claim of a request that was certainly not sent, so that
// the key can be claimed again.
func (p *Proposer) Release(request uint64) {
	if a := p.byRequest[request]; a != nil {
		p.release(a)
	}
}

func (p *Proposer) release(a *attempt) {
	p.dropAttempt(a)
	for _, to := range a.acceptors {
		p.config.Send(to, &qlwire.Message{
			Body: &qlwire.Message_ClaimRelease{
				ClaimRelease: &qlwire.ClaimRelease{
					Attempt: a.number,
					Key:     []byte(a.key),
				},
			},
		})
	}
}

// Finish drops the attempt of a request that was sent. The acceptors keep its claim
// until it expires.
func (p *Proposer) Finish(request uint64) {
	if a := p.byRequest[request]; a != nil {
		p.dropAttempt(a)
	}
}

func (p *Proposer) dropAttempt(a *attempt) {
	delete(p.attempts, a.number)
	delete(p.byRequest, a.request)
}

// Tick sends claims again to acceptors that have not replied, and ends attempts
// older than _claimTimeout.
func (p *Proposer) Tick(now time.Duration) {
	for _, number := range p.undecided() {
		a := p.attempts[number]
		age := now - a.startedAt
		if age >= _claimTimeout {
			p.decide(a, a.failureResult())
			continue
		}
		if age >= _claimResendAfter && !a.resent {
			a.resent = true
			p.resendClaims(a)
		}
	}
}

func (p *Proposer) undecided() []uint64 {
	var numbers []uint64
	for number, a := range p.attempts {
		if !a.decided {
			numbers = append(numbers, number)
		}
	}
	sort.Slice(numbers, func(i, j int) bool {
		return numbers[i] < numbers[j]
	})
	return numbers
}

func (p *Proposer) resendClaims(a *attempt) {
	for _, to := range a.acceptors {
		if _, answered := a.replies[to]; !answered {
			p.sendClaim(a, to)
		}
	}
}
