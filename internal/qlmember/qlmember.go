// Package qlmember decides which of the listed routers answer.
//
// The platform's VM list says who may be a member and lags. Each router
// probes one other at a time, in a shuffled order, and asks a few others to
// probe it when it does not answer. One that answers nobody is suspected,
// and after a while taken for dead. Rumours of suspicion and death ride on
// probes; a router that hears one about itself contradicts it with a higher
// incarnation. Traffic for each router does not grow with the fleet.
//
// Views differ between routers at any time, and both sides of a partition
// take each other for dead. Nothing here prevents that; docs/DESIGN.md says
// for each use of a view why that is safe.
//
// # Usage
//
//	m := qlmember.New(qlmember.Config{Self: "r1", Zone: "z1", Incarnation: start, Send: send, Random: random})
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

// State is what a router believes of another.
type State uint32

// The states, by rising precedence within an incarnation.
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
	// DefaultProbeTimeout is the wait for an answer before others are asked.
	DefaultProbeTimeout = 150 * time.Millisecond
	// DefaultSuspicionTimeout is the time from suspicion to death.
	DefaultSuspicionTimeout = 2 * time.Second
	_indirectProbes         = 2
	// _updatesPerProbe bounds the rumours on one probe.
	_updatesPerProbe = 6
	// _revisionPush is how many peers hear of a new revision at once.
	_revisionPush = 2
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
	// Digest returns what rides on probes; rumours are added here.
	Digest func() *qlwire.Digest
	// Heard receives each digest from a member.
	OnDigest func(from string, digest *qlwire.Digest)
	// Changed is called after the set of live members changed.
	OnLiveChange func()
	// Died is called for each member taken for dead or gone from the list.
	OnMemberGone func(id string)
}

// ListedRouter is one router of the platform's VM list.
type ListedRouter struct {
	ID      string
	Zone    string
	Address string
	Leaving bool
}

type member struct {
	listed      ListedRouter
	incarnation uint64
	state       State
	leaving     bool
	suspectedAt time.Duration
	heardAt     time.Duration
	heard       bool
}

type pendingProbe struct {
	target   string
	sequence uint64
	sentAt   time.Duration
	indirect bool
	answered bool
}

type relay struct {
	origin   string
	sequence uint64
}

// Members is one router's view. It is not safe for several goroutines.
type Members struct {
	config       Config
	listRevision uint64
	members      map[string]*member
	order        []string
	// sorted holds the members' ids, or nil after a change.
	sorted      []string
	next        int
	sequence    uint64
	probe       *pendingProbe
	nextProbeAt time.Duration
	incarnation uint64
	rumours     map[string]*rumour
	relays      map[uint64]relay
	falseAlarms uint64
	suspects    int
}

// New returns a view with no other member.
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
		rumours:     make(map[string]*rumour),
		relays:      make(map[uint64]relay),
	}
}

// SetList takes the VM list under its revision; an older one is ignored.
// Routers new to it are taken for alive until they fail to answer.
func (m *Members) SetList(now time.Duration, revision uint64, list []ListedRouter) bool {
	if revision <= m.listRevision {
		return false
	}
	m.listRevision = revision
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
		if l.ID == m.config.Self {
			continue
		}
		known := m.members[l.ID]
		if known == nil {
			known = &member{
				state:   Alive,
				heardAt: now,
			}
			m.members[l.ID] = known
			m.sorted = nil
			m.insert(l.ID)
		}
		known.listed = l
	}
	for _, id := range m.IDs() {
		if !listed[id] {
			m.remove(id)
		}
	}
	m.config.OnLiveChange()
	return true
}

func (m *Members) insert(id string) {
	at := 0
	if len(m.order) > 0 {
		at = m.config.Random.IntN(len(m.order) + 1)
	}
	m.order = append(m.order, "")
	copy(m.order[at+1:], m.order[at:])
	m.order[at] = id
}

func (m *Members) remove(id string) {
	delete(m.members, id)
	m.sorted = nil
	delete(m.rumours, id)
	for i, other := range m.order {
		if other == id {
			m.order = append(m.order[:i], m.order[i+1:]...)
			break
		}
	}
	m.config.OnMemberGone(id)
}

// IDs returns the other listed routers, sorted. The caller must not change
// the slice.
func (m *Members) IDs() []string {
	if m.sorted == nil {
		for id := range m.members {
			m.sorted = append(m.sorted, id)
		}
		sort.Strings(m.sorted)
	}
	return m.sorted
}

// ListRevision returns the revision of the VM list in use.
func (m *Members) ListRevision() uint64 {
	return m.listRevision
}

// Address returns a member's address, or "".
func (m *Members) Address(id string) string {
	if known := m.members[id]; known != nil {
		return known.listed.Address
	}
	return ""
}

// Live returns this router and those that answer and are not leaving.
func (m *Members) Live() []qlring.Node {
	nodes := []qlring.Node{qlring.NewNode(m.config.Self, m.config.Zone)}
	for _, id := range m.IDs() {
		if known := m.members[id]; known.state != Dead && !known.leaving && !known.listed.Leaving {
			nodes = append(nodes, qlring.NewNode(id, known.listed.Zone))
		}
	}
	return nodes
}

// Listed returns this router and all others of the VM list, dead or alive.
func (m *Members) Listed() []qlring.Node {
	nodes := []qlring.Node{qlring.NewNode(m.config.Self, m.config.Zone)}
	for _, id := range m.IDs() {
		nodes = append(nodes, qlring.NewNode(id, m.members[id].listed.Zone))
	}
	return nodes
}

// Zone returns a listed router's zone.
func (m *Members) Zone(id string) string {
	if id == m.config.Self {
		return m.config.Zone
	}
	if known := m.members[id]; known != nil {
		return known.listed.Zone
	}
	return ""
}

// HeardWithin counts the listed routers, this one included, that were heard
// within the age.
func (m *Members) HeardWithin(now, age time.Duration) int {
	count := 1
	for _, known := range m.members {
		if known.heard && now-known.heardAt <= age {
			count++
		}
	}
	return count
}

// MarkHeard marks a member as heard: any message is a sign of life.
func (m *Members) MarkHeard(now time.Duration, id string) {
	known := m.members[id]
	if known == nil {
		return
	}
	known.heardAt = now
	known.heard = true
}

// Tick sends the next probe when it is due and judges the one before.
func (m *Members) Tick(now time.Duration) {
	m.askOthers(now)
	if now >= m.nextProbeAt {
		m.conclude(now)
		m.startProbe(now)
		// Jitter keeps a fleet that started at once from probing in step.
		jitter := time.Duration(m.config.Random.Int64N(int64(m.config.ProbeInterval) / 4))
		m.nextProbeAt = now + m.config.ProbeInterval - m.config.ProbeInterval/8 + jitter
	}
	m.expireSuspects(now)
}

func (m *Members) startProbe(now time.Duration) {
	if len(m.order) == 0 {
		return
	}
	m.next++
	if m.next >= len(m.order) {
		m.next = 0
		m.config.Random.Shuffle(len(m.order), func(i, j int) {
			m.order[i], m.order[j] = m.order[j], m.order[i]
		})
	}
	m.sequence++
	m.probe = &pendingProbe{
		target:   m.order[m.next],
		sequence: m.sequence,
		sentAt:   now,
	}
	m.sendProbe(m.probe.target, m.sequence)
}

func (m *Members) sendProbe(to string, sequence uint64) {
	m.config.Send(to, &qlwire.Message{
		Body: &qlwire.Message_Probe{
			Probe: &qlwire.Probe{
				Sequence: sequence,
				Digest:   m.digest(to),
			},
		},
	})
}

// PushDigest tells a few random members of a new revision at once.
func (m *Members) PushDigest() {
	for range min(_revisionPush, len(m.order)) {
		m.sequence++
		m.sendProbe(m.order[m.config.Random.IntN(len(m.order))], m.sequence)
	}
}

// PushDigestToAll tells every member about a planned stop.
func (m *Members) PushDigestToAll() {
	for _, id := range m.IDs() {
		m.sequence++
		m.sendProbe(id, m.sequence)
	}
}

func (m *Members) askOthers(now time.Duration) {
	p := m.probe
	if p == nil || p.answered || p.indirect || now-p.sentAt < m.config.ProbeTimeout {
		return
	}
	p.indirect = true
	asked := 0
	for _, i := range m.config.Random.Perm(len(m.order)) {
		id := m.order[i]
		if asked == _indirectProbes {
			return
		}
		if id == p.target || m.members[id].state != Alive {
			continue
		}
		asked++
		m.config.Send(id, &qlwire.Message{
			Body: &qlwire.Message_IndirectProbe{
				IndirectProbe: &qlwire.IndirectProbe{
					Sequence: p.sequence,
					Subject:  p.target,
				},
			},
		})
	}
}

func (m *Members) conclude(now time.Duration) {
	p := m.probe
	m.probe = nil
	if p == nil || p.answered {
		return
	}
	known := m.members[p.target]
	if known == nil || known.state != Alive {
		return
	}
	m.set(now, p.target, known, known.incarnation, Suspect)
}

func (m *Members) expireSuspects(now time.Duration) {
	if m.suspects == 0 {
		return
	}
	for _, id := range m.IDs() {
		known := m.members[id]
		if known.state == Suspect && now-known.suspectedAt >= m.config.SuspicionTimeout {
			m.set(now, id, known, known.incarnation, Dead)
		}
	}
}

// ReceiveProbe takes a probe and answers its sender.
func (m *Members) ReceiveProbe(now time.Duration, from string, probe *qlwire.Probe) {
	m.hear(now, from, probe.GetDigest())
	m.config.Send(from, &qlwire.Message{
		Body: &qlwire.Message_ProbeAck{
			ProbeAck: &qlwire.ProbeAck{
				Sequence:           probe.GetSequence(),
				Digest:             m.digest(from),
				SubjectIncarnation: m.incarnation,
			},
		},
	})
}

// ReceiveIndirectProbe probes a subject on behalf of another router.
func (m *Members) ReceiveIndirectProbe(from string, request *qlwire.IndirectProbe) {
	if m.members[request.GetSubject()] == nil {
		return
	}
	m.sequence++
	if len(m.relays) > 2*len(m.members)+16 {
		// Unanswered relays are of no use once there are this many.
		clear(m.relays)
	}
	m.relays[m.sequence] = relay{
		origin:   from,
		sequence: request.GetSequence(),
	}
	m.sendProbe(request.GetSubject(), m.sequence)
}

// ReceiveAck takes the answer to a probe, relaying it where it was asked for.
func (m *Members) ReceiveAck(now time.Duration, from string, ack *qlwire.ProbeAck) {
	m.hear(now, from, ack.GetDigest())
	if r, ok := m.relays[ack.GetSequence()]; ok && ack.GetSubject() == "" {
		delete(m.relays, ack.GetSequence())
		m.config.Send(r.origin, &qlwire.Message{
			Body: &qlwire.Message_ProbeAck{
				ProbeAck: &qlwire.ProbeAck{
					Sequence:           r.sequence,
					Subject:            from,
					SubjectIncarnation: ack.GetSubjectIncarnation(),
				},
			},
		})
		return
	}
	subject := from
	if ack.GetSubject() != "" {
		subject = ack.GetSubject()
	}
	if p := m.probe; p != nil && p.target == subject && p.sequence == ack.GetSequence() {
		p.answered = true
	}
	m.apply(now, subject, ack.GetSubjectIncarnation(), Alive)
}

// FalseAlarms counts the suspicions that were contradicted in time.
func (m *Members) FalseAlarms() uint64 {
	return m.falseAlarms
}

// MemberState is one member's state for dumps.
type MemberState struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Leaving     bool   `json:"leaving"`
	Incarnation uint64 `json:"incarnation"`
}

// State returns the view for dumps, sorted.
func (m *Members) State() []MemberState {
	states := make([]MemberState, 0, len(m.members))
	for _, id := range m.IDs() {
		known := m.members[id]
		states = append(states, MemberState{
			ID:          id,
			Zone:        known.listed.Zone,
			State:       known.state.String(),
			Leaving:     known.leaving || known.listed.Leaving,
			Incarnation: known.incarnation,
		})
	}
	return states
}
