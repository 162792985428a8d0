//go:build !race

package qlcore_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlclaim"
	"github.com/quetzallane/quetzallane/internal/qlcore"
	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"github.com/quetzallane/quetzallane/pkg/qljson"
	"google.golang.org/protobuf/proto"
)

// The bench runs one real core with real encoding, and plays its peers, which
// are all like it: what it sends to one, that one sends to it.

type bench struct {
	size    size
	self    int
	core    *qlcore.Core
	random  *rand.Rand
	now     time.Duration
	inbox   []delivery
	streams map[string]*stream
	ends    []ending
	// hot are the requests of backlogged customers that wait, by customer.
	hot       map[uint64]int
	waiting   [_hotCustomers]int
	nextID    uint64
	sequence  uint64
	sentBytes map[string]int
	sent      map[string]int
	received  int
	recvBytes int
	started   int
}

type delivery struct {
	from string
	data []byte
}

// stream is the state of the two connections with one peer. Like qlpeer, it
// begins anew when nothing was sent for a while.
type stream struct {
	writer     *qlwire.NameWriter
	peerWriter *qlwire.NameWriter
	reader     *qlwire.NameReader
	sentAt     time.Duration
}

const _idleClose = 60 * time.Second

// _epoch is as large as one that a router takes from its clock.
const _epoch = 1_796_360_223_177

func (b *bench) stream(peer string) *stream {
	s := b.streams[peer]
	if s == nil || b.now-s.sentAt > _idleClose {
		s = &stream{
			writer:     qlwire.NewNameWriter(),
			peerWriter: qlwire.NewNameWriter(),
			reader:     &qlwire.NameReader{},
		}
		b.streams[peer] = s
	}
	s.sentAt = b.now
	return s
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

// newBench makes a core that owns as many upstreams as a node does on average,
// and about as many of each pool: it serves the load of one node.
func newBench(s size) *bench {
	configuration := buildParts(nil, 1, targetParts(s, s.limit))
	for i := range s.nodes {
		b := newBenchOf(s, i, configuration)
		owned := 0
		fewest, most := s.replicas, 0
		pools := b.core.State().Dispatcher
		for _, pool := range pools {
			owned += len(pool.Upstreams)
			fewest = min(fewest, len(pool.Upstreams))
			most = max(most, len(pool.Upstreams))
		}
		mean := s.replicas / s.nodes
		if len(pools) == 3 && fewest > 0 && most-fewest <= 1 && owned >= mean && owned <= mean+1 {
			return b
		}
	}
	panic("no router owns an average number of upstreams, of all pools")
}

func newBenchOf(s size, self int, configuration *qlconfig.Configuration) *bench {
	b := &bench{
		size:      s,
		self:      self,
		random:    rand.New(rand.NewPCG(1, 2)),
		sentBytes: make(map[string]int),
		sent:      make(map[string]int),
		streams:   make(map[string]*stream),
		hot:       make(map[uint64]int),
	}
	b.core = qlcore.New(qlcore.Config{
		Self:   router(self),
		Zone:   fmt.Sprintf("zone-%d", self%6),
		Epoch:  _epoch,
		Random: rand.New(rand.NewPCG(3, 4)),
		Send:   b.send,
		Start: func(id uint64, _ qlentry.Assignment) {
			b.cool(id)
			b.started++
			b.ends = append(b.ends, ending{at: b.now + b.length(), id: id})
		},
		Refuse: func(id uint64, _ qlcore.Refusal) { b.cool(id) },
	})
	list := qlcore.VMList{
		Revision: 1,
	}
	for i := range s.nodes {
		list.Routers = append(list.Routers, qlmember.ListedRouter{
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
	data, err := proto.Marshal(b.stream(to).writer.Shorten(message))
	if err != nil {
		panic(err)
	}
	kind := fmt.Sprintf("%T", message.GetBody())[len("*qlwire.Message_"):]
	b.sent[kind]++
	b.sentBytes[kind] += len(data) + _frameOverhead
	b.answer(to, message)
}

// answer plays the peer that a message is for. What this node sends to a peer,
// a fleet of such nodes sends to it: the peer has the same to say, and grants,
// ends and reports as this node does.
func (b *bench) answer(peer string, message *qlwire.Message) {
	switch body := message.GetBody().(type) {
	case *qlwire.Message_Probe:
		b.deliver(peer, message)
		b.deliver(peer, &qlwire.Message{
			Body: &qlwire.Message_ProbeAck{
				ProbeAck: &qlwire.ProbeAck{
					Sequence:           body.Probe.GetSequence(),
					SubjectIncarnation: _epoch,
					Digest:             body.Probe.GetDigest(),
				},
			},
		})
	case *qlwire.Message_Grant:
		mirrored := proto.Clone(message).(*qlwire.Message)
		// An upstream of the peer's; its name is as long.
		mirrored.GetGrant().Upstream = "upstream-" + peer[len(peer)-3:] + "x"
		b.deliver(peer, mirrored)
	case *qlwire.Message_Demand, *qlwire.Message_DemandRequest, *qlwire.Message_Done, *qlwire.Message_Offer, *qlwire.Message_UsageReport:
		b.deliver(peer, message)
	case *qlwire.Message_UsageReply:
		b.deliver(peer, &qlwire.Message{
			Body: &qlwire.Message_UsageReply{
				UsageReply: b.fleetReply(body.UsageReply),
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

// fleetReply is a home's answer as it is when a backlogged customer waits at
// two entries, of which the bench is one, and so at 18 dispatchers.
func (b *bench) fleetReply(reply *qlwire.UsageReply) *qlwire.UsageReply {
	const entries, dispatchers = 2, 18
	fleet := proto.Clone(reply).(*qlwire.UsageReply)
	for _, total := range fleet.GetTotals() {
		total.MaxInFlight = uint32(b.size.limit / entries)
		total.Servers = dispatchers
	}
	return fleet
}

func (b *bench) deliver(from string, message *qlwire.Message) {
	data, err := proto.Marshal(b.stream(from).peerWriter.Shorten(message))
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

// step plays 10 ms: callers, peers' claims, ends and the clock.
func (b *bench) step() {
	const step = 10 * time.Millisecond
	b.now += step
	rate := b.size.rate / float64(b.size.nodes)
	for range b.times(rate*_lightPart, step) {
		b.submit(customer(b.random.IntN(b.size.customers)), b.random.IntN(3))
	}
	b.submitHot()
	for range b.times(qlclaim.Acceptors*rate*_keyedPart, step) {
		b.claim()
	}
	b.finishEnded()
	b.drain()
	b.core.Tick(b.now)
	b.drain()
	if b.core.NeedsFlush() {
		b.core.Flush(b.now)
	}
}

// submitHot keeps two requests of each backlogged customer waiting here; each
// has one pool, so that all pools are short of slots.
func (b *bench) submitHot() {
	for i := range min(_hotCustomers, b.size.customers) {
		for b.waiting[i] < 2 {
			b.hot[b.nextID+1] = i
			b.waiting[i]++
			b.submit(customer(i), i%3)
		}
	}
}

// cool notes that a request waits no more.
func (b *bench) cool(id uint64) {
	if i, ok := b.hot[id]; ok {
		delete(b.hot, id)
		b.waiting[i]--
	}
}

func (b *bench) submit(id string, pool int) {
	b.nextID++
	request := qlcore.Request{
		ID:         b.nextID,
		Customer:   id,
		Pool:       fmt.Sprintf("m%d", pool),
		ExternalID: fmt.Sprintf("%s-mc9x3k2p-%d", router(b.self), b.nextID),
		CostHint:   228,
	}
	if b.random.Float64() < _keyedPart {
		request.Key = fmt.Sprint(b.nextID)
		request.BodyHash = []byte("01234567")
	}
	b.core.Submit(b.now, request)
}

func (b *bench) claim() {
	b.sequence++
	b.deliver(b.peer(), &qlwire.Message{
		Body: &qlwire.Message_ClaimRequest{
			ClaimRequest: &qlwire.ClaimRequest{
				Attempt:   _epoch<<20 + b.sequence,
				Key:       fmt.Appendf(nil, "key-%012d", b.sequence),
				BodyHash:  []byte("01234567"),
				Request:   "-mc9x3k2p-123456",
				Acceptors: 1,
			},
		},
	})
}

func (b *bench) finishEnded() {
	var ended []uint64
	running := make([]ending, 0, len(b.ends))
	for _, e := range b.ends {
		if b.now >= e.at {
			ended = append(ended, e.id)
			continue
		}
		running = append(running, e)
	}
	// An end frees a slot, by which another request starts.
	b.ends = running
	for _, id := range ended {
		b.core.Finish(b.now, id, 228, qldispatch.Answered)
	}
}

func (b *bench) drain() {
	for len(b.inbox) > 0 {
		next := b.inbox[0]
		b.inbox = b.inbox[1:]
		message := &qlwire.Message{}
		if err := proto.Unmarshal(next.data, message); err != nil {
			panic(err)
		}
		if err := b.streams[next.from].reader.Restore(message); err != nil {
			panic(err)
		}
		b.core.Receive(b.now, next.from, _epoch, message)
	}
}
