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
//   - the entry that asks counts on other acceptors than it would itself, so
//     one of the two has another VM list;
//   - it has not heard from a majority of the listed routers of late, so it
//     may be on the small side of a partition with an old list.
//
// docs/DESIGN.md says which double failures this survives and which not.
//
// # Usage
//
//	a := qlclaim.NewAcceptor(qlclaim.AcceptorConfig{Self: "r1", Window: window, Connected: connected})
//	a.SetRing(now, revision, ring)
//	verdict, holder := a.Request(now, "r2", request)
package qlclaim

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// Verdict is an acceptor's answer.
type Verdict uint32

// The verdicts.
const (
	Granted Verdict = iota + 1
	Held
	HistoryIncomplete
	Mismatch
)

const (
	// Acceptors is the number of routers that remember a key.
	Acceptors = 3
	// Quorum is how many must grant it.
	Quorum = 2
	// _maxClaims bounds the memory for claims; a full acceptor cannot vouch.
	_maxClaims = 100_000
	// _maxPerKey bounds the attempts remembered for one key.
	_maxPerKey = 32
	// _copyBatch bounds the claims in one message.
	_copyBatch = 200
	_keySize   = 16
	// _attemptMargin exceeds the time for which an attempt may go on.
	_attemptMargin = 2 * time.Second
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
	// granted is set when this acceptor granted the claim itself, copied when
	// another did or knew of it. Others only keep further attempts out.
	granted bool
	copied  bool
	expires time.Duration
}

// view is a VM list in use since a time.
type view struct {
	since    time.Duration
	revision uint64
	ring     *qlring.Ring
}

// Acceptor remembers granted keys. It is not safe for several goroutines.
// The clock that its methods are given starts at 0 with the process.
type Acceptor struct {
	config AcceptorConfig
	// keep is how long claims are kept: the window, and the time for which an
	// attempt that began inside it may go on.
	keep time.Duration
	// claims holds the claims on each key. There is more than one when copies
	// brought those of several acceptors: one of an attempt that succeeded,
	// and one of an attempt that failed and will give it back.
	claims map[string][]*claim
	// released holds attempts that are over, until the time given.
	released map[attemptID]time.Duration
	views    []view
	// copied holds the routers whose claims were copied in full since the
	// start, while they vouched, with the VM list that they had then.
	copied  map[string]uint64
	sweepAt time.Duration
}

// NewAcceptor returns an acceptor that has just started empty.
func NewAcceptor(config AcceptorConfig) *Acceptor {
	return &Acceptor{
		config:   config,
		keep:     config.Window + _attemptMargin,
		claims:   make(map[string][]*claim),
		released: make(map[attemptID]time.Duration),
		copied:   make(map[string]uint64),
	}
}

// SetRing takes the listed routers in force from now on.
func (a *Acceptor) SetRing(now time.Duration, revision uint64, ring *qlring.Ring) {
	a.views = append(a.views, view{
		since:    now,
		revision: revision,
		ring:     ring,
	})
	a.dropOldViews(now)
}

// dropOldViews keeps the view in force at the window's start and all later.
func (a *Acceptor) dropOldViews(now time.Duration) {
	start := now - a.keep
	for len(a.views) > 1 && a.views[1].since <= start {
		a.views = a.views[1:]
	}
}

// Request decides an attempt's claim. The same attempt may ask again.
func (a *Acceptor) Request(now time.Duration, from string, request *qlwire.ClaimRequest) (Verdict, string) {
	key := string(request.GetKey())
	if a.over(from, request.GetAttempt()) {
		return HistoryIncomplete, ""
	}
	held := a.live(now, key)
	if own := find(held, from, request.GetAttempt()); own != nil && own.granted {
		return Granted, ""
	}
	verdict, holder := judge(held, from, request)
	if verdict == 0 {
		verdict = HistoryIncomplete
		if a.agrees(key, request.GetAcceptors()) && a.vouches(now, key) && len(a.claims) < _maxClaims {
			verdict = Granted
		}
	}
	a.remember(now, key, held, from, request, verdict == Granted)
	return verdict, holder
}

// remember notes a claim whether it is granted or not. The others may grant
// it, and this router may come to be the last that knows of it: when the two
// that granted are lost, and what held the key here is given back.
func (a *Acceptor) remember(now time.Duration, key string, held []*claim, from string, request *qlwire.ClaimRequest, granted bool) {
	own := find(held, from, request.GetAttempt())
	if own == nil {
		if len(held) >= _maxPerKey || len(a.claims) >= _maxClaims {
			return
		}
		own = &claim{
			owner:    from,
			attempt:  request.GetAttempt(),
			bodyHash: string(request.GetBodyHash()),
			request:  fullName(from, request.GetRequest()),
		}
		a.claims[key] = append(held, own)
	}
	own.granted = granted
	own.expires = now + a.keep
}

func find(held []*claim, owner string, number uint64) *claim {
	for _, c := range held {
		if c.owner == owner && c.attempt == number {
			return c
		}
	}
	return nil
}

// judge compares an attempt with the claims on its key. It returns no verdict
// when nobody else has one. A claim that was not granted here may come to
// nothing, so it refuses others without calling them duplicates.
func judge(held []*claim, from string, request *qlwire.ClaimRequest) (Verdict, string) {
	verdict, holder := Verdict(0), ""
	for _, c := range held {
		if c.owner == from && c.attempt == request.GetAttempt() {
			continue
		}
		if !c.granted && !c.copied {
			verdict = max(verdict, HistoryIncomplete)
			continue
		}
		if c.bodyHash != string(request.GetBodyHash()) {
			return Mismatch, c.request
		}
		return Held, c.request
	}
	return verdict, holder
}

// over reports whether the attempt was released before its claim came. A
// claim that its release overtook must not hold the key for a window.
func (a *Acceptor) over(owner string, number uint64) bool {
	_, released := a.released[attemptID{owner: owner, number: number}]
	return released
}

// live returns the claims that still hold the key.
func (a *Acceptor) live(now time.Duration, key string) []*claim {
	held := a.claims[key]
	kept := held[:0]
	for _, c := range held {
		if now < c.expires {
			kept = append(kept, c)
		}
	}
	a.store(key, kept)
	return kept
}

func (a *Acceptor) store(key string, held []*claim) {
	if len(held) == 0 {
		delete(a.claims, key)
		return
	}
	a.claims[key] = held
}

// Release gives a key back whose attempt was certainly not sent.
func (a *Acceptor) Release(now time.Duration, from string, release *qlwire.ClaimRelease) {
	key := string(release.GetKey())
	a.released[attemptID{owner: from, number: release.GetAttempt()}] = now + _rememberRelease
	var kept []*claim
	for _, held := range a.live(now, key) {
		if held.owner != from || held.attempt != release.GetAttempt() {
			kept = append(kept, held)
		}
	}
	a.store(key, kept)
}

// agrees reports whether the entry counts on the acceptors that this one
// would. From the moment an acceptor has a new VM list, it grants nothing
// under an older one; a copy that it gives after that is complete.
func (a *Acceptor) agrees(key string, acceptors uint64) bool {
	return len(a.views) > 0 && AcceptorsHash(a.current().Spread(key, Acceptors)) == acceptors
}

func (a *Acceptor) current() *qlring.Ring {
	return a.views[len(a.views)-1].ring
}

// AcceptorsHash returns a hash of the acceptors in their order.
func AcceptorsHash(nodes []qlring.Node) uint64 {
	var ids strings.Builder
	for _, node := range nodes {
		ids.WriteString(node.ID())
		ids.WriteByte(0)
	}
	return xxhash.Sum64String(ids.String())
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
	return now >= a.keep || a.copiedOthers(key)
}

// copiedOthers reports whether the claims of all other acceptors of the key
// were copied, under each VM list held since the start. The copies must have
// been given under that list or a later one: before, their giver might still
// have granted the key to an entry that did not know of this router.
func (a *Acceptor) copiedOthers(key string) bool {
	for i := range a.views {
		for _, node := range a.views[i].ring.Spread(key, Acceptors) {
			if node.ID() != a.config.Self && a.copied[node.ID()] < a.views[i].revision {
				return false
			}
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
	if len(a.views) == 0 || now >= a.keep {
		return nil
	}
	var missing []string
	last := a.views[len(a.views)-1]
	for _, node := range last.ring.Nodes() {
		if node.ID() != a.config.Self && a.copied[node.ID()] < last.revision {
			missing = append(missing, node.ID())
		}
	}
	return missing
}

// Copy returns the claims that a router which started empty should hold, and
// whether this one may vouch for them.
func (a *Acceptor) Copy(now time.Duration, to qlring.Node) []*qlwire.ClaimCopy {
	vouched := a.vouchesAtAll(now)
	var records []*qlwire.ClaimRecord
	if len(a.views) > 0 {
		records = a.recordsFor(now, to)
	}
	revision := uint64(0)
	if len(a.views) > 0 {
		revision = a.views[len(a.views)-1].revision
	}
	var copies []*qlwire.ClaimCopy
	for {
		batch := records[:min(len(records), _copyBatch)]
		records = records[len(batch):]
		copies = append(copies, &qlwire.ClaimCopy{
			Vouched:      vouched,
			More:         len(records) > 0,
			Claims:       batch,
			ListRevision: revision,
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
	return now >= a.keep || len(a.MissingCopies(now)) == 0
}

func (a *Acceptor) recordsFor(now time.Duration, to qlring.Node) []*qlwire.ClaimRecord {
	nodes := a.current().Nodes()
	if !contains(nodes, to.ID()) {
		nodes = append(append([]qlring.Node(nil), nodes...), to)
	}
	ring := qlring.New(nodes)
	var records []*qlwire.ClaimRecord
	for key, claims := range a.claims {
		if !contains(ring.Spread(key, Acceptors), to.ID()) {
			continue
		}
		for _, held := range claims {
			if now < held.expires {
				records = append(records, held.record(now, key))
			}
		}
	}
	sort.Slice(records, func(i, j int) bool {
		if a, b := string(records[i].GetKey()), string(records[j].GetKey()); a != b {
			return a < b
		}
		return records[i].GetAttempt() < records[j].GetAttempt()
	})
	return records
}

func (c *claim) record(now time.Duration, key string) *qlwire.ClaimRecord {
	return &qlwire.ClaimRecord{
		Key:      []byte(key),
		BodyHash: []byte(c.bodyHash),
		Request:  c.request,
		Owner:    c.owner,
		Attempt:  c.attempt,
		Left:     int64(c.expires - now),
	}
}

// ApplyCopy takes claims copied from another router. All claims on a key are
// kept: were only the first kept, and it is given back, the key would be free
// although another attempt holds it.
func (a *Acceptor) ApplyCopy(now time.Duration, from string, copied *qlwire.ClaimCopy) {
	for _, record := range copied.GetClaims() {
		if !a.over(record.GetOwner(), record.GetAttempt()) {
			a.addCopy(now, record)
		}
	}
	if copied.GetVouched() && !copied.GetMore() {
		a.copied[from] = max(a.copied[from], copied.GetListRevision())
	}
}

func (a *Acceptor) addCopy(now time.Duration, record *qlwire.ClaimRecord) {
	key := string(record.GetKey())
	held := a.live(now, key)
	if find(held, record.GetOwner(), record.GetAttempt()) != nil {
		return
	}
	a.claims[key] = append(held, &claim{
		owner:    record.GetOwner(),
		attempt:  record.GetAttempt(),
		bodyHash: string(record.GetBodyHash()),
		request:  record.GetRequest(),
		copied:   true,
		expires:  now + time.Duration(record.GetLeft()),
	})
}

// Tick drops expired claims.
func (a *Acceptor) Tick(now time.Duration) {
	if now < a.sweepAt {
		return
	}
	a.sweepAt = now + time.Second
	for key := range a.claims {
		a.live(now, key)
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

// HistoryComplete reports whether the acceptor vouches for keys in general.
func (a *Acceptor) HistoryComplete(now time.Duration) bool {
	return a.vouchesAtAll(now)
}
