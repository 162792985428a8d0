//go:build !race

package qlcore_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlcore"
	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"github.com/quetzallane/quetzallane/pkg/qljson"
	"google.golang.org/protobuf/proto"
)

// The bench runs one real core with real encoding, and plays its peers: each
// answers probes, reports and claims, and sends its own share of them.

// The target for each node, from the users' letter.
const (
	_targetCore  = 0.015
	_targetHeap  = 32 << 20
	_targetBytes = 3000.0
	// _frameOverhead is what a frame adds to its messages on a connection;
	// internal/qlpeer measures it.
	_frameOverhead = 4
	// _keyedPart is the assumed part of requests with an idempotency key.
	_keyedPart = 0.1
	// _lightPart is the part of the load from customers that are not
	// backlogged. Of the 2,300 that are, some wait at each router.
	_lightPart    = 0.6
	_hotCustomers = 12
)

type size struct {
	nodes     int
	replicas  int
	customers int
	slots     int
	rate      float64
	// limit is each customer's bound on requests in flight. With one below
	// the number of dispatchers, most of these must ask before they grant.
	limit int
}

// sizes from today's users to the target, load for each node kept alike.
var _sizes = []size{
	{nodes: 9, replicas: 20, customers: 15, slots: 48, rate: 80, limit: 2000},
	{nodes: 40, replicas: 318, customers: 2360, slots: 48, rate: 944, limit: 2000},
	{nodes: 130, replicas: 1033, customers: 7670, slots: 48, rate: 3067, limit: 2000},
	{nodes: 390, replicas: 3100, customers: 23000, slots: 48, rate: 9200, limit: 2000},
}

// _tightLimit is the target's size with limits below the number of nodes.
var _tightLimit = size{
	nodes:     390,
	replicas:  3100,
	customers: 23000,
	slots:     48,
	rate:      9200,
	limit:     64,
}

type bench struct {
	size      size
	self      int
	core      *qlcore.Core
	random    *rand.Rand
	now       time.Duration
	inbox     []delivery
	ends      []ending
	hot       []string
	nextID    uint64
	sequence  uint64
	sentBytes map[string]int
	sent      map[string]int
	received  int
	recvBytes int
}

type delivery struct {
	from string
	data []byte
}

type ending struct {
	at time.Duration
	id uint64
}

func router(i int) string { return fmt.Sprintf("router-%03d", i) }

func customer(i int) string { return fmt.Sprintf("customer-%05d", i) }

// targetParts returns the configuration's parts: one shared part and some of
// customersPerPart customers each.
func targetParts(s size, limit int) [][]byte {
	const customersPerPart = 90
	shared := qlconfig.Part{
		Templates: map[string]qlconfig.TemplateText{
			"t": {
				Limits: qlconfig.Limits{
					Pools: []string{"m0", "m1", "m2"},
				},
				Parameters: []string{"share", "max-in-flight"},
			},
		},
		Pools: make(map[string]qlconfig.PoolText),
	}
	for m := range 3 {
		pool := qlconfig.PoolText{
			Kind:        qlconfig.KindEngine,
			LargestCost: 4000,
			Timeout:     qljson.Duration(2 * time.Minute),
		}
		for i := m; i < s.replicas; i += 3 {
			pool.Upstreams = append(pool.Upstreams, qlconfig.UpstreamText{
				ID:      fmt.Sprintf("upstream-%04d", i),
				Address: "10.0.0.1:80",
				Zone:    fmt.Sprintf("zone-%d", i/3%6),
				Slots:   s.slots,
			})
		}
		shared.Pools[fmt.Sprintf("m%d", m)] = pool
	}
	parts := [][]byte{marshalPart(shared)}
	for first := 0; first < s.customers; first += customersPerPart {
		part := qlconfig.Part{
			Customers: make(map[string]qlconfig.CustomerText),
		}
		for i := first; i < min(first+customersPerPart, s.customers); i++ {
			bound := s.limit
			if i == 0 {
				bound = limit
			}
			part.Customers[customer(i)] = qlconfig.CustomerText{
				Template:  "t",
				KeyHashes: []string{qlconfig.HashKey(customer(i))},
				Parameters: qlconfig.Limits{
					MaxInFlight: &bound,
				},
			}
		}
		parts = append(parts, marshalPart(part))
	}
	return parts
}

func marshalPart(part qlconfig.Part) []byte {
	text, err := json.Marshal(part)
	if err != nil {
		panic(err)
	}
	return text
}

func buildParts(previous *qlconfig.Configuration, revision uint64, parts [][]byte) *qlconfig.Configuration {
	fetched := make(map[string][]byte, len(parts))
	for _, part := range parts {
		fetched[qlconfig.HashPart(part)] = part
	}
	built, err := qlconfig.Builder{
		Previous: previous,
	}.Build(qlconfig.NewIndex(revision, parts), fetched)
	if err != nil {
		panic(err)
	}
	return built
}

// newBench makes a core that owns upstreams of all three pools, as most do.
func newBench(s size) *bench {
	configuration := buildParts(nil, 1, targetParts(s, s.limit))
	for i := range s.nodes {
		b := newBenchOf(s, i, configuration)
		pools := 0
		for _, pool := range b.core.State().Dispatcher {
			if len(pool.Upstreams) > 0 {
				pools++
			}
		}
		if pools == 3 {
			return b
		}
	}
	panic("no router owns upstreams of all pools")
}

func newBenchOf(s size, self int, configuration *qlconfig.Configuration) *bench {
	b := &bench{
		size:      s,
		self:      self,
		random:    rand.New(rand.NewPCG(1, 2)),
		sentBytes: make(map[string]int),
		sent:      make(map[string]int),
	}
	b.core = qlcore.New(qlcore.Config{
		Self:   router(self),
		Zone:   fmt.Sprintf("zone-%d", self%6),
		Epoch:  1,
		Random: rand.New(rand.NewPCG(3, 4)),
		Send:   b.send,
		Start:  func(id uint64, _ qlentry.Assignment) { b.ends = append(b.ends, ending{at: b.now + b.length(), id: id}) },
		Refuse: func(uint64, qlcore.Refusal) {},
	})
	list := qlcore.List{
		Revision: 1,
	}
	for i := range s.nodes {
		list.Routers = append(list.Routers, qlmember.Listed{
			ID:      router(i),
			Zone:    fmt.Sprintf("zone-%d", i%6),
			Address: "10.0.0.1:1",
		})
	}
	b.core.AdoptList(0, list)
	b.core.AdoptConfiguration(0, configuration)
	return b
}

// length is a request's time: 228 tokens of 71 ms on average.
func (b *bench) length() time.Duration {
	return time.Duration((0.2 + 1.6*b.random.Float64()) * 16.2 * float64(time.Second))
}

func (b *bench) send(to string, message *qlwire.Message) {
	data, err := proto.Marshal(&qlwire.Frame{
		Messages: []*qlwire.Message{message},
	})
	if err != nil {
		panic(err)
	}
	kind := fmt.Sprintf("%T", message.GetBody())[len("*qlwire.Message_"):]
	b.sent[kind]++
	b.sentBytes[kind] += len(data) + _frameOverhead
	b.answer(to, message)
}

// answer plays the peer that a message is for.
func (b *bench) answer(peer string, message *qlwire.Message) {
	switch body := message.GetBody().(type) {
	case *qlwire.Message_Probe:
		b.deliver(peer, &qlwire.Message{
			Body: &qlwire.Message_ProbeAck{
				ProbeAck: &qlwire.ProbeAck{
					Sequence:           body.Probe.GetSequence(),
					SubjectIncarnation: 1,
					Digest:             b.digest(),
				},
			},
		})
	case *qlwire.Message_UsageReport:
		reply := &qlwire.UsageReply{
			Sequence:    body.UsageReport.GetSequence(),
			Pool:        body.UsageReport.GetPool(),
			VirtualTime: 1e9,
		}
		for _, item := range body.UsageReport.GetItems() {
			reply.Totals = append(reply.Totals, &qlwire.UsageTotal{
				Customer:    item.GetCustomer(),
				VirtualTime: 1e9 + 1000*item.GetUsed(),
				Included:    item.GetUsed(),
				MaxInFlight: 10,
				Servers:     3,
			})
		}
		b.deliver(peer, &qlwire.Message{
			Body: &qlwire.Message_UsageReply{
				UsageReply: reply,
			},
		})
	case *qlwire.Message_ClaimSync:
		b.deliver(peer, &qlwire.Message{
			Body: &qlwire.Message_ClaimCopy{
				ClaimCopy: &qlwire.ClaimCopy{
					Vouched:      true,
					ListRevision: 1,
				},
			},
		})
	case *qlwire.Message_ClaimRequest:
		b.deliver(peer, &qlwire.Message{
			Body: &qlwire.Message_ClaimReply{
				ClaimReply: &qlwire.ClaimReply{
					Attempt: body.ClaimRequest.GetAttempt(),
					Verdict: 1,
				},
			},
		})
	}
}

func (b *bench) digest() *qlwire.Digest {
	return &qlwire.Digest{
		ConfigurationRevision: 1,
		ListRevision:          1,
		Levels:                b.levels(),
	}
}

func (b *bench) levels() []*qlwire.PoolLevel {
	var levels []*qlwire.PoolLevel
	for m := range 3 {
		levels = append(levels, &qlwire.PoolLevel{
			Pool:        fmt.Sprintf("m%d", m),
			VirtualTime: 1e9,
			Level:       1e9,
			Waiting:     5,
		})
	}
	return levels
}

func (b *bench) deliver(from string, message *qlwire.Message) {
	data, err := proto.Marshal(&qlwire.Frame{
		Messages: []*qlwire.Message{message},
	})
	if err != nil {
		panic(err)
	}
	b.received++
	b.recvBytes += len(data) + _frameOverhead
	b.inbox = append(b.inbox, delivery{
		from: from,
		data: data,
	})
}

func (b *bench) peer() string {
	return router((b.self + 1 + b.random.IntN(b.size.nodes-1)) % b.size.nodes)
}

// times draws how often something of a rate happens within a step.
func (b *bench) times(perSecond float64, step time.Duration) int {
	expected := perSecond * step.Seconds()
	count := int(expected)
	if b.random.Float64() < expected-float64(count) {
		count++
	}
	return count
}

// step plays 10 ms: callers, peers' own traffic, ends and the clock.
func (b *bench) step(reports float64) {
	const step = 10 * time.Millisecond
	b.now += step
	rate := b.size.rate / float64(b.size.nodes)
	for range b.times(rate*_lightPart, step) {
		b.submit(customer(b.random.IntN(b.size.customers)))
	}
	for len(b.hot) < min(_hotCustomers, b.size.customers) {
		b.hot = append(b.hot, customer(len(b.hot)))
	}
	// Backlogged customers keep a few requests waiting here at any time.
	for b.core.Unfinished()-len(b.ends) < 2*len(b.hot) {
		b.submit(b.hot[b.random.IntN(len(b.hot))])
	}
	for range b.times(2, step) {
		b.sequence++
		b.deliver(b.peer(), &qlwire.Message{
			Body: &qlwire.Message_Probe{
				Probe: &qlwire.Probe{
					Sequence: b.sequence,
					Digest:   b.digest(),
				},
			},
		})
	}
	for range b.times(8, step) {
		b.deliver(b.peer(), &qlwire.Message{
			Body: &qlwire.Message_Offer{
				Offer: &qlwire.Offer{
					Levels: b.levels(),
				},
			},
		})
	}
	for range b.times(reports, step) {
		b.report()
	}
	for range b.times(3*rate*_keyedPart, step) {
		b.claim()
	}
	b.finishEnded()
	b.drain()
	b.core.Tick(b.now)
	b.drain()
	if b.core.Pending() {
		b.core.Flush(b.now)
	}
}

func (b *bench) submit(id string) {
	b.nextID++
	request := qlcore.Request{
		ID:       b.nextID,
		Customer: id,
		Pool:     fmt.Sprintf("m%d", b.random.IntN(3)),
		Name:     "q",
		Hint:     228,
	}
	if b.random.Float64() < _keyedPart {
		request.Key = fmt.Sprint(b.nextID)
		request.BodyHash = []byte("0123456789abcdef")
	}
	b.core.Submit(b.now, request)
}

// report plays another dispatcher that reports a customer homed here.
func (b *bench) report() {
	b.sequence++
	b.deliver(b.peer(), &qlwire.Message{
		Body: &qlwire.Message_UsageReport{
			UsageReport: &qlwire.UsageReport{
				Sequence:    b.sequence,
				VirtualTime: 1e9,
				Pool:        "m0",
				Items: []*qlwire.UsageItem{
					{
						Customer:         customer(b.random.IntN(b.size.customers)),
						Used:             1000,
						Unreported:       200,
						KnownVirtualTime: 1e9,
						InFlight:         2,
						Waiting:          1,
						Allotted:         1,
					},
				},
			},
		},
	})
}

func (b *bench) claim() {
	b.sequence++
	b.deliver(b.peer(), &qlwire.Message{
		Body: &qlwire.Message_ClaimRequest{
			ClaimRequest: &qlwire.ClaimRequest{
				Attempt:   b.sequence,
				Key:       fmt.Appendf(nil, "key-%012d", b.sequence),
				BodyHash:  []byte("0123456789abcdef"),
				Request:   "router-000-abcdefgh-123456",
				Acceptors: 1,
			},
		},
	})
}

func (b *bench) finishEnded() {
	kept := b.ends[:0]
	for _, e := range b.ends {
		if b.now >= e.at {
			b.core.Finish(b.now, e.id, 228, qldispatch.Answered)
			continue
		}
		kept = append(kept, e)
	}
	b.ends = kept
}

func (b *bench) drain() {
	for len(b.inbox) > 0 {
		next := b.inbox[0]
		b.inbox = b.inbox[1:]
		frame := &qlwire.Frame{}
		if err := proto.Unmarshal(next.data, frame); err != nil {
			panic(err)
		}
		for _, message := range frame.GetMessages() {
			b.core.Receive(b.now, next.from, 1, message)
		}
	}
}

func heapAfterCollection() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

type costs struct {
	core      float64
	heap      uint64
	sentBytes float64
	recvBytes float64
	sent      float64
	received  float64
	kinds     map[string]float64
}

// measureCosts runs a bench for 60 s of its clock after 40 s of warming up.
func measureCosts(s size) costs {
	before := heapAfterCollection()
	b := newBench(s)
	// What this node reports, all nodes do, and the reports fall on all homes
	// alike: first learn the rate of reports sent, then play as many.
	for range 4000 {
		b.step(0)
	}
	b.sent = make(map[string]int)
	for range 1000 {
		b.step(0)
	}
	reports := float64(b.sent["UsageReport"]) / 10
	b.sent, b.sentBytes = make(map[string]int), make(map[string]int)
	b.received, b.recvBytes = 0, 0
	const seconds = 60
	began := time.Now()
	for range seconds * 100 {
		b.step(reports)
	}
	took := time.Since(began)
	c := costs{
		core:      took.Seconds() / seconds,
		heap:      heapAfterCollection() - before,
		recvBytes: float64(b.recvBytes) / seconds,
		received:  float64(b.received) / seconds,
		kinds:     make(map[string]float64),
	}
	for kind, bytes := range b.sentBytes {
		c.sentBytes += float64(bytes) / seconds
		c.sent += float64(b.sent[kind]) / seconds
		c.kinds[kind] = float64(bytes) / seconds
	}
	runtime.KeepAlive(b)
	return c
}

// TestBoundOnControlAtTarget prints the rows of docs/CAPACITY.md and holds
// processor time and heap to the target.
func TestBoundOnControlAtTarget(t *testing.T) {
	for _, s := range append(_sizes, _tightLimit) {
		c := measureCosts(s)
		t.Logf("%d nodes, %d replicas, %d customers, limits %d: core %.2f%%, heap %.1f MB, sent %.0f B/s in %.0f messages/s, received %.0f B/s in %.0f messages/s",
			s.nodes, s.replicas, s.customers, s.limit, 100*c.core, float64(c.heap)/(1<<20), c.sentBytes, c.sent, c.recvBytes, c.received)
		t.Logf("  bytes/s sent by kind: %s", kindsText(c.kinds))
		if c.core > _targetCore {
			t.Errorf("%d nodes: got %.2f%% of a core, want at most %.2f%%", s.nodes, 100*c.core, 100*_targetCore)
		}
		if c.heap > _targetHeap {
			t.Errorf("%d nodes: got %d bytes of heap, want at most %d", s.nodes, c.heap, _targetHeap)
		}
	}
}

// TestBoundOnControlBytesAtTarget holds the bytes sent to the target.
func TestBoundOnControlBytesAtTarget(t *testing.T) {
	c := measureCosts(_sizes[len(_sizes)-1])
	if c.sentBytes > _targetBytes {
		t.Errorf("got %.0f bytes/s sent, want at most %.0f", c.sentBytes, _targetBytes)
	}
}

// TestBoundOnConfigurationChange measures a change of one customer at the
// target's size: the time to check it and what it adds to the heap.
func TestBoundOnConfigurationChange(t *testing.T) {
	s := _sizes[len(_sizes)-1]
	before := heapAfterCollection()
	parts := targetParts(s, s.limit)
	began := time.Now()
	first := buildParts(nil, 1, parts)
	whole := time.Since(began)
	heap := heapAfterCollection() - before
	changed := targetParts(s, s.limit+1)
	began = time.Now()
	const changes = 10
	for i := range changes {
		buildParts(first, uint64(2+i), changed)
	}
	each := time.Since(began) / changes
	bytes := 0
	for _, part := range parts {
		bytes += len(part)
	}
	perDay := 4300 * each.Seconds() / 86400
	t.Logf("%d parts, %d bytes; checked whole in %v, one change in %v (%.3f%% of a core at 4300 a day); heap %.1f MB",
		len(parts), bytes, whole, each, 100*perDay, float64(heap)/(1<<20))
	if want := 0.005; perDay > want {
		t.Errorf("changes: got %.3f%% of a core, want at most %.3f%%", 100*perDay, 100*want)
	}
	runtime.KeepAlive(first)
}

func kindsText(kinds map[string]float64) string {
	names := make([]string, 0, len(kinds))
	for kind := range kinds {
		names = append(names, kind)
	}
	sort.Strings(names)
	text := ""
	for _, kind := range names {
		text += fmt.Sprintf("%s %.0f ", kind, kinds[kind])
	}
	return text
}
