package qloffload

import (
	"encoding/json"
	"sync/atomic"
)

// Reason is why a request beyond a router's budget was not passed on.
type Reason int

const (
	// Closing means that this router is stopping.
	Closing Reason = iota
	// TooManyActive means that as many requests are offloaded as memory allows.
	TooManyActive
	// OwnLag means that this router's own lag is above the bound.
	OwnLag
	// NoPeers means that there is no other router.
	NoPeers
	// AllDeclined means that each other router is not asked for now, and that one of them has
	// declined.
	AllDeclined
	// AllUnreachable means that no other router could be reached lately.
	AllUnreachable
	// NoRoom means that no other router has room, as they have told.
	NoRoom
	// LinkOpening means that the link to the chosen router was not open yet.
	LinkOpening
	// LinkFull means that the queue of the link was full.
	LinkFull
	// LinkBroken means that the link broke before the request was written.
	LinkBroken
	// NotOffloadable means that such a request cannot be passed on: HEAD, chunked, too large.
	NotOffloadable
	// Pipelined means that the caller has sent another request behind it.
	Pipelined
	// OutOfTime means that the request's time limit has passed.
	OutOfTime

	_reasonCount
)

// _reasonNames are the names in logs and state dumps.
var _reasonNames = [_reasonCount]string{
	Closing:        "closing",
	TooManyActive:  "too-many-active",
	OwnLag:         "own-lag",
	NoPeers:        "no-peers",
	AllDeclined:    "all-declined",
	AllUnreachable: "all-unreachable",
	NoRoom:         "no-room",
	LinkOpening:    "link-opening",
	LinkFull:       "link-full",
	LinkBroken:     "link-broken",
	NotOffloadable: "not-offloadable",
	Pipelined:      "pipelined",
	OutOfTime:      "out-of-time",
}

// String returns the name of the reason in logs.
func (r Reason) String() string {
	return _reasonNames[r]
}

// Kept counts the requests that were not passed on, by reason.
type Kept [_reasonCount]uint64

// Since returns the counts since an earlier state.
func (k Kept) Since(earlier Kept) Kept {
	for reason := range k {
		k[reason] -= earlier[reason]
	}
	return k
}

// MarshalJSON writes the counts that are not 0, by name.
func (k Kept) MarshalJSON() ([]byte, error) {
	counts := make(map[string]uint64)
	for reason, count := range k {
		if count > 0 {
			counts[Reason(reason).String()] = count
		}
	}
	return json.Marshal(counts)
}

// keptCounter counts requests that were not passed on. It is safe for concurrent use.
type keptCounter [_reasonCount]atomic.Uint64

func (c *keptCounter) counts() Kept {
	var counts Kept
	for reason := range c {
		counts[reason] = c[reason].Load()
	}
	return counts
}

// CountKept counts a request beyond the budget that is not passed on.
func (o *Offloader) CountKept(reason Reason) {
	o.kept[reason].Add(1)
}
