package qlplace

import "github.com/cespare/xxhash/v2"

// A decision examines each engine of a group, and one router decides for a
// whole group. The engines of a large service are therefore divided into
// groups by their IDs, to bound the cost of a decision. A request belongs to
// the group of its prompt's last shared segment, so that requests that share
// segments meet in the same group. If it is refused there, it may try one
// other group.

const (
	// _groupSize is the intended number of engines in a group when there are
	// several; up to _maxSingleGroup engines form a single group. A decision
	// on that many engines takes less than 5 us.
	_groupSize      = 64
	_maxSingleGroup = 192
	// _shrinkThreshold is the fraction of _groupSize that the mean number of
	// engines in a group must not exceed for the number of groups to be
	// reduced. Thus a few engines more or less don't move all groups.
	_shrinkThreshold = 0.75
)

// groupCountFor returns the number of groups for this many engines, a power
// of two. A higher previous number is kept until the number of engines has
// fallen considerably, see _shrinkThreshold.
func groupCountFor(engines, previous int) int {
	groups := 1
	if engines > _maxSingleGroup {
		for groups*_groupSize < engines {
			groups *= 2
		}
	}
	if groups < previous && float64(engines) > _shrinkThreshold*float64(_groupSize*previous) {
		return previous
	}
	return groups
}

// groupOf returns the index of an engine's group.
func groupOf(id string, groups int) int {
	if groups <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(groups))
}

// GroupCount returns the number of engine groups of a service, at least 1.
func (p *Placer) GroupCount(service string) int {
	return max(len(p.pools[service]), 1)
}

// ChooseGroups returns the index of the request's group and of a second one
// that may be asked when the first refuses it. With a single group they are
// the same.
func ChooseGroups(request *Request, groups int) (first, second int) {
	if groups <= 1 {
		return 0, 0
	}
	affinity, ok := request.Prompt.Affinity()
	if !ok {
		affinity = request.Key.Request
	}
	// The first steps of the finalizer of splitmix64, so that similar IDs map
	// to different groups.
	affinity ^= affinity >> 30
	affinity *= 0xbf58476d1ce4e5b9
	affinity ^= affinity >> 27
	first = int(affinity % uint64(groups))
	second = (first + 1 + int(affinity>>32)%(groups-1)) % groups
	return first, second
}
