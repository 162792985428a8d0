package qlplace

import "github.com/cespare/xxhash/v2"

// A decision looks at each engine of a group, and one router decides for a
// whole group. The engines of a large service are therefore divided into
// groups, by their ids; a request belongs to the group of its prompt's last
// shared part, so that what shares parts meets, and may ask one other.

const (
	// _groupSize is about how many engines a group has when there are several,
	// and _wholeSize up to how many there is one: a decision on so many takes
	// less than 5 us.
	_groupSize = 64
	_wholeSize = 128
	// _shrink is below which part of the size that made it a division is taken
	// back, so that a few engines more or less do not move all groups.
	_shrink = 0.75
)

// groupsFor returns how many groups so many engines make, a power of two. It
// is what it was unless their number changed much.
func groupsFor(engines, before int) int {
	groups := 1
	if engines > _wholeSize {
		for groups*_groupSize < engines {
			groups *= 2
		}
	}
	if groups < before && float64(engines) > _shrink*float64(_groupSize*before) {
		return before
	}
	return groups
}

// groupOf returns an engine's group.
func groupOf(id string, groups int) int {
	if groups <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(groups))
}

// GroupCount returns how many groups a service's engines have.
func (p *Placer) GroupCount(service string) int {
	return max(len(p.pools[service]), 1)
}

// ChooseGroups returns the group of a request and another that it may ask when it is
// refused there; with one group they are the same.
func ChooseGroups(request *Request, groups int) (first, second int) {
	if groups <= 1 {
		return 0, 0
	}
	affinity, ok := request.Prompt.Affinity()
	if !ok {
		affinity = request.Key.Request
	}
	// The finalizer of splitmix64, so that close ids do not meet.
	affinity ^= affinity >> 30
	affinity *= 0xbf58476d1ce4e5b9
	affinity ^= affinity >> 27
	first = int(affinity % uint64(groups))
	second = (first + 1 + int(affinity>>32)%(groups-1)) % groups
	return first, second
}
