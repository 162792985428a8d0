// Package qlmember detects which of the listed routers are alive, by probes and
// gossip in the manner of SWIM.
//
// The platform's VM list says which routers may be members, but it lags behind
// failures. Each router therefore probes one other router at a time, in a
// shuffled order. If that router does not answer, a few others are asked to
// probe it. A router that answers none of them is suspected, told so, and
// declared dead after SuspicionTimeout. Updates about suspected and dead members
// are sent along with probes and their answers (gossip). A router that receives
// such an update about itself refutes it with a higher incarnation. The traffic
// of each router does not grow with the fleet.
//
// Views differ between routers at any time, and both sides of a partition
// declare each other dead. Nothing here prevents that; docs/DESIGN.md says for
// each use of a view why that is safe.
//
// # Usage
//
//	m := qlmember.New(qlmember.Config{Self: "r1", Zone: "z1", Incarnation: start, Random: random, Send: send, Digest: digest, OnDigest: onDigest, OnLiveChange: onLiveChange, OnMemberGone: onMemberGone})
//	m.SetList(now, revision, listed)
//	m.Tick(now) // every few tens of milliseconds
//	live := m.Live()
package qlmember

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// State is a member's state in this router's view.
type State uint32

// The states, by rising precedence among updates of the same incarnation.
const (
	Alive State = iota + 1
	Suspect
	Dead
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "invalid"
}

const (
	// DefaultProbeInterval is the time between probes.
	DefaultProbeInterval = 500 * time.Millisecond
	// DefaultProbeTimeout is the wait for an answer before other routers are
	// asked to probe.
	DefaultProbeTimeout = 150 * time.Millisecond
	// DefaultSuspicionTimeout is how long a member is suspected before it is
	// declared dead.
	DefaultSuspicionTimeout = 2 * time.Second
	// _maxParallelProbes bounds the probes of one interval.
	_maxParallelProbes = 8
	// _lateFactor times the probe interval is the age from which on a probe is
	// evaluated late: this process was delayed.
	_lateFactor = 2
	// _indirectProbeCount is how many routers are asked to probe one that has
	// not answered.
	_indirectProbeCount = 2
	// _updatesPerProbe is the number of gossip updates on one probe or answer. When
	// many members change at once, half of the pending updates are sent, up to
	// _maxUpdatesPerProbe: with few updates a message, the loss of half of a large
	// fleet would take longer to spread than to detect.
	_updatesPerProbe    = 6
	_maxUpdatesPerProbe = 100
	// _pushRecipients is how many members PushDigest probes.
	_pushRecipients = 2
)

// Config configures Members.
type Config struct {
	Self string
	Zone string
	// Incarnation is higher than at any earlier start of this router.
	Incarnation      uint64
	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration
	SuspicionTimeout time.Duration
	Random           *rand.Rand
	// Send sends a probe, an answer or a request for an indirect probe.
	Send func(to string, message *qlwire.Message)
	// Digest returns the digest for a probe or an answer, to which gossip
	// updates are added.
	Digest func() *qlwire.Digest
	// OnDigest is called with each digest received from another router.
	OnDigest func(from string, digest *qlwire.Digest)
	// OnLiveChange is called after the VM list or the set of live members has
	// changed.
	OnLiveChange func()
	// OnMemberGone is called for each member that was declared dead or removed
	// from the VM list.
	OnMemberGone func(id string)
}

// ListedRouter is one router of the platform's VM list.
type ListedRouter struct {
	ID      string
	Zone    string
	Address string
	Leaving bool
}

// member is another listed router. Its leaving flag is from its own digests or
// gossip about them, while listed.Leaving is from the VM list.
type member struct {
	listed      ListedRouter
	incarnation uint64
	state       State
	leaving     bool
	suspectedAt time.Duration
	deadSince   time.Duration
	heardAt     time.Duration
	everHeard   bool
}

// Members is one router's view of the others. It is not safe for concurrent
// use.
type Members struct {
	config       Config
	listRevision uint64
	members      map[string]*member
	probeOrder   []string
	// sortedIDs holds the members' ids, or nil after a change.
	sortedIDs       []string
	nextIndex       int
	sequence        uint64
	probes          []*pendingProbe
	nextProbeAt     time.Duration
	incarnation     uint64
	gossip          map[string]*gossipUpdate
	relays          map[uint64]relay
	falseSuspicions uint64
	suspectCount    int
}

// New returns a view without other members.
func New(config Config) *Members {
	if config.ProbeInterval == 0 {
		config.ProbeInterval = DefaultProbeInterval
	}
	if config.ProbeTimeout == 0 {
		config.ProbeTimeout = DefaultProbeTimeout
	}
	if config.SuspicionTimeout == 0 {
		config.SuspicionTimeout = DefaultSuspicionTimeout
	}
	return &Members{
		config:      config,
		members:     make(map[string]*member),
		incarnation: config.Incarnation,
		gossip:      make(map[string]*gossipUpdate),
		relays:      make(map[uint64]relay),
	}
}

// SetList applies the VM list of the given revision and returns true; a list
// that is no newer than the one in use is ignored. Routers new to the list are
// considered alive until they fail to answer.
func (m *Members) SetList(now time.Duration, revision uint64, list []ListedRouter) bool {
	if revision <= m.listRevision {
		return false
	}
	m.listRevision = revision
	listed := make(map[string]bool, len(list))
	for _, router := range list {
		listed[router.ID] = true
		if router.ID == m.config.Self {
			continue
		}
		peer := m.members[router.ID]
		if peer == nil {
			peer = &member{
				state:   Alive,
				heardAt: now,
			}
			m.members[router.ID] = peer
			m.sortedIDs = nil
			m.insertIntoProbeOrder(router.ID)
		}
		peer.listed = router
	}
	for _, id := range m.IDs() {
		if !listed[id] {
			m.remove(id)
		}
	}
	m.config.OnLiveChange()
	return true
}

func (m *Members) insertIntoProbeOrder(id string) {
	at := 0
	if len(m.probeOrder) > 0 {
		at = m.config.Random.IntN(len(m.probeOrder) + 1)
	}
	m.probeOrder = append(m.probeOrder, "")
	copy(m.probeOrder[at+1:], m.probeOrder[at:])
	m.probeOrder[at] = id
}

func (m *Members) remove(id string) {
	delete(m.members, id)
	m.sortedIDs = nil
	delete(m.gossip, id)
	for i, target := range m.probeOrder {
		if target == id {
			m.probeOrder = append(m.probeOrder[:i], m.probeOrder[i+1:]...)
			break
		}
	}
	m.config.OnMemberGone(id)
}

// IDs returns the ids of the other listed routers, sorted. The caller must not
// change the slice.
func (m *Members) IDs() []string {
	if m.sortedIDs == nil {
		for id := range m.members {
			m.sortedIDs = append(m.sortedIDs, id)
		}
		sort.Strings(m.sortedIDs)
	}
	return m.sortedIDs
}

// ListRevision returns the revision of the VM list in use.
func (m *Members) ListRevision() uint64 {
	return m.listRevision
}

// Address returns a member's address, or "" if it is not listed.
func (m *Members) Address(id string) string {
	if peer := m.members[id]; peer != nil {
		return peer.listed.Address
	}
	return ""
}

// Live returns this router and the members that are neither dead nor leaving.
func (m *Members) Live() []qlring.Node {
	nodes := []qlring.Node{qlring.NewNode(m.config.Self, m.config.Zone)}
	for _, id := range m.IDs() {
		if peer := m.members[id]; peer.state != Dead && !peer.leaving && !peer.listed.Leaving {
			nodes = append(nodes, qlring.NewNode(id, peer.listed.Zone))
		}
	}
	return nodes
}

// Listed returns this router and all others of the VM list, whatever their
// state.
func (m *Members) Listed() []qlring.Node {
	nodes := []qlring.Node{qlring.NewNode(m.config.Self, m.config.Zone)}
	for _, id := range m.IDs() {
		nodes = append(nodes, qlring.NewNode(id, m.members[id].listed.Zone))
	}
	return nodes
}

// Zone returns a listed router's zone, or "" if it is not listed.
func (m *Members) Zone(id string) string {
	if id == m.config.Self {
		return m.config.Zone
	}
	if peer := m.members[id]; peer != nil {
		return peer.listed.Zone
	}
	return ""
}

// CountHeardWithin returns how many listed routers, this one included, have
// sent a message within the given time before now.
func (m *Members) CountHeardWithin(now, age time.Duration) int {
	count := 1
	for _, peer := range m.members {
		if peer.everHeard && now-peer.heardAt <= age {
			count++
		}
	}
	return count
}

// MarkHeard records that a message from a member has arrived. Any message shows
// that its sender was alive.
func (m *Members) MarkHeard(now time.Duration, id string) {
	peer := m.members[id]
	if peer == nil {
		return
	}
	peer.heardAt = now
	peer.everHeard = true
}

// MarkStarted records the incarnation at which a member was started, as its own
// messages or other routers state it, and whether it has announced a planned stop
// since. A member of an earlier incarnation that was taken for dead, or was leaving,
// is alive again.
func (m *Members) MarkStarted(now time.Duration, id string, incarnation uint64, leaving bool) {
	if peer := m.members[id]; peer != nil && (leaving || incarnation > peer.incarnation) {
		m.applyUpdate(now, id, incarnation, Alive, leaving)
	}
}

// IsLeaving reports whether a member has announced a planned stop.
func (m *Members) IsLeaving(id string) bool {
	peer := m.members[id]
	return peer != nil && peer.leaving
}

// MarkDead records that another router takes a member for dead in an incarnation, as
// gossip would. It has no effect if a later incarnation is known.
func (m *Members) MarkDead(now time.Duration, id string, incarnation uint64) {
	m.applyUpdate(now, id, incarnation, Dead, m.IsLeaving(id))
}

// DeadFor returns for how long a member has been taken for dead; 0 if it is not.
func (m *Members) DeadFor(now time.Duration, id string) time.Duration {
	if !m.IsDead(id) {
		return 0
	}
	return now - m.members[id].deadSince
}

// IsDead reports whether a member is taken for dead.
func (m *Members) IsDead(id string) bool {
	peer := m.members[id]
	return peer != nil && peer.state == Dead
}

// Incarnation returns the latest known incarnation of a member or of this router; 0 if
// it is not listed.
func (m *Members) Incarnation(id string) uint64 {
	if id == m.config.Self {
		return m.incarnation
	}
	if peer := m.members[id]; peer != nil {
		return peer.incarnation
	}
	return 0
}

// Tick sends the next probe when it is due, after evaluating the one before. It
// asks other routers to probe a router that has not answered in time, and
// declares members dead that were suspected for SuspicionTimeout.
func (m *Members) Tick(now time.Duration) {
	m.sendIndirectProbes(now)
	if now >= m.nextProbeAt {
		failed := m.concludeProbes(now)
		m.startProbe(now)
		// One failure may be one of many: while members are suspected, more are probed.
		m.probeFollowers(now, min(max(2*failed, m.suspectCount), _maxParallelProbes-1))
		// Jitter keeps routers that started at the same time from probing in
		// step.
		jitter := time.Duration(m.config.Random.Int64N(int64(m.config.ProbeInterval) / 4))
		m.nextProbeAt = now + m.config.ProbeInterval - m.config.ProbeInterval/8 + jitter
	}
	m.expireSuspects(now)
}

func (m *Members) expireSuspects(now time.Duration) {
	if m.suspectCount == 0 {
		return
	}
	for _, id := range m.IDs() {
		peer := m.members[id]
		if peer.state == Suspect && now-peer.suspectedAt >= m.config.SuspicionTimeout {
			m.setState(now, id, peer, peer.incarnation, Dead)
		}
	}
}

// FalseSuspicions returns how many suspicions were refuted before the member
// was declared dead.
func (m *Members) FalseSuspicions() uint64 {
	return m.falseSuspicions
}

// MemberState is one member's state for dumps.
type MemberState struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Leaving     bool   `json:"leaving"`
	Incarnation uint64 `json:"incarnation"`
}

// State returns the members' states for dumps, sorted by id.
func (m *Members) State() []MemberState {
	states := make([]MemberState, 0, len(m.members))
	for _, id := range m.IDs() {
		peer := m.members[id]
		states = append(states, MemberState{
			ID:          id,
			Zone:        peer.listed.Zone,
			State:       peer.state.String(),
			Leaving:     peer.leaving || peer.listed.Leaving,
			Incarnation: peer.incarnation,
		})
	}
	return states
}
