// Package qlring chooses the owners of keys by rendezvous hashing.
//
// Every router computes the score of each node for a key and chooses the node with
// the highest score. This requires no coordination: two routers that know the same
// nodes choose the same owner. When a node joins or leaves, only the keys that it
// owns move.
//
// # Usage
//
//	ring := qlring.New([]qlring.Node{qlring.NewNode("r1", "z1"), qlring.NewNode("r2", "z2")})
//	owner, ok := ring.Owner("customer/7")
//	acceptors := ring.Spread("key", 3) // three nodes in three zones
package qlring

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Node is a candidate for owning keys. It stores the hash of its id, so that computing
// a score requires no hashing of the id.
type Node struct {
	id   string
	zone string
	hash uint64
	size uint32
}

// NewNode returns a node with the given id, in the given zone.
func NewNode(id, zone string) Node {
	return Node{
		id:   id,
		zone: zone,
		hash: xxhash.Sum64String(id),
	}
}

// ID returns the node's id.
func (n Node) ID() string {
	return n.id
}

// WithSize returns a copy of the node with the given size, which RankBySize orders
// by. Only comparisons of sizes matter, not their unit.
func (n Node) WithSize(size uint32) Node {
	n.size = size
	return n
}

// Zone returns the node's zone.
func (n Node) Zone() string {
	return n.zone
}

// Ring is a fixed set of nodes.
type Ring struct {
	nodes []Node
}

// New returns a ring of the nodes. It copies and sorts them, so that their order does
// not matter.
func New(nodes []Node) *Ring {
	sorted := append([]Node(nil), nodes...)
	sort.Slice(sorted, func(i, j int) bool {
		return sorted[i].id < sorted[j].id
	})
	return &Ring{
		nodes: sorted,
	}
}

// Nodes returns the nodes sorted by id. The caller must not change them.
func (r *Ring) Nodes() []Node {
	return r.nodes
}

// Owner returns the node that owns the key, and false if the ring is empty.
func (r *Ring) Owner(key string) (Node, bool) {
	return r.best(xxhash.Sum64String(key), "", false)
}

// OwnerInZone returns the owner of the key among the nodes of the zone, or among all
// nodes if there are none in the zone. It returns false if the ring is empty.
func (r *Ring) OwnerInZone(key, zone string) (Node, bool) {
	hash := xxhash.Sum64String(key)
	if node, ok := r.best(hash, zone, true); ok {
		return node, true
	}
	return r.best(hash, "", false)
}

func (r *Ring) best(hash uint64, zone string, inZoneOnly bool) (Node, bool) {
	var best Node
	var bestScore uint64
	found := false
	for _, node := range r.nodes {
		if inZoneOnly && node.zone != zone {
			continue
		}
		if score := Score(hash, node.hash); !found || score > bestScore {
			best, bestScore, found = node, score, true
		}
	}
	return best, found
}

// RankOf returns the position of the node with the id in the key's order, in which the
// owner is at 0. For a node that is not in the ring it returns the number of nodes.
func (r *Ring) RankOf(key, id string) int {
	hash := xxhash.Sum64String(key)
	nodeScore := uint64(0)
	found := false
	for _, node := range r.nodes {
		if node.id == id {
			nodeScore, found = Score(hash, node.hash), true
		}
	}
	if !found {
		return len(r.nodes)
	}
	rank := 0
	for _, node := range r.nodes {
		if Score(hash, node.hash) > nodeScore {
			rank++
		}
	}
	return rank
}

// Rank returns all nodes in the key's order: by descending score, the owner first.
func (r *Ring) Rank(key string) []Node {
	hash := xxhash.Sum64String(key)
	ranked := append([]Node(nil), r.nodes...)
	sort.Slice(ranked, func(i, j int) bool {
		return Score(hash, ranked[i].hash) > Score(hash, ranked[j].hash)
	})
	return ranked
}

// RankBySize returns all nodes by descending size, and nodes of the same size in the
// key's order.
func (r *Ring) RankBySize(key string) []Node {
	ranked := r.Rank(key)
	slices.SortStableFunc(ranked, func(a, b Node) int {
		return cmp.Compare(b.size, a.size)
	})
	return ranked
}

// Spread returns the first count nodes in the key's order that are in different zones.
// If there are fewer zones than that, the remaining nodes follow in the key's order.
// Fewer nodes are returned only if the ring has fewer.
func (r *Ring) Spread(key string, count int) []Node {
	ranked := r.Rank(key)
	chosen := make([]Node, 0, count)
	zones := make(map[string]bool, count)
	var remaining []Node
	for _, node := range ranked {
		if len(chosen) == count {
			return chosen
		}
		if zones[node.zone] {
			remaining = append(remaining, node)
			continue
		}
		zones[node.zone] = true
		chosen = append(chosen, node)
	}
	for _, node := range remaining {
		if len(chosen) == count {
			break
		}
		chosen = append(chosen, node)
	}
	return chosen
}

// Score combines the hashes of a key and a node. Its constants are those of the
// splitmix64 finalizer, chosen because each bit of the input affects all bits of the
// result.
func Score(key, node uint64) uint64 {
	x := key ^ (node * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// RanksBefore reports whether the node comes before the other in the order of the key,
// which is given by its hash.
func (n Node) RanksBefore(key uint64, other Node) bool {
	return Score(key, n.hash) > Score(key, other.hash)
}
