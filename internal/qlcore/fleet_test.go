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
	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"github.com/quetzallane/quetzallane/pkg/qljson"
	"google.golang.org/protobuf/proto"
)

// The fleet joins real cores by a fake network: messages are delayed, lost or
// cut, routers are killed, restarted empty or paused. Upstreams are counters.

const (
	_stepTick   = 10 * time.Millisecond
	_flushDelay = 2 * time.Millisecond
	_loadPeriod = 500 * time.Millisecond
	_pool       = "m"
	_largest    = 1000.0
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
	id      string
	zone    string
	core    *qlcore.Core
	epoch   uint64
	started time.Duration
	alive   bool
	// paused nodes handle what reaches them when they wake.
	paused  bool
	backlog []func()
	// flushing is set while a flush is due.
	flushing bool
	sent     int
}

type upstream struct {
	id      string
	zone    string
	slots   int
	leaving bool
	running int
	peak    int
	// history holds the running count over time, for lagged reports.
	history []int
	lastRun time.Duration
	// slowdown multiplies the time of requests.
	slowdown float64
}

type request struct {
	id       uint64
	router   string
	customer string
	name     string
	cost     float64
	hint     float64
	key      string
	sentAt   []time.Duration
	onUp     bool
	startUp  time.Duration
	duration time.Duration
	code     qlcode.Code
	ended    bool
	// submitted is when the caller sent it, granted when it first started.
	submitted time.Duration
	granted   time.Duration
	// taken is when the router's core took it, after any pause.
	taken time.Duration
	then  func(*request)
}

type fleetConfig struct {
	seed      uint64
	routers   int
	zones     int
	upstreams int
	slots     int
	// customers hold each customer's share.
	customers  []float64
	limits     func(customer int) qlconfig.Limits
	zoneDelay  time.Duration
	loss       float64
	loadLag    time.Duration
	isolated   bool
	window     time.Duration
	costToTime time.Duration
	// think is the time between an answer and the caller's next request.
	think time.Duration
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
	// cut reports whether messages between two routers are lost.
	cut func(a, b string) bool
	// lose reports whether a message is lost; nil loses none.
	lose          func(*qlwire.Message) bool
	configuration *qlconfig.Configuration
	list          qlcore.List
	service       map[string]float64
	// executions holds, for each key that ran, when its core took it.
	executions  map[string][]time.Duration
	messages    int
	bytes       int
	lastSent    map[[2]string]time.Duration
	idleSeconds float64
	slotSeconds float64
	violations  []string
	maxWait     map[string]time.Duration
	// lastStart and maxPause tell how long a flooding customer went without
	// any of its requests being sent.
	lastStart map[string]time.Duration
	maxPause  map[string]time.Duration
	allowed   map[qlinvariant.Kind]bool
	stopped   bool
	answered  int
	refusedBy map[qlcode.Code]int
}

func newFleet(t testing.TB, config fleetConfig) *fleet {
	f := &fleet{
		t:          t,
		config:     config,
		random:     rand.New(rand.NewPCG(config.seed, 7)),
		requests:   make(map[uint64]*request),
		cut:        func(string, string) bool { return false },
		service:    make(map[string]float64),
		executions: make(map[string][]time.Duration),
		lastSent:   make(map[[2]string]time.Duration),
		maxWait:    make(map[string]time.Duration),
		lastStart:  make(map[string]time.Duration),
		maxPause:   make(map[string]time.Duration),
		allowed:    make(map[qlinvariant.Kind]bool),
		refusedBy:  make(map[qlcode.Code]int),
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
		f.list.Routers = append(f.list.Routers, qlmember.Listed{
			ID:   f.nodes[i].id,
			Zone: f.nodes[i].zone,
		})
	}
	for _, n := range f.nodes {
		f.start(n, f.list, f.configuration)
	}
	f.after(_loadPeriod, f.reportLoads)
	return f
}

func customerName(i int) string { return fmt.Sprintf("c%02d", i) }

// build makes a configuration; change may edit the part before it is built.
func (f *fleet) build(revision uint64, change func(*qlconfig.Part)) *qlconfig.Configuration {
	pool := qlconfig.PoolText{
		Kind:        qlconfig.KindEngine,
		LargestCost: _largest,
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
					Pools:       []string{_pool},
					QueueLength: &queue,
					MaxWait:     &wait,
				},
				Parameters: []string{"share", "max-in-flight", "cost-rate", "queue-length", "max-wait"},
			},
		},
		Pools:     map[string]qlconfig.PoolText{_pool: pool},
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

// start starts a router empty, with what it reads from the platform.
func (f *fleet) start(n *node, list qlcore.List, configuration *qlconfig.Configuration) {
	n.epoch++
	n.alive = true
	n.paused = false
	n.backlog = nil
	n.flushing = false
	n.started = f.now
	epoch := n.epoch
	n.core = qlcore.New(qlcore.Config{
		Self:        n.id,
		Zone:        n.zone,
		Epoch:       n.epoch,
		Random:      rand.New(rand.NewPCG(f.config.seed, xxhash.Sum64String(n.id)+n.epoch)),
		ClaimWindow: f.config.window,
		Send:        func(to string, message *qlwire.Message) { f.send(n, epoch, to, message) },
		Start:       func(id uint64, a qlentry.Assignment) { f.startRequest(n, epoch, id, a) },
		Refuse:      func(id uint64, r qlcore.Refusal) { f.refuse(id, r) },
		Behind:      func(peer string) { f.behind(n, epoch, peer) },
		Isolated:    f.config.isolated,
		Monitor: &qlinvariant.Monitor{
			Report: func(v qlinvariant.Violation) {
				if !f.allowed[v.Kind()] {
					f.violations = append(f.violations, fmt.Sprintf("%v %s %v", f.now, n.id, v))
				}
			},
		},
	})
	n.core.AdoptList(0, list)
	if configuration != nil {
		n.core.AdoptConfiguration(0, configuration)
	}
	f.after(time.Duration(f.random.Int64N(int64(_stepTick))), func() { f.tick(n, epoch) })
}

func (n *node) clock(now time.Duration) time.Duration { return now - n.started }

func (f *fleet) at(at time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, event{
		at:       max(at, f.now),
		sequence: f.sequence,
		run:      run,
	})
}

func (f *fleet) after(d time.Duration, run func()) { f.at(f.now+d, run) }

// on runs something in a router's process, later if it is paused, never if
// that process is gone.
func (f *fleet) on(n *node, epoch uint64, run func()) {
	if !n.alive || n.epoch != epoch {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, func() { f.on(n, epoch, run) })
		return
	}
	run()
	if n.core.Pending() && !n.flushing {
		n.flushing = true
		f.after(_flushDelay, func() { f.flush(n, epoch) })
	}
}

func (f *fleet) flush(n *node, epoch uint64) {
	if n.epoch != epoch {
		return
	}
	n.flushing = false
	f.on(n, epoch, func() { n.core.Flush(n.clock(f.now)) })
}

func (f *fleet) tick(n *node, epoch uint64) {
	if !n.alive || n.epoch != epoch {
		return
	}
	f.on(n, epoch, func() { n.core.Tick(n.clock(f.now)) })
	f.after(_stepTick, func() { f.tick(n, epoch) })
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

// send delivers in order for each pair, as a connection does.
func (f *fleet) send(from *node, epoch uint64, to string, message *qlwire.Message) {
	target := f.node(to)
	size := proto.Size(message)
	f.messages++
	f.bytes += size
	from.sent += size
	if f.lose != nil && f.lose(message) {
		return
	}
	if target == nil || f.cut(from.id, to) || f.random.Float64() < f.config.loss {
		return
	}
	at := max(f.now+f.delay(from.zone, target.zone), f.lastSent[[2]string{from.id, to}])
	f.lastSent[[2]string{from.id, to}] = at
	copied := proto.Clone(message).(*qlwire.Message)
	f.at(at, func() {
		if f.cut(from.id, to) {
			return
		}
		f.on(target, target.epoch, func() { target.core.Receive(target.clock(f.now), from.id, epoch, copied) })
	})
}

// behind plays the fetch from a peer that is ahead.
func (f *fleet) behind(n *node, epoch uint64, peer string) {
	source := f.node(peer)
	f.after(2*f.delay(n.zone, source.zone), func() {
		if f.cut(n.id, peer) || !source.alive || source.paused {
			return
		}
		configuration := source.core.Configuration()
		f.on(n, epoch, func() {
			if configuration != nil {
				n.core.AdoptConfiguration(n.clock(f.now), configuration)
			}
		})
	})
}

func (f *fleet) upstream(id string) *upstream {
	for _, u := range f.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

func (f *fleet) reportLoads() {
	for _, u := range f.upstreams {
		u.history = append(u.history, u.running)
		lag := int(f.config.loadLag / _loadPeriod)
		reported := u.history[max(0, len(u.history)-1-lag)]
		for _, n := range f.nodes {
			f.reportLoad(n, u.id, reported)
		}
	}
	f.after(_loadPeriod, f.reportLoads)
}

func (f *fleet) reportLoad(n *node, id string, running int) {
	f.on(n, n.epoch, func() {
		for _, owned := range n.core.OwnedUpstreams() {
			if owned == id {
				n.core.ApplyLoad(n.clock(f.now), id, running)
			}
		}
	})
}

// submit sends a request to a router as a caller would.
func (f *fleet) submit(n *node, r *request) {
	f.nextID++
	r.id = f.nextID
	r.router = n.id
	r.submitted = f.now
	r.name = fmt.Sprintf("q%d", r.id)
	f.requests[r.id] = r
	if !n.alive {
		f.end(r, qlcode.UpstreamCut)
		return
	}
	f.on(n, n.epoch, func() {
		r.taken = f.now
		n.core.Submit(n.clock(f.now), qlcore.Request{
			ID:         r.id,
			Customer:   r.customer,
			Pool:       _pool,
			Name:       r.name,
			Hint:       r.hint,
			Key:        r.key,
			BodyHash:   []byte("body"),
			Repeatable: false,
		})
	})
}

func (f *fleet) refuse(id uint64, refusal qlcore.Refusal) {
	r := f.requests[id]
	if r == nil || r.ended {
		return
	}
	if len(r.sentAt) > 0 && refusal.Code().Run() == qlcode.RunNo {
		f.violations = append(f.violations, fmt.Sprintf("%v %s: refused as not run with %v after it was sent", f.now, r.name, refusal.Code()))
	}
	f.end(r, refusal.Code())
}

func (f *fleet) end(r *request, code qlcode.Code) {
	r.ended = true
	r.code = code
	delete(f.requests, r.id)
	if code == qlcode.Answered {
		f.answered++
	}
	f.refusedBy[code]++
	if r.then != nil && !f.stopped {
		r.then(r)
	}
}

// startRequest plays the traffic goroutine: it checks the time and sends.
func (f *fleet) startRequest(n *node, epoch uint64, id uint64, a qlentry.Assignment) {
	goodUntil, claimed := n.core.ClaimGoodUntil(id)
	// The goroutine runs a moment later; a pause may come in between.
	f.after(50*time.Microsecond, func() {
		f.on(n, epoch, func() {
			r := f.requests[id]
			now := n.clock(f.now)
			if r == nil {
				return
			}
			if now > a.SendBy() || (claimed && now >= goodUntil) {
				n.core.Retry(now, id, qldispatch.Declined)
				return
			}
			f.transmit(n, epoch, r, f.upstream(a.Upstream()))
		})
	})
}

func (f *fleet) transmit(n *node, epoch uint64, r *request, u *upstream) {
	r.sentAt = append(r.sentAt, f.now)
	f.maxPause[r.customer] = max(f.maxPause[r.customer], f.now-f.lastStart[r.customer])
	f.lastStart[r.customer] = f.now
	if len(r.sentAt) == 1 {
		r.granted = f.now
		f.maxWait[r.customer] = max(f.maxWait[r.customer], f.now-r.submitted)
	}
	u.lastRun = f.now
	d := f.delay(n.zone, u.zone)
	f.after(d, func() {
		u.running++
		u.peak = max(u.peak, u.running)
		r.onUp = true
		r.startUp = f.now
		r.duration = time.Duration(r.cost * u.slowdown * float64(f.config.costToTime))
		if r.key != "" {
			f.executions[r.key] = append(f.executions[r.key], r.taken)
		}
		f.after(r.duration, func() {
			u.running--
			r.onUp = false
			f.service[r.customer] += r.cost
			f.after(d, func() { f.finish(n, epoch, r) })
		})
	})
}

func (f *fleet) finish(n *node, epoch uint64, r *request) {
	f.on(n, epoch, func() {
		n.core.Finish(n.clock(f.now), r.id, r.cost, qldispatch.Answered)
		if !r.ended {
			f.end(r, qlcode.Answered)
		}
	})
}

// kill ends a router's process; its callers see cut connections.
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

// served returns a customer's service up to now, requests under way in part.
func (f *fleet) served() map[string]float64 {
	served := make(map[string]float64, len(f.service))
	for customer, cost := range f.service {
		served[customer] = cost
	}
	for _, r := range f.requests {
		if r.onUp && r.duration > 0 {
			served[r.customer] += r.cost * float64(f.now-r.startUp) / float64(r.duration)
		}
	}
	return served
}

func (f *fleet) check() {
	f.t.Helper()
	for i, violation := range f.violations {
		if i == 10 {
			f.t.Errorf("and %d more", len(f.violations)-i)
			return
		}
		f.t.Errorf("invariant: %s", violation)
	}
}

// _seeds is how many seeds the randomised tests run: few in CI, more by hand.
var _seeds = flag.Int("seeds", 6, "seeds of each randomised test")

// seedRange returns the seeds from 1 up.
func seedRange() []uint64 {
	seeds := make([]uint64, 0, *_seeds)
	for i := range *_seeds {
		seeds = append(seeds, uint64(i+1))
	}
	return seeds
}
