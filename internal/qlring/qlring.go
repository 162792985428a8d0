// Package qlring chooses owners by rendezvous hashing.
//
// Every router scores each key against each node and takes the highest
// score. Nothing is agreed on: two routers that know the same nodes choose
// the same owner, and a node that comes or goes moves only its own keys.
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

// Node is one candidate. Its hash is kept, so that scoring costs no hashing.
type Node struct {
	id   string
	zone string
	hash uint64
	size uint32
}

// NewNode returns the node of the id in the zone.
func NewNode(id, zone string) Node {
	return Node{
		id:   id,
		zone: zone,
		hash: xxhash.Sum64String(id),
	}
}

// ID returns the node's name.
func (n Node) ID() string {
	return n.id
}

// WithSize returns the node with a size, by which RankBySize orders.
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

// New returns a ring over the nodes, in an order of its own.
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

// Owner returns the node that owns the key; ok is false on an empty ring.
func (r *Ring) Owner(key string) (Node, bool) {
	return r.best(xxhash.Sum64String(key), "", false)
}

// OwnerInZone returns the owner among the zone's nodes, or among all nodes
// when the zone has none.
func (r *Ring) OwnerInZone(key, zone string) (Node, bool) {
	hash := xxhash.Sum64String(key)
	if node, ok := r.best(hash, zone, true); ok {
		return node, true
	}
	return r.best(hash, "", false)
}

func (r *Ring) best(hash uint64, zone string, zoned bool) (Node, bool) {
	var best Node
	var bestScore uint64
	found := false
	for _, node := range r.nodes {
		if zoned && node.zone != zone {
			continue
		}
		if s := Score(hash, node.hash); !found || s > bestScore {
			best, bestScore, found = node, s, true
		}
	}
	return best, found
}

// RankOf returns the place of the node in the key's order, the owner being 0.
// A node that is not in the ring ranks last.
func (r *Ring) RankOf(key, id string) int {
	hash := xxhash.Sum64String(key)
	own := uint64(0)
	found := false
	for _, node := range r.nodes {
		if node.id == id {
			own, found = Score(hash, node.hash), true
		}
	}
	if !found {
		return len(r.nodes)
	}
	rank := 0
	for _, node := range r.nodes {
		if Score(hash, node.hash) > own {
			rank++
		}
	}
	return rank
}

// Rank returns all nodes in the key's order, the owner first.
func (r *Ring) Rank(key string) []Node {
	hash := xxhash.Sum64String(key)
	ranked := append([]Node(nil), r.nodes...)
	sort.Slice(ranked, func(i, j int) bool {
		return Score(hash, ranked[i].hash) > Score(hash, ranked[j].hash)
	})
	return ranked
}

// RankBySize returns all nodes, the largest first, and those of one size in the
// key's order.
func (r *Ring) RankBySize(key string) []Node {
	ranked := r.Rank(key)
	slices.SortStableFunc(ranked, func(a, b Node) int {
		return cmp.Compare(b.size, a.size)
	})
	return ranked
}

// Spread returns the first count nodes in the key's order that stand in
// different zones; when there are fewer zones, the next in order fill up.
func (r *Ring) Spread(key string, count int) []Node {
	ranked := r.Rank(key)
	chosen := make([]Node, 0, count)
	zones := make(map[string]bool, count)
	var rest []Node
	for _, node := range ranked {
		if len(chosen) == count {
			return chosen
		}
		if zones[node.zone] {
			rest = append(rest, node)
			continue
		}
		zones[node.zone] = true
		chosen = append(chosen, node)
	}
	for _, node := range rest {
		if len(chosen) == count {
			break
		}
		chosen = append(chosen, node)
	}
	return chosen
}

// Score mixes a key's and a node's hash; the constants are those of the
// splitmix64 finalizer, chosen for its avalanche.
func Score(key, node uint64) uint64 {
	x := key ^ (node * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// RanksBefore reports whether the node comes before the other in the key's order.
func (n Node) RanksBefore(key uint64, other Node) bool {
	return Score(key, n.hash) > Score(key, other.hash)
}
