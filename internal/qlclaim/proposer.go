package qlclaim

import (
	"sort"
	"strings"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

const (
	// _claimTimeout is how long an attempt waits for its acceptors.
	_claimTimeout = 600 * time.Millisecond
	// _claimResend is when acceptors that have not answered are asked again.
	_claimResend = 200 * time.Millisecond
)

// Result is how an attempt to claim ended.
type Result int

// The results.
const (
	Claimed Result = iota + 1
	Duplicate
	DuplicateMismatch
	Unavailable
)

// ProposerConfig configures a Proposer.
type ProposerConfig struct {
	// Window is the acceptors' window; a claim is good for half of it.
	Window time.Duration
	Self   string
	// Epoch tells this process's attempts from those of an earlier start.
	Epoch uint64
	// Acceptors returns the routers that remember the key.
	Acceptors func(key string) []qlring.Node
	// Send sends a claim or release to an acceptor, this router included.
	Send func(to string, message *qlwire.Message)
	// Decided receives the end of an attempt for a request.
	Decided func(request uint64, result Result, holder string)
}

type attempt struct {
	number    uint64
	request   uint64
	key       string
	bodyHash  []byte
	name      string
	acceptors []string
	hash      uint64
	verdicts  map[string]Verdict
	holder    string
	startedAt time.Duration
	resent    bool
	decided   bool
}

// Proposer claims keys for one entry's requests. It is not safe for several
// goroutines.
type Proposer struct {
	config   ProposerConfig
	number   uint64
	attempts map[uint64]*attempt
	byID     map[uint64]*attempt
}

// NewProposer returns a proposer without attempts.
func NewProposer(config ProposerConfig) *Proposer {
	return &Proposer{
		config:   config,
		attempts: make(map[uint64]*attempt),
		byID:     make(map[uint64]*attempt),
	}
}

// Claim starts an attempt for a request. The name is what others are told
// holds the key.
func (p *Proposer) Claim(now time.Duration, request uint64, key string, bodyHash []byte, name string) {
	p.number++
	nodes := p.config.Acceptors(key)
	a := &attempt{
		number:    p.config.Epoch<<20 + p.number,
		request:   request,
		key:       key,
		bodyHash:  bodyHash,
		name:      name,
		hash:      AcceptorsHash(nodes),
		verdicts:  make(map[string]Verdict, Acceptors),
		startedAt: now,
	}
	for _, node := range nodes {
		a.acceptors = append(a.acceptors, node.ID())
	}
	p.attempts[a.number] = a
	p.byID[request] = a
	for _, to := range a.acceptors {
		p.ask(a, to)
	}
}

func (p *Proposer) ask(a *attempt, to string) {
	p.config.Send(to, &qlwire.Message{
		Body: &qlwire.Message_ClaimRequest{
			ClaimRequest: &qlwire.ClaimRequest{
				Attempt:   a.number,
				Key:       []byte(a.key),
				BodyHash:  a.bodyHash,
				Request:   shortName(p.config.Self, a.name),
				Acceptors: a.hash,
			},
		},
	})
}

// shortName leaves out of a request's name that of its router, which names its
// requests after itself; an acceptor knows who asks.
func shortName(router, name string) string {
	if suffix, ok := strings.CutPrefix(name, router); ok && strings.HasPrefix(suffix, "-") {
		return suffix
	}
	return name
}

// fullName undoes shortName.
func fullName(router, name string) string {
	if strings.HasPrefix(name, "-") {
		return router + name
	}
	return name
}

// Reply takes an acceptor's answer.
func (p *Proposer) Reply(now time.Duration, from string, reply *qlwire.ClaimReply) {
	a := p.attempts[reply.GetAttempt()]
	if a == nil || a.decided || !a.asked(from) {
		return
	}
	if now-a.startedAt >= _claimTimeout {
		// Not in time, perhaps since this process was paused: what was
		// granted may no longer count against others.
		p.decide(a, a.failure())
		return
	}
	a.verdicts[from] = Verdict(reply.GetVerdict())
	if reply.GetHolder() != "" {
		a.holder = reply.GetHolder()
	}
	if a.count(Granted) >= Quorum {
		p.decide(a, Claimed)
		return
	}
	if len(a.verdicts) == len(a.acceptors) {
		p.decide(a, a.failure())
	}
}

func (a *attempt) asked(id string) bool {
	for _, acceptor := range a.acceptors {
		if acceptor == id {
			return true
		}
	}
	return false
}

func (a *attempt) count(verdict Verdict) int {
	count := 0
	for _, v := range a.verdicts {
		if v == verdict {
			count++
		}
	}
	return count
}

func (a *attempt) failure() Result {
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

// Valid reports whether the request's claim still protects it: half of the
// window is left for the time between this check and the upstream's work.
func (p *Proposer) Valid(now time.Duration, request uint64) bool {
	a := p.byID[request]
	return a != nil && a.decided && now-a.startedAt < p.config.Window/2
}

// ValidUntil returns the time up to which the request's claim protects it.
func (p *Proposer) ValidUntil(request uint64) time.Duration {
	if a := p.byID[request]; a != nil && a.decided {
		return a.startedAt + p.config.Window/2
	}
	return 0
}

// Release gives up a claim whose request was certainly not sent.
func (p *Proposer) Release(request uint64) {
	if a := p.byID[request]; a != nil {
		p.release(a)
	}
}

func (p *Proposer) release(a *attempt) {
	p.forget(a)
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

// Finish forgets an attempt whose request was sent. The claim stays.
func (p *Proposer) Finish(request uint64) {
	if a := p.byID[request]; a != nil {
		p.forget(a)
	}
}

func (p *Proposer) forget(a *attempt) {
	delete(p.attempts, a.number)
	delete(p.byID, a.request)
}

// Tick asks slow acceptors again and ends attempts that waited too long.
func (p *Proposer) Tick(now time.Duration) {
	for _, number := range p.undecided() {
		a := p.attempts[number]
		age := now - a.startedAt
		if age >= _claimTimeout {
			p.decide(a, a.failure())
			continue
		}
		if age >= _claimResend && !a.resent {
			a.resent = true
			p.askSilent(a)
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

func (p *Proposer) askSilent(a *attempt) {
	for _, to := range a.acceptors {
		if _, answered := a.verdicts[to]; !answered {
			p.ask(a, to)
		}
	}
}
