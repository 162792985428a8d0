package qlconn

import "time"

const (
	// _lossWindow is the time within which the connections to a process that ends are seen to
	// end, unless this process lags.
	_lossWindow = 100 * time.Millisecond
	// _lossMemory is how long ended connections are remembered.
	_lossMemory = time.Second
	// _recentUse is how long ago a connection may have been used that counts as lost while it
	// was idle. Upstreams close connections that are idle for longer by themselves.
	_recentUse = 2 * time.Second
)

// Loss is what this process has seen of its connections to an upstream when one of them was
// ended by the other side.
type Loss struct {
	// Ended counts those that ended within the last 100 ms: in the middle of a request, or
	// idle for two seconds at most.
	Ended int
	// Open counts those that are open.
	Open int
}

// remove forgets a connection that is closed. The caller holds the pool's mu.
func (h *hostPool) remove(c *conn) {
	if _, ok := h.conns[c]; !ok {
		return
	}
	delete(h.conns, c)
	if c.limit.endedAt.IsZero() {
		return
	}
	kept := h.endedAt[:0]
	for _, at := range h.endedAt {
		if c.limit.endedAt.Sub(at) < _lossMemory {
			kept = append(kept, at)
		}
	}
	h.endedAt = append(kept, c.limit.endedAt)
}

// Loss returns what has become of the connections to the upstream at the address, of which one
// ended at the time. It leaves out those that were opened later than 100 ms before: whoever
// holds the listener of a process that has ended may have accepted them.
func (p *Pool) Loss(address string, endedAt time.Time) Loss {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		return Loss{}
	}
	now := time.Now()
	var loss Loss
	for _, at := range h.endedAt {
		if now.Sub(at) < _lossWindow {
			loss.Ended++
		}
	}
	idle := make(map[*conn]bool, len(h.idle))
	for _, c := range h.idle {
		idle[c] = true
	}
	for c := range h.conns {
		if c.openedAt.After(endedAt.Add(-_lossWindow)) {
			continue
		}
		switch {
		case !ClosedByPeer(c.Conn):
			loss.Open++
		case !idle[c] || now.Sub(c.idleSince) < _recentUse:
			loss.Ended++
		}
	}
	return loss
}

// LostAll reports whether the upstream at the address has ended all connections at once, and at
// least two, as one does whose process ends; one of them ended at the time. Ends of single
// connections, and of ones that were idle for long, say nothing. It waits for up to 50 ms until
// connections in use have ended, too.
func (p *Pool) LostAll(address string, endedAt time.Time) bool {
	for start := time.Now(); ; time.Sleep(_lossPoll) {
		if loss := p.Loss(address, endedAt); loss.Open == 0 && loss.Ended >= _leastLost {
			return true
		}
		if time.Since(start) >= _lossWindow/2 {
			return false
		}
	}
}

const (
	// _leastLost is how many connections have to end together: one alone may be reset.
	_leastLost = 2
	// _lossPoll is the time between two looks at the connections.
	_lossPoll = 5 * time.Millisecond
)
