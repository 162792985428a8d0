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

// Peers chooses the router that takes a request: at random, by the size of the VMs, so that
// routers that offload at the same time do not choose the same one. It is safe for
// concurrent use.
type Peers struct {
	mu    sync.Mutex
	peers []Peer
	// avoided holds the routers that are not asked at present.
	avoided map[string]pause
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
			return peer.address, true
		}
		rest -= weight
	}
	return "", false
}

func (p *Peers) weight(now time.Duration, peer Peer) float64 {
	if now < p.avoided[peer.address].until {
		return 0
	}
	return float64(peer.capacity)
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

func (p *Peers) avoid(address string, next pause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next.until > p.avoided[address].until {
		p.avoided[address] = next
	}
}

// avoidReason returns why no peer is asked at present.
func (p *Peers) avoidReason(now time.Duration) Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.peers) == 0 {
		return NoPeers
	}
	for _, peer := range p.peers {
		if pause := p.avoided[peer.address]; now < pause.until && !pause.unreachable {
			return AllDeclined
		}
	}
	return AllUnreachable
}

// Count returns the number of peers.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}
