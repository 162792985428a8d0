package qlmember

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// pendingProbe is a probe of the current interval. indirect is set once other
// routers were asked to probe its target.
type pendingProbe struct {
	target string
	// incarnation is that of the target when the probe was sent. A target that was
	// started again since then need not have received it.
	incarnation uint64
	sequence    uint64
	sentAt      time.Duration
	indirect    bool
	answered    bool
}

// relay is where to relay the answer to an indirect probe: the router that
// asked for it, and the sequence number of that router's own probe.
type relay struct {
	origin   string
	sequence uint64
}

func (m *Members) startProbe(now time.Duration) {
	if len(m.probeOrder) == 0 {
		return
	}
	m.nextIndex++
	if m.nextIndex >= len(m.probeOrder) {
		m.nextIndex = 0
		m.config.Random.Shuffle(len(m.probeOrder), func(i, j int) {
			m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
		})
	}
	m.probe(now, m.probeOrder[m.nextIndex])
}

// probeFollowers probes the next members after this one, by id, that are taken for alive.
// Every member follows another one that is alive, so after the loss of many each lost one
// is probed soon, however few routers are left to probe at random.
func (m *Members) probeFollowers(now time.Duration, count int) {
	ids := m.IDs()
	start := sort.SearchStrings(ids, m.config.Self)
	for i := 0; i < len(ids) && count > 0; i++ {
		id := ids[(start+i)%len(ids)]
		if m.members[id].state == Alive && !m.isProbed(id) {
			m.probe(now, id)
			count--
		}
	}
}

func (m *Members) isProbed(id string) bool {
	for _, p := range m.probes {
		if p.target == id {
			return true
		}
	}
	return false
}

func (m *Members) probe(now time.Duration, target string) {
	m.sequence++
	probe := &pendingProbe{
		target:      target,
		incarnation: m.members[target].incarnation,
		sequence:    m.sequence,
		sentAt:      now,
	}
	m.probes = append(m.probes, probe)
	m.sendProbe(probe.target, probe.sequence)
}

func (m *Members) sendProbe(to string, sequence uint64) {
	m.config.Send(to, &qlwire.Message{
		Body: &qlwire.Message_Probe{
			Probe: &qlwire.Probe{
				Sequence: sequence,
				Digest:   m.newDigest(to),
			},
		},
	})
}

// PushDigest sends probes to a few random members, so that a new revision in
// the digest spreads at once.
func (m *Members) PushDigest() {
	for range min(_pushRecipients, len(m.probeOrder)) {
		m.sequence++
		m.sendProbe(m.probeOrder[m.config.Random.IntN(len(m.probeOrder))], m.sequence)
	}
}

// PushDigestToAll sends a probe to every member, so that the digest, which
// announces a planned stop, reaches all of them at once.
func (m *Members) PushDigestToAll() {
	for _, id := range m.IDs() {
		m.sequence++
		m.sendProbe(id, m.sequence)
	}
}

func (m *Members) sendIndirectProbes(now time.Duration) {
	for _, p := range m.probes {
		if !p.answered && !p.indirect && now-p.sentAt >= m.config.ProbeTimeout {
			m.sendIndirectProbe(p)
		}
	}
}

// sendIndirectProbe asks a few other routers to probe the target of a probe.
func (m *Members) sendIndirectProbe(p *pendingProbe) {
	p.indirect = true
	sent := 0
	for _, i := range m.config.Random.Perm(len(m.probeOrder)) {
		id := m.probeOrder[i]
		if sent == _indirectProbeCount {
			return
		}
		if id == p.target || m.members[id].state != Alive {
			continue
		}
		sent++
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

// concludeProbes suspects the targets of the last probes from which nobody got an
// answer, tells them so, and returns how many there are. Probes that this process evaluates late
// say nothing: it may not have read the answers yet.
func (m *Members) concludeProbes(now time.Duration) (failed int) {
	for _, p := range m.probes {
		peer := m.members[p.target]
		if p.answered || peer == nil || peer.state != Alive || peer.incarnation != p.incarnation {
			continue
		}
		if now-p.sentAt >= _lateFactor*m.config.ProbeInterval {
			continue
		}
		failed++
		m.setState(now, p.target, peer, peer.incarnation, Suspect)
		// The probe's digest tells the target, which refutes it in time if it is only late.
		m.sequence++
		m.sendProbe(p.target, m.sequence)
	}
	m.probes = m.probes[:0]
	return failed
}

// ReceiveProbe applies a probe's digest and answers its sender.
func (m *Members) ReceiveProbe(now time.Duration, from string, probe *qlwire.Probe) {
	m.receiveDigest(now, from, probe.GetDigest())
	digest := m.newDigest(from)
	m.config.Send(from, &qlwire.Message{
		Body: &qlwire.Message_ProbeAck{
			ProbeAck: &qlwire.ProbeAck{
				Sequence:           probe.GetSequence(),
				Digest:             digest,
				SubjectIncarnation: m.incarnation,
				SubjectLeaving:     digest.GetLeaving(),
			},
		},
	})
}

// ReceiveIndirectProbe probes a subject on behalf of the router that asks for
// it; ReceiveAck relays the answer.
func (m *Members) ReceiveIndirectProbe(from string, request *qlwire.IndirectProbe) {
	if m.members[request.GetSubject()] == nil {
		return
	}
	m.sequence++
	if len(m.relays) > 2*len(m.members)+16 {
		// So many relays are left only if most probes were not answered in
		// time, and then the relays are no longer of use.
		clear(m.relays)
	}
	m.relays[m.sequence] = relay{
		origin:   from,
		sequence: request.GetSequence(),
	}
	m.sendProbe(request.GetSubject(), m.sequence)
}

// ReceiveAck applies the answer to a probe, and relays it if the probe was sent
// on behalf of another router.
func (m *Members) ReceiveAck(now time.Duration, from string, ack *qlwire.ProbeAck) {
	m.receiveDigest(now, from, ack.GetDigest())
	if r, ok := m.relays[ack.GetSequence()]; ok && ack.GetSubject() == "" {
		delete(m.relays, ack.GetSequence())
		m.config.Send(r.origin, &qlwire.Message{
			Body: &qlwire.Message_ProbeAck{
				ProbeAck: &qlwire.ProbeAck{
					Sequence:           r.sequence,
					Subject:            from,
					SubjectIncarnation: ack.GetSubjectIncarnation(),
					SubjectLeaving:     ack.GetSubjectLeaving(),
				},
			},
		})
		return
	}
	subject := from
	if ack.GetSubject() != "" {
		subject = ack.GetSubject()
	}
	for _, p := range m.probes {
		if p.target == subject && p.sequence == ack.GetSequence() {
			p.answered = true
		}
	}
	m.applyUpdate(now, subject, ack.GetSubjectIncarnation(), Alive, ack.GetSubjectLeaving())
}
