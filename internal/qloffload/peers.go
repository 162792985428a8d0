package qloffload

import (
	"sync"
	"time"
)

const (
	// _declinedPause is how long a router is not asked again after it has declined a
	// request, and _unreachablePause after it could not be reached.
	_declinedPause    = 200 * time.Millisecond
	_unreachablePause = 2 * time.Second
	// _capacityPerCore is the capacity of a VM with one core.
	_capacityPerCore = 1000
)

// Peer is a router that may take requests.
type Peer struct {
	address  string
	capacity uint32
}

// NewPeer returns the peer that accepts offloaded requests at the address, on a VM with the
// processor capacity, in thousandths of a core.
func NewPeer(address string, capacity uint32) Peer {
	return Peer{
		address:  address,
		capacity: capacity,
	}
}

// Peers chooses the router that takes a request: at random, by the room that each has told, or
// by the size of its VM before it has told any, so that routers that offload at the same time
// do not choose the same one. A router is asked for no more than its room: what it would
// decline costs both routers as much as a request that it takes. It is safe for concurrent
// use.
type Peers struct {
	mu    sync.Mutex
	peers []Peer
	// rooms holds what routers have told.
	rooms map[string]*room
	// avoided holds the routers that are not asked at present.
	avoided map[string]pause
}

// room is how many requests a router takes from this one.
type room struct {
	// rate is in requests a second.
	rate float64
	// tokens is how many it takes at once, as of refilledAt.
	tokens     float64
	refilledAt time.Duration
}

// refill returns how many requests the router takes at once.
func (r *room) refill(now time.Duration) float64 {
	most := 0.0
	if r.rate > 0 {
		most = max(r.rate*_burstTime.Seconds(), 1)
	}
	r.tokens = min(r.tokens+r.rate*(now-r.refilledAt).Seconds(), most)
	r.refilledAt = now
	return r.tokens
}

// pause is a time for which a router is not asked.
type pause struct {
	until time.Duration
	// unreachable is set if the router could not be reached, unset if it has declined.
	unreachable bool
}

// NewPeers returns Peers without any.
func NewPeers() *Peers {
	return &Peers{
		avoided: make(map[string]pause),
		rooms:   make(map[string]*room),
	}
}

// Set replaces the peers.
func (p *Peers) Set(now time.Duration, peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = peers
	for address, pause := range p.avoided {
		if now >= pause.until {
			delete(p.avoided, address)
		}
	}
}

// Choose returns the address of a peer, or false if there is none at present. chance is a
// uniform random number in [0, 1).
func (p *Peers) Choose(now time.Duration, chance float64) (address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0.0
	for _, peer := range p.peers {
		total += p.weight(now, peer)
	}
	rest := chance * total
	for _, peer := range p.peers {
		weight := p.weight(now, peer)
		if rest < weight {
			if known := p.rooms[peer.address]; known != nil {
				known.tokens--
			}
			return peer.address, true
		}
		rest -= weight
	}
	return "", false
}

// weight returns the rate at which a router takes requests, or 0 if it takes none now.
func (p *Peers) weight(now time.Duration, peer Peer) float64 {
	if now < p.avoided[peer.address].until {
		return 0
	}
	known := p.rooms[peer.address]
	switch {
	case known == nil:
		return _requestsPerCore * float64(peer.capacity) / _capacityPerCore
	case known.refill(now) < 1:
		return 0
	}
	return known.rate
}

// SetRoom records the rate of requests that a router takes from this one, in requests a
// second, as it has told.
func (p *Peers) SetRoom(now time.Duration, address string, rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.rooms[address]
	if known == nil {
		known = &room{
			tokens:     rate * _burstTime.Seconds(),
			refilledAt: now,
		}
		p.rooms[address] = known
	}
	known.refill(now)
	known.rate = rate
	if rate == 0 {
		known.tokens = 0
	}
}

// forgetRoom records that a router can tell nothing any more.
func (p *Peers) forgetRoom(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.rooms, address)
}

// Offers reports whether a peer takes a request at present, and why not.
func (p *Peers) Offers(now time.Duration) (ok bool, reason Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		if p.weight(now, peer) > 0 {
			return true, 0
		}
	}
	return false, p.avoidReason(now)
}

// Declined records that a peer has declined a request.
func (p *Peers) Declined(now time.Duration, address string) {
	p.avoid(address, pause{
		until: now + _declinedPause,
	})
}

// Unreachable records that a peer could not be reached, or broke a connection.
func (p *Peers) Unreachable(now time.Duration, address string) {
	p.avoid(address, pause{
		until:       now + _unreachablePause,
		unreachable: true,
	})
}

// Silent records that a peer sends nothing, though it owes answers.
func (p *Peers) Silent(now time.Duration, address string) {
	p.avoid(address, pause{
		until:       now + _silentPause,
		unreachable: true,
	})
}

func (p *Peers) avoid(address string, next pause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next.until > p.avoided[address].until {
		p.avoided[address] = next
	}
}

// reason returns why no peer was chosen.
func (p *Peers) reason(now time.Duration) Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.avoidReason(now)
}

// avoidReason returns why no peer is asked at present. The caller holds the lock.
func (p *Peers) avoidReason(now time.Duration) Reason {
	if len(p.peers) == 0 {
		return NoPeers
	}
	reason := AllUnreachable
	for _, peer := range p.peers {
		switch pause := p.avoided[peer.address]; {
		case now >= pause.until:
			return NoRoom
		case !pause.unreachable:
			reason = AllDeclined
		}
	}
	return reason
}

// Count returns the number of peers.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}
