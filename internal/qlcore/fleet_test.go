package qlcore_test

import (
	"container/heap"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quetzallane/quetzallane/internal/qlcore"
	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"github.com/quetzallane/quetzallane/pkg/qljson"
	"google.golang.org/protobuf/proto"
)

// The fleet connects real cores by a simulated network and clock. Messages can
// be delayed or lost, also by partitions; routers can be killed, restarted
// without state or paused. A simulated upstream only counts its running
// requests.

const (
	_tickPeriod  = 10 * time.Millisecond
	_flushDelay  = 2 * time.Millisecond
	_loadPeriod  = 500 * time.Millisecond
	_poolName    = "m"
	_largestCost = 1000.0
)

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type node struct {
	id        string
	zone      string
	core      *qlcore.Core
	epoch     uint64
	startedAt time.Duration
	alive     bool
	// paused is set while the process is paused. Events for it are kept in
	// backlog and handled when it resumes.
	paused  bool
	backlog []func()
	// flushing is set while a flush is scheduled.
	flushing  bool
	sentBytes int
}

type fleetConfig struct {
	seed      uint64
	routers   int
	zones     int
	upstreams int
	slots     int
	// customers holds the share of each customer.
	customers     []float64
	limits        func(customer int) qlconfig.Limits
	zoneDelay     time.Duration
	loss          float64
	loadReportLag time.Duration
	claimWindow   time.Duration
	timePerCost   time.Duration
	// thinkTime is the time between the end of a request and its caller's next
	// one.
	thinkTime time.Duration
}

type fleet struct {
	t         testing.TB
	config    fleetConfig
	random    *rand.Rand
	now       time.Duration
	sequence  uint64
	events    eventQueue
	nodes     []*node
	upstreams []*upstream
	requests  map[uint64]*request
	nextID    uint64
	// partitioned reports whether messages between two routers are lost.
	partitioned func(a, b string) bool
	// dropMessage reports whether a message is lost; when nil, none is.
	dropMessage   func(*qlwire.Message) bool
	configuration *qlconfig.Configuration
	list          qlcore.VMList
	servedCost    map[string]float64
	// executions holds, for each key whose requests ran, the times at which
	// their routers accepted them.
	executions  map[string][]time.Duration
	messages    int
	bytes       int
	lastArrival map[[2]string]time.Duration
	violations  []string
	maxWait     map[string]time.Duration
	// lastSendAt is when a request of a customer was last sent, and maxSendGap
	// the longest time between two sends, by customer.
	lastSendAt        map[string]time.Duration
	maxSendGap        map[string]time.Duration
	allowedViolations map[qlinvariant.Kind]bool
	stopped           bool
	answered          int
	// endCounts holds the number of ended requests by their result.
	endCounts map[qlcode.Code]int
}

func newFleet(t testing.TB, config fleetConfig) *fleet {
	f := &fleet{
		t:                 t,
		config:            config,
		random:            rand.New(rand.NewPCG(config.seed, 7)),
		requests:          make(map[uint64]*request),
		partitioned:       func(string, string) bool { return false },
		servedCost:        make(map[string]float64),
		executions:        make(map[string][]time.Duration),
		lastArrival:       make(map[[2]string]time.Duration),
		maxWait:           make(map[string]time.Duration),
		lastSendAt:        make(map[string]time.Duration),
		maxSendGap:        make(map[string]time.Duration),
		allowedViolations: make(map[qlinvariant.Kind]bool),
		endCounts:         make(map[qlcode.Code]int),
	}
	for i := range config.upstreams {
		f.upstreams = append(f.upstreams, &upstream{
			id:       fmt.Sprintf("u%02d", i),
			zone:     fmt.Sprintf("z%d", i%config.zones),
			slots:    config.slots,
			slowdown: 1,
		})
	}
	f.configuration = f.build(1, nil)
	f.list.Revision = 1
	for i := range config.routers {
		f.nodes = append(f.nodes, &node{
			id:   fmt.Sprintf("r%d", i),
			zone: fmt.Sprintf("z%d", i%config.zones),
		})
		f.list.Routers = append(f.list.Routers, qlmember.ListedRouter{
			ID:   f.nodes[i].id,
			Zone: f.nodes[i].zone,
		})
	}
	for _, n := range f.nodes {
		f.start(n, f.list, f.configuration)
	}
	f.scheduleAfter(_loadPeriod, f.reportLoads)
	return f
}

func customerName(i int) string { return fmt.Sprintf("c%02d", i) }

// build returns a configuration with one part, which change, unless nil, may
// edit first.
func (f *fleet) build(revision uint64, change func(*qlconfig.Part)) *qlconfig.Configuration {
	pool := qlconfig.PoolText{
		Kind:        qlconfig.KindEngine,
		LargestCost: _largestCost,
		Timeout:     qljson.Duration(time.Minute),
		Repeatable: []qlconfig.CallText{
			{
				Method: "GET",
				Path:   "/",
			},
		},
	}
	for _, u := range f.upstreams {
		pool.Upstreams = append(pool.Upstreams, qlconfig.UpstreamText{
			ID:      u.id,
			Address: "x:1",
			Zone:    u.zone,
			Slots:   u.slots,
			Leaving: u.leaving,
		})
	}
	queue, wait := 10000, qljson.Duration(time.Hour)
	part := qlconfig.Part{
		Templates: map[string]qlconfig.TemplateText{
			"t": {
				Limits: qlconfig.Limits{
					Pools:       []string{_poolName},
					QueueLength: &queue,
					MaxWait:     &wait,
				},
				Parameters: []string{"share", "max-in-flight", "cost-rate", "queue-length", "max-wait"},
			},
		},
		Pools:     map[string]qlconfig.PoolText{_poolName: pool},
		Customers: make(map[string]qlconfig.CustomerText),
	}
	for i, share := range f.config.customers {
		limits := qlconfig.Limits{}
		if f.config.limits != nil {
			limits = f.config.limits(i)
		}
		if limits.MaxInFlight == nil {
			unbounded := 100000
			limits.MaxInFlight = &unbounded
		}
		limits.Share = &share
		part.Customers[customerName(i)] = qlconfig.CustomerText{
			Template:   "t",
			KeyHashes:  []string{qlconfig.HashKey(customerName(i))},
			Parameters: limits,
		}
	}
	if change != nil {
		change(&part)
	}
	text, err := json.Marshal(part)
	if err != nil {
		f.t.Fatal(err)
	}
	index := qlconfig.NewIndex(revision, [][]byte{text})
	built, err := qlconfig.Builder{}.Build(index, map[string][]byte{index.Parts[0]: text})
	if err != nil {
		f.t.Fatal(err)
	}
	return built
}

// start starts a router's process without state, with the VM list and the
// configuration that it reads first; nil stands for no configuration.
func (f *fleet) start(n *node, list qlcore.VMList, configuration *qlconfig.Configuration) {
	n.epoch++
	n.alive = true
	n.paused = false
	n.backlog = nil
	n.flushing = false
	n.startedAt = f.now
	epoch := n.epoch
	n.core = qlcore.New(qlcore.Config{
		Self:             n.id,
		Zone:             n.zone,
		Epoch:            n.epoch,
		Random:           rand.New(rand.NewPCG(f.config.seed, xxhash.Sum64String(n.id)+n.epoch)),
		ClaimWindow:      f.config.claimWindow,
		Send:             func(to string, message *qlwire.Message) { f.send(n, epoch, to, message) },
		Start:            func(id uint64, a qlentry.Assignment) { f.startRequest(n, epoch, id, a) },
		Refuse:           func(id uint64, r qlcore.Refusal) { f.refuse(id, r) },
		OnNewerDocuments: func(peer string) { f.fetchFromPeer(n, epoch, peer) },
		Monitor: &qlinvariant.Monitor{
			Report: func(v qlinvariant.Violation) {
				if !f.allowedViolations[v.Kind()] {
					f.violations = append(f.violations, fmt.Sprintf("%v %s %v", f.now, n.id, v))
				}
			},
		},
	})
	n.core.AdoptList(0, list)
	if configuration != nil {
		n.core.AdoptConfiguration(0, configuration)
	}
	f.scheduleAfter(time.Duration(f.random.Int64N(int64(_tickPeriod))), func() { f.tick(n, epoch) })
}

func (n *node) clock(now time.Duration) time.Duration { return now - n.startedAt }

func (f *fleet) schedule(at time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, event{
		at:       max(at, f.now),
		sequence: f.sequence,
		run:      run,
	})
}

func (f *fleet) scheduleAfter(d time.Duration, run func()) { f.schedule(f.now+d, run) }

// runOn calls a function in a router's process of the given epoch: when it
// resumes if it is paused, and never if it has ended.
func (f *fleet) runOn(n *node, epoch uint64, run func()) {
	if !n.alive || n.epoch != epoch {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, func() { f.runOn(n, epoch, run) })
		return
	}
	run()
	if n.core.NeedsFlush() && !n.flushing {
		n.flushing = true
		f.scheduleAfter(_flushDelay, func() { f.flush(n, epoch) })
	}
}

func (f *fleet) flush(n *node, epoch uint64) {
	if n.epoch != epoch {
		return
	}
	n.flushing = false
	f.runOn(n, epoch, func() { n.core.Flush(n.clock(f.now)) })
}

func (f *fleet) tick(n *node, epoch uint64) {
	if !n.alive || n.epoch != epoch {
		return
	}
	f.runOn(n, epoch, func() { n.core.Tick(n.clock(f.now)) })
	f.scheduleAfter(_tickPeriod, func() { f.tick(n, epoch) })
}

func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = until
}

func (f *fleet) node(id string) *node {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (f *fleet) delay(zoneA, zoneB string) time.Duration {
	base := 500 * time.Microsecond
	if zoneA != zoneB {
		base = f.config.zoneDelay
	}
	return base + time.Duration(f.random.Int64N(int64(base)/4+1))
}

// send delivers messages between each pair of routers in order, as a connection
// does.
func (f *fleet) send(from *node, epoch uint64, to string, message *qlwire.Message) {
	target := f.node(to)
	size := proto.Size(message)
	f.messages++
	f.bytes += size
	from.sentBytes += size
	if f.dropMessage != nil && f.dropMessage(message) {
		return
	}
	if target == nil || f.partitioned(from.id, to) || f.random.Float64() < f.config.loss {
		return
	}
	at := max(f.now+f.delay(from.zone, target.zone), f.lastArrival[[2]string{from.id, to}])
	f.lastArrival[[2]string{from.id, to}] = at
	copied := proto.Clone(message).(*qlwire.Message)
	f.schedule(at, func() {
		if f.partitioned(from.id, to) {
			return
		}
		f.runOn(target, target.epoch, func() { target.core.Receive(target.clock(f.now), from.id, epoch, copied) })
	})
}

// fetchFromPeer simulates a fetch of the configuration from a peer that has a
// newer one.
func (f *fleet) fetchFromPeer(n *node, epoch uint64, peer string) {
	source := f.node(peer)
	f.scheduleAfter(2*f.delay(n.zone, source.zone), func() {
		if f.partitioned(n.id, peer) || !source.alive || source.paused {
			return
		}
		configuration := source.core.Configuration()
		f.runOn(n, epoch, func() {
			if configuration != nil {
				n.core.AdoptConfiguration(n.clock(f.now), configuration)
			}
		})
	})
}

// kill ends a router's process. Its callers' connections break.
func (f *fleet) kill(n *node) {
	n.alive = false
	for id := uint64(1); id <= f.nextID; id++ {
		if r := f.requests[id]; r != nil && r.router == n.id {
			f.end(r, qlcode.UpstreamCut)
		}
	}
}

func (f *fleet) pause(n *node) { n.paused = true }

func (f *fleet) resume(n *node) {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, run := range backlog {
		run()
	}
}

func (f *fleet) checkInvariants() {
	f.t.Helper()
	for i, violation := range f.violations {
		if i == 10 {
			f.t.Errorf("and %d more", len(f.violations)-i)
			return
		}
		f.t.Errorf("invariant: %s", violation)
	}
}

// _seeds is the number of seeds for each randomised test. It is low for CI;
// manual runs can use more.
var _seeds = flag.Int("seeds", 6, "seeds of each randomised test")

// seedRange returns the seeds from 1 to the value of -seeds.
func seedRange() []uint64 {
	seeds := make([]uint64, 0, *_seeds)
	for i := range *_seeds {
		seeds = append(seeds, uint64(i+1))
	}
	return seeds
}
