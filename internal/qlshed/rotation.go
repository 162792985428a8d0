package qlshed

import "time"

const (
	// A router that is strained for _outOfRotationDelay leaves the balancer's rotation. It
	// returns once it has had room for _returnDelay.
	_outOfRotationDelay = 500 * time.Millisecond
	_returnDelay        = 3 * time.Second
	// _balancerReactionTime is how long the users' balancer takes to send new
	// connections to other routers: it checks each router once a second and acts on
	// the second failed check.
	_balancerReactionTime = 2 * time.Second
)

// Crowding is how far a router's connections exceed its capacity.
type Crowding int

const (
	// Roomy means that there is room for new connections.
	Roomy Crowding = iota
	// Full means that a router out of rotation should stay there.
	Full
	// Crowded means that new connections push out others, or have to wait.
	Crowded
)

// rotation decides when a router leaves the balancer's rotation and when it returns.
//
// It leaves while it still serves what it has: the balancer needs seconds to send new
// connections elsewhere, and a router that drowns first loses what comes until then.
type rotation struct {
	strained      bool
	strainedSince time.Duration
	roomySince    time.Duration
	out           bool
	outAt         time.Duration
}

// update records whether the router is strained, and whether it has room.
func (r *rotation) update(now time.Duration, strained, roomy bool) {
	if strained && !r.strained {
		r.strainedSince = now
	}
	r.strained = strained
	if !roomy {
		r.roomySince = now
	}
	switch {
	case !r.out && r.strained && now-r.strainedSince >= _outOfRotationDelay:
		r.out, r.outAt = true, now
	case r.out && now-r.roomySince >= _returnDelay:
		r.out = false
	}
}
