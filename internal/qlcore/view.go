package qlcore

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlclaim"
	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
)

// AdoptConfiguration puts a valid configuration in force if its revision is
// higher than that of the current one. It reports whether it did.
func (c *Core) AdoptConfiguration(now time.Duration, next *qlconfig.Configuration) bool {
	c.advance(now)
	before := c.Revision()
	if next.Revision() <= before {
		return false
	}
	c.configuration = next
	c.config.Monitor.Check(c.Revision() > before, qlinvariant.ConfigurationReverts, c.config.Self, "adopted")
	c.viewChanged = true
	c.processPending()
	c.dispatcher.RefreshLimits(c.now)
	c.processPending()
	c.members.PushDigest()
	return true
}

// AdoptList puts a VM list in force if its revision is higher than that of the
// current one. It reports whether it did.
func (c *Core) AdoptList(now time.Duration, list VMList) bool {
	c.advance(now)
	if list.Revision <= c.vmList.Revision {
		return false
	}
	c.vmList = list
	c.leavingVMs = make(map[string]bool, len(list.LeavingUpstreams))
	for _, id := range list.LeavingUpstreams {
		c.leavingVMs[id] = true
	}
	c.members.SetList(c.now, list.Revision, list.Routers)
	c.acceptor.SetRing(c.now, list.Revision, qlring.New(c.members.Listed()))
	c.viewChanged = true
	c.processPending()
	return true
}

// Revision returns the revision of the configuration in force, or 0.
func (c *Core) Revision() uint64 {
	if c.configuration == nil {
		return 0
	}
	return c.configuration.Revision()
}

// ListRevision returns the revision of the VM list in force, or 0.
func (c *Core) ListRevision() uint64 {
	return c.vmList.Revision
}

// Configuration returns the configuration in force, or nil.
func (c *Core) Configuration() *qlconfig.Configuration {
	return c.configuration
}

// Ready reports whether this router may accept requests: a majority of the
// listed routers, this one included, have reported their configuration
// revisions since this process started, and none of these is newer than the one
// in force here. Once ready, a router stays ready until it leaves.
func (c *Core) Ready() bool {
	if c.ready || c.configuration == nil || c.vmList.Revision == 0 {
		return c.ready && !c.leaving
	}
	listed := c.members.Listed()
	reported := 1
	for _, node := range listed {
		revision, ok := c.revisions[node.ID()]
		if !ok {
			continue
		}
		if revision > c.Revision() {
			return false
		}
		reported++
	}
	c.ready = reported > len(listed)/2
	return c.ready && !c.leaving
}

// majorityConnected reports whether this router has received a message from a
// majority of the listed routers within the last quarter of a claim window. If
// it has not, it may be on the smaller side of a partition, with an outdated VM
// list.
func (c *Core) majorityConnected(now time.Duration) bool {
	return c.members.CountHeardWithin(now, c.config.ClaimWindow/4) > len(c.members.IDs())/2
}

func (c *Core) acceptorsOf(key string) []qlring.Node {
	return qlring.New(c.members.Listed()).Spread(key, qlclaim.AcceptorCount)
}

// applyView recomputes which router owns each upstream and customer, after a
// change of the live members, the VM list or the configuration.
func (c *Core) applyView() {
	c.liveRing = qlring.New(c.members.Live())
	c.watcher = c.selectedAsWatcher()
	c.home.RecordViewChange(c.now)
	if c.configuration == nil {
		return
	}
	for _, name := range c.configuration.PoolNames() {
		c.applyPool(c.configuration.Pool(name))
	}
}

func (c *Core) applyPool(pool *qlconfig.Pool) {
	owners := make(map[string]string, len(pool.Upstreams()))
	zones := make(map[string]string)
	var owned []qldispatch.UpstreamConfig
	for _, upstream := range pool.Upstreams() {
		owner := c.ownerOf(upstream)
		owners[upstream.ID] = owner.ID()
		zones[owner.ID()] = owner.Zone()
		if owner.ID() == c.config.Self {
			owned = append(owned, qldispatch.UpstreamConfig{
				ID:      upstream.ID,
				Zone:    upstream.Zone,
				Slots:   upstream.Slots,
				Leaving: upstream.Leaving || c.leavingVMs[upstream.ID],
			})
		}
	}
	ring := ringOf(zones)
	c.poolRings[pool.Name()] = ring
	c.dispatcher.SetPool(c.now, qldispatch.PoolConfig{
		Name:          pool.Name(),
		LargestCost:   pool.LargestCost(),
		PrefixCaching: pool.Engine(),
		Upstreams:     owned,
	})
	c.setDispatchers(pool.Name(), owners, ring)
}

// ownerOf returns an upstream's dispatcher, which is in the upstream's zone if
// that zone has a live router. A leaving router assigns its upstreams to other
// routers unless it is the only live one.
func (c *Core) ownerOf(upstream qlconfig.UpstreamText) qlring.Node {
	ring := c.liveRing
	if c.leaving && len(ring.Nodes()) > 1 {
		ring = qlring.New(withoutNode(ring.Nodes(), c.config.Self))
	}
	owner, _ := ring.OwnerInZone(upstream.ID, upstream.Zone)
	return owner
}

func withoutNode(nodes []qlring.Node, id string) []qlring.Node {
	var kept []qlring.Node
	for _, node := range nodes {
		if node.ID() != id {
			kept = append(kept, node)
		}
	}
	return kept
}

// ringOf returns the ring of the routers that are the keys of zones.
func ringOf(zones map[string]string) *qlring.Ring {
	nodes := make([]qlring.Node, 0, len(zones))
	for id, zone := range zones {
		nodes = append(nodes, qlring.NewNode(id, zone))
	}
	return qlring.New(nodes)
}

// setDispatchers sets the dispatchers from which the entry requests slots of a
// pool.
func (c *Core) setDispatchers(pool string, owners map[string]string, ring *qlring.Ring) {
	var dispatchers []qlentry.DispatcherConfig
	for _, node := range ring.Nodes() {
		if node.ID() == c.config.Self || requestsSlotsFrom(ring, c.config.Self, node.ID()) {
			dispatchers = append(dispatchers, qlentry.DispatcherConfig{
				ID:   node.ID(),
				Zone: node.Zone(),
			})
		}
	}
	c.entry.SetPool(c.now, pool, owners, dispatchers)
	c.setRequestingRouters(pool, ring)
}

// requestsSlotsFrom reports whether an entry requests slots from a dispatcher:
// the dispatcher is among the first _fanOut in the entry's own order, or the
// pool has so few dispatchers that every entry uses all of them.
func requestsSlotsFrom(ring *qlring.Ring, entry, dispatcher string) bool {
	if len(ring.Nodes()) <= _fanOut+1 {
		return true
	}
	return ring.RankOf("asks/"+entry, dispatcher) < _fanOut
}

// setRequestingRouters computes which routers request slots from this one, so
// that its slots can be offered to them.
func (c *Core) setRequestingRouters(pool string, ring *qlring.Ring) {
	c.requestingRouters[pool] = c.requestingRouters[pool][:0:0]
	for _, node := range c.liveRing.Nodes() {
		if node.ID() != c.config.Self && requestsSlotsFrom(ring, node.ID(), c.config.Self) {
			c.requestingRouters[pool] = append(c.requestingRouters[pool], node.ID())
		}
	}
}

func (c *Core) limits(id string) (qlfair.Limits, bool) {
	customer := c.customer(id)
	if customer == nil {
		return qlfair.Limits{}, false
	}
	return qlfair.Limits{
		Share:       customer.Share(),
		MaxInFlight: customer.MaxInFlight(),
		CostRate:    customer.CostRate(),
	}, true
}

func (c *Core) customer(id string) *qlconfig.Customer {
	if c.configuration == nil {
		return nil
	}
	return c.configuration.Customer(id)
}

func (c *Core) largestCost(name string) float64 {
	if c.configuration == nil || c.configuration.Pool(name) == nil {
		return 1
	}
	return c.configuration.Pool(name).LargestCost()
}

func (c *Core) rank(pool, customer string) (rank, total int) {
	ring := c.poolRings[pool]
	if ring == nil {
		return 0, 1
	}
	return ring.RankOf(customer, c.config.Self), len(ring.Nodes())
}

// unleasedAllowance returns how much of a customer's limit on requests in
// flight a dispatcher may use without a lease from the usage home.
func (c *Core) unleasedAllowance(pool, customer, dispatcher string, limit int) int {
	ring := c.poolRings[pool]
	if ring == nil {
		return limit
	}
	return qlfair.UnleasedAllowance(limit, ring.RankOf(customer, dispatcher), len(ring.Nodes()))
}

// leasable returns how much of a customer's limit on requests in flight a usage
// home may lease to dispatchers.
func (c *Core) leasable(pool string, limit int) int {
	ring := c.poolRings[pool]
	if ring == nil {
		return 0
	}
	return qlfair.Leasable(limit, len(ring.Nodes()))
}

func (c *Core) digest() *qlwire.Digest {
	return &qlwire.Digest{
		ConfigurationRevision: c.Revision(),
		ListRevision:          c.vmList.Revision,
		Levels:                c.levels(),
		Leaving:               c.leaving,
	}
}

func (c *Core) levels() []*qlwire.PoolLevel {
	var levels []*qlwire.PoolLevel
	for _, pool := range c.dispatcher.Pools() {
		levels = append(levels, c.dispatcher.PoolLevel(c.now, pool))
	}
	return levels
}

func (c *Core) applyDigest(from string, digest *qlwire.Digest) {
	c.revisions[from] = digest.GetConfigurationRevision()
	c.applyLevels(from, digest.GetLevels())
	ahead := digest.GetConfigurationRevision() > c.Revision() || digest.GetListRevision() > c.vmList.Revision
	if ahead && c.config.OnNewerDocuments != nil {
		c.config.OnNewerDocuments(from)
	}
}

func (c *Core) applyLevels(from string, levels []*qlwire.PoolLevel) {
	for _, level := range levels {
		c.recordLevel(from, level)
		c.entry.SetLevel(c.now, from, level)
	}
}

func (c *Core) removeRouter(id string) {
	delete(c.lastAnsweredReport, id)
	c.viewChanged = true
	c.entry.DropLink(id)
	c.dispatcher.DropEntry(c.now, id)
}

// IsWatcher reports whether this router is one of the few in its zone that
// watch the configuration service for the others.
func (c *Core) IsWatcher() bool {
	return c.watcher
}

func (c *Core) selectedAsWatcher() bool {
	var zone []qlring.Node
	for _, node := range c.liveRing.Nodes() {
		if node.Zone() == c.config.Zone {
			zone = append(zone, node)
		}
	}
	return qlring.New(zone).RankOf("watch", c.config.Self) < _watchersPerZone
}

// Clock returns the last clock reading, as the time since the process started.
func (c *Core) Clock() time.Duration {
	return c.now
}
