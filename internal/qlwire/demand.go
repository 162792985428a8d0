package qlwire

import (
	"github.com/cespare/xxhash/v2"
)

// DemandChecksum is a checksum over the state that an entry and a dispatcher
// share: the requests in demand and the grants in use. Each computes it from its
// own state, in any order, and the dispatcher compares the two. A difference
// shows that a message was lost, in whichever direction, without the full state
// being sent each time.
//
// The zero DemandChecksum is that of no demand and no grant.
type DemandChecksum struct {
	sum uint32
}

// AddItem adds the requests of a customer that wait for a pool. The hash is the
// result of HashItem.
func (s *DemandChecksum) AddItem(hash uint32, waiting int) {
	s.sum += hash * uint32(waiting)
}

// AddGrant adds a grant in use.
func (s *DemandChecksum) AddGrant(number uint64) {
	// The multiplier is odd and large, so that consecutive numbers give hashes
	// that differ in all bits.
	const multiplier = 0x9e3779b97f4a7c15
	s.sum += uint32((number * multiplier) >> 32)
}

// Wire returns the checksum as it is sent. It is never 0, which means on the
// wire that a message has no checksum.
func (s *DemandChecksum) Wire() uint32 {
	return s.sum | 1
}

// HashItem returns the hash of a customer and a pool that AddItem is given.
func HashItem(customer, pool string) uint32 {
	return uint32(xxhash.Sum64String(customer + "/" + pool))
}
