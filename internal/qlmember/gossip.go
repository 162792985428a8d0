package qlmember

import (
	"math/bits"
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// gossipUpdate is an update about a member that is still to be sent along with
// sendsLeft probes or answers.
type gossipUpdate struct {
	update    *qlwire.MemberUpdate
	sendsLeft int
}

// setState sets a member's state and gossips it. It reports a member that died,
// and any change of the set of live members, to the Config's functions.
func (m *Members) setState(now time.Duration, id string, peer *member, incarnation uint64, state State) {
	previous := peer.state
	peer.incarnation = incarnation
	peer.state = state
	m.countSuspects()
	switch state {
	case Suspect:
		peer.suspectedAt = now
	case Dead:
		peer.deadSince = now
	case Alive:
	}
	if previous == Suspect && state == Alive {
		m.falseSuspicions++
	}
	m.gossipState(id, incarnation, state, peer.leaving)
	if (previous == Dead) != (state == Dead) {
		if state == Dead {
			m.config.OnMemberGone(id)
		}
		m.config.OnLiveChange()
	}
}

func (m *Members) countSuspects() {
	m.suspectCount = 0
	for _, peer := range m.members {
		if peer.state == Suspect {
			m.suspectCount++
		}
	}
}

// gossipState starts to gossip a member's state. The update is sent along with
// a number of probes and answers that grows with the logarithm of the fleet's
// size.
func (m *Members) gossipState(id string, incarnation uint64, state State, leaving bool) {
	m.gossip[id] = &gossipUpdate{
		update: &qlwire.MemberUpdate{
			Id:          id,
			Incarnation: incarnation,
			State:       uint32(state),
			Leaving:     leaving,
		},
		sendsLeft: 3 * bits.Len(uint(len(m.members)+1)),
	}
}

// newDigest returns the digest for a probe or an answer to a router, with up to
// _maxUpdatesPerProbe gossip updates. Those with the most sends left come
// first.
func (m *Members) newDigest(to string) *qlwire.Digest {
	digest := m.config.Digest()
	// A suspected router must learn of the suspicion, or it cannot refute it.
	if peer := m.members[to]; peer != nil && peer.state != Alive {
		digest.Updates = append(digest.Updates, &qlwire.MemberUpdate{
			Id:          to,
			Incarnation: peer.incarnation,
			State:       uint32(peer.state),
			Leaving:     peer.leaving,
		})
	}
	ids := make([]string, 0, len(m.gossip))
	for id := range m.gossip {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := m.gossip[ids[i]], m.gossip[ids[j]]
		if a.sendsLeft != b.sendsLeft {
			return a.sendsLeft > b.sendsLeft
		}
		return ids[i] < ids[j]
	})
	count := min(max(len(ids)/2, _updatesPerProbe), _maxUpdatesPerProbe)
	for _, id := range ids[:min(len(ids), count)] {
		pending := m.gossip[id]
		digest.Updates = append(digest.Updates, pending.update)
		if peer := m.members[to]; peer != nil && peer.state != Alive {
			// The update probably reaches nobody.
			continue
		}
		if pending.sendsLeft--; pending.sendsLeft <= 0 {
			delete(m.gossip, id)
		}
	}
	return digest
}

func (m *Members) receiveDigest(now time.Duration, from string, digest *qlwire.Digest) {
	m.MarkHeard(now, from)
	if digest == nil {
		return
	}
	if peer := m.members[from]; peer != nil && peer.leaving != digest.GetLeaving() {
		m.setLeaving(from, peer, digest.GetLeaving())
	}
	for _, update := range digest.GetUpdates() {
		m.applyUpdate(now, update.GetId(), update.GetIncarnation(), State(update.GetState()), update.GetLeaving())
	}
	m.config.OnDigest(from, digest)
}

// setLeaving records whether a member has announced a planned stop, and gossips it: the
// member itself may reach this router long before it reaches others.
func (m *Members) setLeaving(id string, peer *member, leaving bool) {
	peer.leaving = leaving
	m.gossipState(id, peer.incarnation, peer.state, leaving)
	m.config.OnLiveChange()
}

// applyUpdate applies an update about a member. A higher incarnation has
// precedence over a lower one; within an incarnation, dead has precedence over
// suspect, and suspect over alive, and leaving over not leaving. An update that
// reports this router itself as not alive is refuted by a higher incarnation.
func (m *Members) applyUpdate(now time.Duration, id string, incarnation uint64, state State, leaving bool) {
	if id == m.config.Self {
		if state != Alive && incarnation >= m.incarnation {
			m.incarnation = incarnation + 1
			m.gossipState(id, m.incarnation, Alive, m.config.Digest().GetLeaving())
		}
		return
	}
	peer := m.members[id]
	if peer == nil || incarnation < peer.incarnation || state < Alive || state > Dead {
		// A state that is unknown here, as from a later version, is ignored.
		return
	}
	isLater := incarnation > peer.incarnation
	if isLater || state > peer.state {
		if state == peer.state {
			// The member has refuted the suspicion of the earlier incarnation.
			peer.incarnation, peer.suspectedAt = incarnation, now
		} else {
			m.setState(now, id, peer, incarnation, state)
		}
	}
	if leaving != peer.leaving && (isLater || leaving) {
		m.setLeaving(id, peer, leaving)
	}
}
