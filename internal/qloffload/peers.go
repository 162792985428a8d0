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
	// avoidedUntil holds the routers that are not asked at present.
	avoidedUntil map[string]time.Duration
}

// NewPeers returns Peers without any.
func NewPeers() *Peers {
	return &Peers{
		avoidedUntil: make(map[string]time.Duration),
	}
}

// Set replaces the peers.
func (p *Peers) Set(now time.Duration, peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = peers
	for address, until := range p.avoidedUntil {
		if now >= until {
			delete(p.avoidedUntil, address)
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
	if now < p.avoidedUntil[peer.address] {
		return 0
	}
	return float64(peer.capacity)
}

// Declined records that a peer has declined a request.
func (p *Peers) Declined(now time.Duration, address string) {
	p.avoid(address, now+_declinedPause)
}

// Unreachable records that a peer could not be reached, or broke a connection.
func (p *Peers) Unreachable(now time.Duration, address string) {
	p.avoid(address, now+_unreachablePause)
}

func (p *Peers) avoid(address string, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidedUntil[address] = max(p.avoidedUntil[address], until)
}

// Count returns the number of peers.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}
