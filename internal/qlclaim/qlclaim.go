// Package qlclaim ensures that a request with an idempotency key runs at most once
// inside a time window, whichever routers receive it and its repetitions.
//
// Before the router that received such a request (the entry) sends it, it claims
// the key from three routers, the acceptors: the first three in the key's
// rendezvous order that are in three different availability zones. Each acceptor
// grants a key to one attempt. Two grants, a quorum, are needed to send. Any two
// quorums share an acceptor, which refuses the second attempt.
//
// This holds only if each acceptor that grants a key knows the earlier claims on
// it. An acceptor whose claim history may be incomplete therefore doesn't grant,
// but answers HistoryIncomplete. That is so when:
//
//   - it started less than the window ago, and has not copied the claims of all
//     other acceptors of the key from routers with a complete claim history;
//   - it was not an acceptor of the key by some VM list that it used inside the
//     window;
//   - the entry names other acceptors for the key than this router would, so one
//     of the two has another VM list;
//   - it has not heard recently from a majority of the listed routers, so it may
//     be on the minority side of a partition with an old list.
//
// docs/DESIGN.md says which double failures this survives and which it doesn't.
//
// # Usage
//
//	a := qlclaim.NewAcceptor(qlclaim.AcceptorConfig{Self: "r1", Window: window, Connected: connected})
//	a.SetRing(now, revision, ring)
//	reply, holder := a.AnswerRequest(now, "r2", request)
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

// Reply is an acceptor's answer to an attempt to claim a key.
type Reply uint32

// The replies.
const (
	// Granted means that the attempt holds the key at this acceptor.
	Granted Reply = iota + 1
	// Held means that another attempt with the same request body holds the key.
	Held
	// HistoryIncomplete means that the acceptor may not know all earlier claims
	// on the key. It is also the answer to a released attempt, while the claim
	// of another attempt is recorded but not granted, and when the acceptor is
	// full.
	HistoryIncomplete
	// Mismatch means that another attempt with a different request body holds
	// the key.
	Mismatch
)

const (
	// AcceptorCount is the number of routers that record the claims on a key.
	AcceptorCount = 3
	// Quorum is the number of acceptors that must grant a key.
	Quorum = 2
	// _maxClaimedKeys bounds the memory for claims. A full acceptor records no
	// further claims, so its history is incomplete and it grants nothing.
	_maxClaimedKeys = 100_000
	// _maxAttemptsPerKey bounds the attempts recorded for one key.
	_maxAttemptsPerKey = 32
	// _maxClaimsPerCopy bounds the claims in one ClaimCopy message.
	_maxClaimsPerCopy = 200
	// _keySize is the length in bytes of the names that Key returns.
	_keySize = 16
	// _maxAttemptTime exceeds the time that an attempt may last.
	_maxAttemptTime = 2 * time.Second
	// _releaseRetention is how long a released attempt is remembered, to ignore
	// its claim when that arrives after the release.
	_releaseRetention = 10 * time.Second
)

// Key returns the name under which acceptors record a customer's idempotency key, a
// hash of both.
func Key(customer, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return string(sum[:_keySize])
}

// AcceptorConfig configures an Acceptor.
type AcceptorConfig struct {
	// Self is this router's ID.
	Self string
	// Window is how long a granted key stays granted.
	Window time.Duration
	// Connected reports whether a majority of the listed routers was heard from
	// recently.
	Connected func(now time.Duration) bool
}

// attemptID identifies an attempt by the router that makes it and its number.
type attemptID struct {
	owner  string
	number uint64
}

// claim is one attempt's claim on a key. Its owner is the router that makes the
// attempt.
type claim struct {
	owner       string
	attempt     uint64
	bodyHash    string
	requestName string
	// granted is set when this acceptor granted the claim, copied when the claim
	// was copied from another router. A claim with neither set only prevents
	// grants to further attempts.
	granted   bool
	copied    bool
	expiresAt time.Duration
}

// vmList is a VM list and the time since which this router uses it.
type vmList struct {
	since    time.Duration
	revision uint64
	ring     *qlring.Ring
}

// Acceptor records claims on keys and grants keys to attempts. It is not safe for
// concurrent use. The times passed to its methods count from the process's start.
type Acceptor struct {
	config AcceptorConfig
	// retention is how long claims are kept: the window, and the time that an
	// attempt which began inside it may last.
	retention time.Duration
	// claims holds the claims on each key. There can be several: claims that were
	// not granted are recorded, too, and copies from several acceptors can
	// contain the claim of an attempt that succeeded and that of one that failed
	// and will be released.
	claims map[string][]*claim
	// released maps each released attempt to the time until which it is
	// remembered.
	released map[attemptID]time.Duration
	// vmLists holds the VM lists used inside the retention time, in order; the
	// last one is in use.
	vmLists []vmList
	// copiedRevisions has an entry for each router whose claims were copied in
	// full since the start, while its own claim history was complete. The value
	// is the revision of the VM list that the router used then.
	copiedRevisions map[string]uint64
	sweepAt         time.Duration
}

// NewAcceptor returns an acceptor without claims.
func NewAcceptor(config AcceptorConfig) *Acceptor {
	return &Acceptor{
		config:          config,
		retention:       config.Window + _maxAttemptTime,
		claims:          make(map[string][]*claim),
		released:        make(map[attemptID]time.Duration),
		copiedRevisions: make(map[string]uint64),
	}
}

// SetRing sets the listed routers, and their VM list's revision, to use from now on.
func (a *Acceptor) SetRing(now time.Duration, revision uint64, ring *qlring.Ring) {
	a.vmLists = append(a.vmLists, vmList{
		since:    now,
		revision: revision,
		ring:     ring,
	})
	a.dropOldLists(now)
}

// dropOldLists keeps the VM list that was in use a retention time ago, and all
// later ones.
func (a *Acceptor) dropOldLists(now time.Duration) {
	start := now - a.retention
	for len(a.vmLists) > 1 && a.vmLists[1].since <= start {
		a.vmLists = a.vmLists[1:]
	}
}

// AnswerRequest decides and records an attempt's claim. It returns the reply and,
// if another attempt holds the key, the name of the request that does. The same
// attempt may claim again, for example when the reply was lost.
func (a *Acceptor) AnswerRequest(now time.Duration, from string, request *qlwire.ClaimRequest) (Reply, string) {
	key := string(request.GetKey())
	if a.isReleased(from, request.GetAttempt()) {
		return HistoryIncomplete, ""
	}
	claims := a.liveClaims(now, key)
	if known := findClaim(claims, from, request.GetAttempt()); known != nil && known.granted {
		return Granted, ""
	}
	reply, holder := compareClaims(claims, from, request)
	if reply == 0 {
		reply = HistoryIncomplete
		if a.sameAcceptors(key, request.GetAcceptors()) && a.hasHistoryOf(now, key) && len(a.claims) < _maxClaimedKeys {
			reply = Granted
		}
	}
	a.recordClaim(now, key, claims, from, request, reply == Granted)
	return reply, holder
}

// recordClaim records an attempt's claim, whether or not it is granted here. The
// other two acceptors may grant it. If both are lost then, and the claim that
// holds the key here is released, this router is the only one left that knows of
// the attempt. A new claim is not recorded if the key or the acceptor already has
// the maximum number.
func (a *Acceptor) recordClaim(now time.Duration, key string, claims []*claim, from string, request *qlwire.ClaimRequest, granted bool) {
	known := findClaim(claims, from, request.GetAttempt())
	if known == nil {
		if len(claims) >= _maxAttemptsPerKey || len(a.claims) >= _maxClaimedKeys {
			return
		}
		known = &claim{
			owner:       from,
			attempt:     request.GetAttempt(),
			bodyHash:    string(request.GetBodyHash()),
			requestName: fullName(from, request.GetRequest()),
		}
		a.claims[key] = append(claims, known)
	}
	known.granted = granted
	known.expiresAt = now + a.retention
}

func findClaim(claims []*claim, owner string, number uint64) *claim {
	for _, c := range claims {
		if c.owner == owner && c.attempt == number {
			return c
		}
	}
	return nil
}

// compareClaims compares an attempt with the claims on its key. It returns the
// reply 0 if no other attempt has a claim, and the name of the request that
// holds the key if one does. A claim that was neither granted here nor copied may
// fail, so it prevents a grant, but doesn't make other attempts duplicates.
func compareClaims(claims []*claim, from string, request *qlwire.ClaimRequest) (Reply, string) {
	reply, holder := Reply(0), ""
	for _, c := range claims {
		if c.owner == from && c.attempt == request.GetAttempt() {
			continue
		}
		if !c.granted && !c.copied {
			reply = max(reply, HistoryIncomplete)
			continue
		}
		if c.bodyHash != string(request.GetBodyHash()) {
			return Mismatch, c.requestName
		}
		return Held, c.requestName
	}
	return reply, holder
}

// isReleased reports whether the attempt was released already. A claim that
// arrives after its release must not hold the key for a window.
func (a *Acceptor) isReleased(owner string, number uint64) bool {
	_, released := a.released[attemptID{owner: owner, number: number}]
	return released
}

// liveClaims drops the key's expired claims and returns the others.
func (a *Acceptor) liveClaims(now time.Duration, key string) []*claim {
	claims := a.claims[key]
	kept := claims[:0]
	for _, c := range claims {
		if now < c.expiresAt {
			kept = append(kept, c)
		}
	}
	a.storeClaims(key, kept)
	return kept
}

func (a *Acceptor) storeClaims(key string, claims []*claim) {
	if len(claims) == 0 {
		delete(a.claims, key)
		return
	}
	a.claims[key] = claims
}

// Release deletes the claim of an attempt whose request was certainly not sent.
func (a *Acceptor) Release(now time.Duration, from string, release *qlwire.ClaimRelease) {
	key := string(release.GetKey())
	a.released[attemptID{owner: from, number: release.GetAttempt()}] = now + _releaseRetention
	var kept []*claim
	for _, c := range a.liveClaims(now, key) {
		if c.owner != from || c.attempt != release.GetAttempt() {
			kept = append(kept, c)
		}
	}
	a.storeClaims(key, kept)
}

// sameAcceptors reports whether the entry's hash of the key's acceptors equals the
// hash by this router's VM list. So once an acceptor has a new VM list, it grants nothing
// to an entry that names the acceptors of an older one, and a copy of its claims
// that it sends after that is complete.
func (a *Acceptor) sameAcceptors(key string, acceptorsHash uint64) bool {
	return len(a.vmLists) > 0 && AcceptorsHash(a.currentRing().Spread(key, AcceptorCount)) == acceptorsHash
}

func (a *Acceptor) currentRing() *qlring.Ring {
	return a.vmLists[len(a.vmLists)-1].ring
}

// AcceptorsHash returns a hash of the acceptors' IDs in their order. A claim carries
// it, so that an acceptor can detect an entry with another VM list.
func AcceptorsHash(nodes []qlring.Node) uint64 {
	var ids strings.Builder
	for _, node := range nodes {
		ids.WriteString(node.ID())
		ids.WriteByte(0)
	}
	return xxhash.Sum64String(ids.String())
}

// hasHistoryOf reports whether this acceptor certainly knows the earlier claims on
// the key.
func (a *Acceptor) hasHistoryOf(now time.Duration, key string) bool {
	if len(a.vmLists) == 0 || !a.config.Connected(now) {
		return false
	}
	a.dropOldLists(now)
	for i := range a.vmLists {
		if !contains(a.vmLists[i].ring.Spread(key, AcceptorCount), a.config.Self) {
			return false
		}
	}
	return now >= a.retention || a.copiedOtherAcceptors(key)
}

// copiedOtherAcceptors reports whether the claims of all other acceptors of the key
// were copied, for each VM list in vmLists. The sender of a copy must have used
// that list or a later one: with an earlier list, it might have granted the key
// after the copy to an entry that did not know of this router.
func (a *Acceptor) copiedOtherAcceptors(key string) bool {
	for i := range a.vmLists {
		for _, node := range a.vmLists[i].ring.Spread(key, AcceptorCount) {
			if node.ID() != a.config.Self && a.copiedRevisions[node.ID()] < a.vmLists[i].revision {
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

// MissingCopies returns the IDs of the listed routers whose claims have not been
// copied under the current VM list or a later one. It returns none once the
// retention time has passed since the start, because copies aren't needed then.
func (a *Acceptor) MissingCopies(now time.Duration) []string {
	if len(a.vmLists) == 0 || now >= a.retention {
		return nil
	}
	var missing []string
	last := a.vmLists[len(a.vmLists)-1]
	for _, node := range last.ring.Nodes() {
		if node.ID() != a.config.Self && a.copiedRevisions[node.ID()] < last.revision {
			missing = append(missing, node.ID())
		}
	}
	return missing
}

// Copy returns the messages with the claims on all keys of which a newly started
// router is an acceptor. Each message says whether this router's claim history is
// complete.
func (a *Acceptor) Copy(now time.Duration, to qlring.Node) []*qlwire.ClaimCopy {
	complete := a.hasFullHistory(now)
	var records []*qlwire.ClaimRecord
	if len(a.vmLists) > 0 {
		records = a.recordsFor(now, to)
	}
	revision := uint64(0)
	if len(a.vmLists) > 0 {
		revision = a.vmLists[len(a.vmLists)-1].revision
	}
	var copies []*qlwire.ClaimCopy
	for {
		batch := records[:min(len(records), _maxClaimsPerCopy)]
		records = records[len(batch):]
		copies = append(copies, &qlwire.ClaimCopy{
			Vouched:      complete,
			More:         len(records) > 0,
			Claims:       batch,
			ListRevision: revision,
		})
		if len(records) == 0 {
			return copies
		}
	}
}

// hasFullHistory reports whether this acceptor's claim history is complete for
// keys in general, without checking one key's acceptors.
func (a *Acceptor) hasFullHistory(now time.Duration) bool {
	if len(a.vmLists) == 0 || !a.config.Connected(now) {
		return false
	}
	return now >= a.retention || len(a.MissingCopies(now)) == 0
}

// recordsFor returns the live claims on the keys of which the router is an
// acceptor, sorted. The router counts as listed even if it isn't yet.
func (a *Acceptor) recordsFor(now time.Duration, to qlring.Node) []*qlwire.ClaimRecord {
	nodes := a.currentRing().Nodes()
	if !contains(nodes, to.ID()) {
		nodes = append(append([]qlring.Node(nil), nodes...), to)
	}
	ring := qlring.New(nodes)
	var records []*qlwire.ClaimRecord
	for key, claims := range a.claims {
		if !contains(ring.Spread(key, AcceptorCount), to.ID()) {
			continue
		}
		for _, c := range claims {
			if now < c.expiresAt {
				records = append(records, c.record(now, key))
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
		Request:  c.requestName,
		Owner:    c.owner,
		Attempt:  c.attempt,
		Left:     int64(c.expiresAt - now),
	}
}

// ApplyCopy records the claims in a copy from another router. All claims on a key
// are kept. If only the first were kept and then released, the key would be free
// although another attempt holds it.
func (a *Acceptor) ApplyCopy(now time.Duration, from string, copied *qlwire.ClaimCopy) {
	for _, record := range copied.GetClaims() {
		if !a.isReleased(record.GetOwner(), record.GetAttempt()) {
			a.addCopy(now, record)
		}
	}
	if copied.GetVouched() && !copied.GetMore() {
		a.copiedRevisions[from] = max(a.copiedRevisions[from], copied.GetListRevision())
	}
}

func (a *Acceptor) addCopy(now time.Duration, record *qlwire.ClaimRecord) {
	key := string(record.GetKey())
	claims := a.liveClaims(now, key)
	if findClaim(claims, record.GetOwner(), record.GetAttempt()) != nil {
		return
	}
	a.claims[key] = append(claims, &claim{
		owner:       record.GetOwner(),
		attempt:     record.GetAttempt(),
		bodyHash:    string(record.GetBodyHash()),
		requestName: record.GetRequest(),
		copied:      true,
		expiresAt:   now + time.Duration(record.GetLeft()),
	})
}

// Tick drops expired claims and expired records of released attempts.
func (a *Acceptor) Tick(now time.Duration) {
	if now < a.sweepAt {
		return
	}
	a.sweepAt = now + time.Second
	for key := range a.claims {
		a.liveClaims(now, key)
	}
	for id, until := range a.released {
		if now >= until {
			delete(a.released, id)
		}
	}
}

// Len returns the number of keys with claims.
func (a *Acceptor) Len() int {
	return len(a.claims)
}

// HistoryComplete reports whether the acceptor's claim history is complete, so that
// it can grant keys of which it is an acceptor.
func (a *Acceptor) HistoryComplete(now time.Duration) bool {
	return a.hasFullHistory(now)
}
