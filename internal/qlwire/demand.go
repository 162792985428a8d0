package qlwire

import (
	"github.com/cespare/xxhash/v2"
)

// DemandChecksum adds up what an entry and a dispatcher share: the requests asked
// for and the grants in use. Both work it out for themselves, in any order,
// and compare. So what was lost in either direction is found, whichever way
// it was lost, without telling everything again each time.
//
// The zero DemandSum is the sum of nothing.
type DemandChecksum struct {
	sum uint32
}

// AddItem adds requests of a customer that wait for a pool. Hash is that of
// HashItem.
func (s *DemandChecksum) AddItem(hash uint32, waiting int) {
	s.sum += hash * uint32(waiting)
}

// AddGrant adds a grant in use.
func (s *DemandChecksum) AddGrant(number uint64) {
	// The multiplier is odd and large, so that neighbours differ in all bits.
	const multiplier = 0x9e3779b97f4a7c15
	s.sum += uint32((number * multiplier) >> 32)
}

// Wire returns the sum as it goes over the wire, where 0 means that none is
// told.
func (s *DemandChecksum) Wire() uint32 {
	return s.sum | 1
}

// HashItem returns the hash of a customer and a pool for AddItem.
func HashItem(customer, pool string) uint32 {
	return uint32(xxhash.Sum64String(customer + "/" + pool))
}
