// Package qlclaim lets a request with an idempotency key run at most once
// inside a window, through whichever router it comes.
//
// Before an entry sends such a request it claims the key from three routers,
// the first three in the key's rendezvous order that stand in three zones.
// Each grants a key to one attempt. Two grants are needed to send; any two
// sets of two among three share a router, which refuses the second attempt.
//
// That argument needs all three to remember. A router that cannot know what
// was granted before therefore says that it cannot vouch, and does not count:
//
//   - it has been up for less than the window, and has not copied the claims
//     of all other acceptors of the key from routers that vouch themselves;
//   - some VM list that it held inside the window did not make it an acceptor
//     of the key;
//   - it has not heard from a majority of the listed routers of late, so it
//     may be on the small side of a partition with an old list.
//
// docs/DESIGN.md says which double failures this survives and which not.
//
// # Usage
//
//	a := qlclaim.NewAcceptor(qlclaim.AcceptorConfig{Self: "r1", Window: window, Connected: connected})
//	a.SetRing(now, ring)
//	verdict, holder := a.Request(now, "r2", request)
package qlclaim

import (
	"crypto/sha256"
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// Verdict is an acceptor's answer.
type Verdict uint32

// The verdicts.
const (
	Granted Verdict = iota + 1
	Held
	CannotVouch
	Mismatch
)

const (
	// Acceptors is the number of routers that remember a key.
	Acceptors = 3
	// Quorum is how many must grant it.
	Quorum = 2
	// _maxClaims bounds the memory for claims; a full acceptor cannot vouch.
	_maxClaims = 100_000
	// _copyBatch bounds the claims in one message.
	_copyBatch = 200
	_keySize   = 16
	// _rememberRelease covers claims that come after their release.
	_rememberRelease = 10 * time.Second
)

// Key returns the name under which acceptors keep an idempotency key.
func Key(customer, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return string(sum[:_keySize])
}

// AcceptorConfig configures an Acceptor.
type AcceptorConfig struct {
	Self string
	// Window is how long a granted key stays granted.
	Window time.Duration
	// Connected reports whether a majority of listed routers was heard.
	Connected func(now time.Duration) bool
}

type attemptID struct {
	owner  string
	number uint64
}

type claim struct {
	owner    string
	attempt  uint64
	bodyHash string
	request  string
	expires  time.Duration
}

// view is a VM list in use since a time.
type view struct {
	since time.Duration
	ring  *qlring.Ring
}

// Acceptor remembers granted keys. It is not safe for several goroutines.
// The clock that its methods are given starts at 0 with the process.
type Acceptor struct {
	config AcceptorConfig
	claims map[string]*claim
	// released holds attempts that are over, until the time given.
	released map[attemptID]time.Duration
	views    []view
	// copied holds the routers whose claims were copied in full, and which
	// vouched, since the start.
	copied   map[string]bool
	sequence uint64
	sweepAt  time.Duration
}

// NewAcceptor returns an acceptor that has just started empty.
func NewAcceptor(config AcceptorConfig) *Acceptor {
	return &Acceptor{
		config:   config,
		claims:   make(map[string]*claim),
		released: make(map[attemptID]time.Duration),
		copied:   make(map[string]bool),
	}
}

// SetRing takes the listed routers in force from now on.
func (a *Acceptor) SetRing(now time.Duration, ring *qlring.Ring) {
	a.views = append(a.views, view{
		since: now,
		ring:  ring,
	})
	a.dropOldViews(now)
}

// dropOldViews keeps the view in force at the window's start and all later.
func (a *Acceptor) dropOldViews(now time.Duration) {
	start := now - a.config.Window
	for len(a.views) > 1 && a.views[1].since <= start {
		a.views = a.views[1:]
	}
}

// Request decides an attempt's claim. The same attempt may ask again.
func (a *Acceptor) Request(now time.Duration, from string, request *qlwire.ClaimRequest) (Verdict, string) {
	key := string(request.GetKey())
	if a.over(from, request.GetAttempt()) {
		return CannotVouch, ""
	}
	if held := a.live(now, key); held != nil {
		return a.judge(held, from, request)
	}
	if !a.vouches(now, key) || len(a.claims) >= _maxClaims {
		return CannotVouch, ""
	}
	a.claims[key] = &claim{
		owner:    from,
		attempt:  request.GetAttempt(),
		bodyHash: string(request.GetBodyHash()),
		request:  request.GetRequest(),
		expires:  now + a.config.Window,
	}
	return Granted, ""
}

func (a *Acceptor) judge(held *claim, from string, request *qlwire.ClaimRequest) (Verdict, string) {
	if held.owner == from && held.attempt == request.GetAttempt() {
		return Granted, ""
	}
	if held.bodyHash != string(request.GetBodyHash()) {
		return Mismatch, held.request
	}
	return Held, held.request
}

// over reports whether the attempt was released before its claim came. A
// claim that its release overtook must not hold the key for a window.
func (a *Acceptor) over(owner string, number uint64) bool {
	_, released := a.released[attemptID{owner: owner, number: number}]
	return released
}

// live returns the claim that still holds the key.
func (a *Acceptor) live(now time.Duration, key string) *claim {
	held := a.claims[key]
	if held == nil || now >= held.expires {
		return nil
	}
	return held
}

// Release gives a key back whose attempt was certainly not sent.
func (a *Acceptor) Release(now time.Duration, from string, release *qlwire.ClaimRelease) {
	key := string(release.GetKey())
	a.released[attemptID{owner: from, number: release.GetAttempt()}] = now + _rememberRelease
	held := a.live(now, key)
	if held == nil {
		return
	}
	if held.owner == from && held.attempt == release.GetAttempt() {
		delete(a.claims, key)
	}
}

// vouches reports whether this acceptor would know of an earlier claim.
func (a *Acceptor) vouches(now time.Duration, key string) bool {
	if len(a.views) == 0 || !a.config.Connected(now) {
		return false
	}
	a.dropOldViews(now)
	for i := range a.views {
		if !contains(a.views[i].ring.Spread(key, Acceptors), a.config.Self) {
			return false
		}
	}
	return now >= a.config.Window || a.copiedOthers(key)
}

func (a *Acceptor) copiedOthers(key string) bool {
	last := a.views[len(a.views)-1].ring
	for _, node := range last.Spread(key, Acceptors) {
		if node.ID() != a.config.Self && !a.copied[node.ID()] {
			return false
		}
	}
	return true
}

func contains(nodes []qlring.Node, id string) bool {
	for _, node := range nodes {
		if node.ID() == id {
			return true
		}
	}
	return false
}

// MissingCopies returns the routers to ask for copies; none once the window
// has passed since the start.
func (a *Acceptor) MissingCopies(now time.Duration) []string {
	if len(a.views) == 0 || now >= a.config.Window {
		return nil
	}
	var missing []string
	for _, node := range a.views[len(a.views)-1].ring.Nodes() {
		if node.ID() != a.config.Self && !a.copied[node.ID()] {
			missing = append(missing, node.ID())
		}
	}
	return missing
}

// Copy returns the claims that a router which started empty should hold, and
// whether this one may vouch for them.
func (a *Acceptor) Copy(now time.Duration, to qlring.Node, sequence uint64) []*qlwire.ClaimCopy {
	vouched := a.vouchesAtAll(now)
	var records []*qlwire.ClaimRecord
	if len(a.views) > 0 {
		records = a.recordsFor(now, to)
	}
	var copies []*qlwire.ClaimCopy
	for {
		batch := records[:min(len(records), _copyBatch)]
		records = records[len(batch):]
		copies = append(copies, &qlwire.ClaimCopy{
			Sequence: sequence,
			Vouched:  vouched,
			More:     len(records) > 0,
			Claims:   batch,
		})
		if len(records) == 0 {
			return copies
		}
	}
}

func (a *Acceptor) vouchesAtAll(now time.Duration) bool {
	if len(a.views) == 0 || !a.config.Connected(now) {
		return false
	}
	return now >= a.config.Window || len(a.MissingCopies(now)) == 0
}

func (a *Acceptor) recordsFor(now time.Duration, to qlring.Node) []*qlwire.ClaimRecord {
	nodes := a.views[len(a.views)-1].ring.Nodes()
	if !contains(nodes, to.ID()) {
		nodes = append(append([]qlring.Node(nil), nodes...), to)
	}
	ring := qlring.New(nodes)
	var records []*qlwire.ClaimRecord
	for key, held := range a.claims {
		if now >= held.expires || !contains(ring.Spread(key, Acceptors), to.ID()) {
			continue
		}
		records = append(records, &qlwire.ClaimRecord{
			Key:      []byte(key),
			BodyHash: []byte(held.bodyHash),
			Request:  held.request,
			Owner:    held.owner,
			Attempt:  held.attempt,
			Left:     int64(held.expires - now),
		})
	}
	sort.Slice(records, func(i, j int) bool {
		return string(records[i].GetKey()) < string(records[j].GetKey())
	})
	return records
}

// ApplyCopy takes claims copied from another router.
func (a *Acceptor) ApplyCopy(now time.Duration, from string, copied *qlwire.ClaimCopy) {
	for _, record := range copied.GetClaims() {
		key := string(record.GetKey())
		if a.live(now, key) != nil {
			continue
		}
		a.claims[key] = &claim{
			owner:    record.GetOwner(),
			attempt:  record.GetAttempt(),
			bodyHash: string(record.GetBodyHash()),
			request:  record.GetRequest(),
			expires:  now + time.Duration(record.GetLeft()),
		}
	}
	if copied.GetVouched() && !copied.GetMore() {
		a.copied[from] = true
	}
}

// Tick drops expired claims.
func (a *Acceptor) Tick(now time.Duration) {
	if now < a.sweepAt {
		return
	}
	a.sweepAt = now + time.Second
	for key, held := range a.claims {
		if now >= held.expires {
			delete(a.claims, key)
		}
	}
	for id, until := range a.released {
		if now >= until {
			delete(a.released, id)
		}
	}
}

// Len returns the number of claims held.
func (a *Acceptor) Len() int {
	return len(a.claims)
}

// Vouches reports whether the acceptor vouches for keys in general.
func (a *Acceptor) Vouches(now time.Duration) bool {
	return a.vouchesAtAll(now)
}
