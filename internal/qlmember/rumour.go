package qlmember

import (
	"math/bits"
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

type rumour struct {
	update *qlwire.MemberUpdate
	left   int
}

func (m *Members) set(now time.Duration, id string, known *member, incarnation uint64, state State) {
	before := known.state
	known.incarnation = incarnation
	known.state = state
	m.countSuspects()
	if state == Suspect {
		known.suspectedAt = now
	}
	if before == Suspect && state == Alive {
		m.falseAlarms++
	}
	m.spread(id, incarnation, state)
	if (before == Dead) != (state == Dead) {
		if state == Dead {
			m.config.OnMemberGone(id)
		}
		m.config.OnLiveChange()
	}
}

func (m *Members) countSuspects() {
	m.suspects = 0
	for _, known := range m.members {
		if known.state == Suspect {
			m.suspects++
		}
	}
}

// spread starts a rumour; it rides on a number of probes that grows with the
// logarithm of the fleet.
func (m *Members) spread(id string, incarnation uint64, state State) {
	m.rumours[id] = &rumour{
		update: &qlwire.MemberUpdate{
			Id:          id,
			Incarnation: incarnation,
			State:       uint32(state),
		},
		left: 3 * bits.Len(uint(len(m.members)+1)),
	}
}

func (m *Members) digest(to string) *qlwire.Digest {
	digest := m.config.Digest()
	// A router that is suspected must hear it, or it cannot contradict.
	if known := m.members[to]; known != nil && known.state != Alive {
		digest.Updates = append(digest.Updates, &qlwire.MemberUpdate{
			Id:          to,
			Incarnation: known.incarnation,
			State:       uint32(known.state),
		})
	}
	ids := make([]string, 0, len(m.rumours))
	for id := range m.rumours {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := m.rumours[ids[i]], m.rumours[ids[j]]
		if a.left != b.left {
			return a.left > b.left
		}
		return ids[i] < ids[j]
	})
	for _, id := range ids[:min(len(ids), _updatesPerProbe)] {
		r := m.rumours[id]
		digest.Updates = append(digest.Updates, r.update)
		if r.left--; r.left <= 0 {
			delete(m.rumours, id)
		}
	}
	return digest
}

func (m *Members) hear(now time.Duration, from string, digest *qlwire.Digest) {
	m.MarkHeard(now, from)
	if digest == nil {
		return
	}
	if known := m.members[from]; known != nil && known.leaving != digest.GetLeaving() {
		known.leaving = digest.GetLeaving()
		m.config.OnLiveChange()
	}
	for _, update := range digest.GetUpdates() {
		m.apply(now, update.GetId(), update.GetIncarnation(), State(update.GetState()))
	}
	m.config.OnDigest(from, digest)
}

// apply takes news of a member. Higher incarnations go first; within one,
// death goes before suspicion and suspicion before life.
func (m *Members) apply(now time.Duration, id string, incarnation uint64, state State) {
	if id == m.config.Self {
		if state != Alive && incarnation >= m.incarnation {
			m.incarnation = incarnation + 1
			m.spread(id, m.incarnation, Alive)
		}
		return
	}
	known := m.members[id]
	if known == nil || incarnation < known.incarnation {
		return
	}
	if incarnation == known.incarnation && state <= known.state {
		return
	}
	if state == known.state {
		known.incarnation = incarnation
		return
	}
	m.set(now, id, known, incarnation, state)
}
