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

// The bench runs one real core with real encoding and simulates its peers. All
// routers are assumed to behave alike, so that each message which the core
// sends to a peer is mirrored: the peer sends a similar one back.

type bench struct {
	size           fleetSize
	self           int
	core           *qlcore.Core
	random         *rand.Rand
	now            time.Duration
	inbox          []delivery
	streams        map[string]*stream
	activeRequests []activeRequest
	// waitingBacklogged maps the waiting requests of backlogged customers to
	// the customers' numbers.
	waitingBacklogged map[uint64]int
	waiting           [_backloggedCustomers]int
	nextID            uint64
	sequence          uint64
	sentBytes         map[string]int
	sent              map[string]int
	received          int
	recvBytes         int
	started           int
}

type delivery struct {
	from string
	data []byte
}

// stream is the encoding state of the two connections with one peer. As in
// qlpeer, it is replaced when nothing was sent for _idleClose.
type stream struct {
	writer     *qlwire.NameWriter
	peerWriter *qlwire.NameWriter
	reader     *qlwire.NameReader
	sentAt     time.Duration
}

const _idleClose = 60 * time.Second

// _epoch has the size of the epochs that routers take from their clocks, since
// its encoded length depends on it.
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

type activeRequest struct {
	endsAt time.Duration
	id     uint64
}

func router(i int) string { return fmt.Sprintf("router-%03d", i) }

func customer(i int) string { return fmt.Sprintf("customer-%05d", i) }

// targetParts returns the configuration's parts: one shared part, and parts of
// up to customersPerPart customers. limit is the first customer's limit on
// requests in flight.
func targetParts(s fleetSize, limit int) [][]byte {
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
		for i := m; i < s.upstreams; i += 3 {
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

// newBench returns a bench whose core owns an average number of upstreams,
// about equally many of each pool, so that it serves the load of one average
// router.
func newBench(s fleetSize) *bench {
	configuration := buildParts(nil, 1, targetParts(s, s.limit))
	for i := range s.nodes {
		b := newBenchOf(s, i, configuration)
		owned := 0
		fewest, most := s.upstreams, 0
		pools := b.core.State().Dispatcher
		for _, pool := range pools {
			owned += len(pool.Upstreams)
			fewest = min(fewest, len(pool.Upstreams))
			most = max(most, len(pool.Upstreams))
		}
		mean := s.upstreams / s.nodes
		if len(pools) == 3 && fewest > 0 && most-fewest <= 1 && owned >= mean && owned <= mean+1 {
			return b
		}
	}
	panic("no router owns an average number of upstreams, of all pools")
}

func newBenchOf(s fleetSize, self int, configuration *qlconfig.Configuration) *bench {
	b := &bench{
		size:              s,
		self:              self,
		random:            rand.New(rand.NewPCG(1, 2)),
		sentBytes:         make(map[string]int),
		sent:              make(map[string]int),
		streams:           make(map[string]*stream),
		waitingBacklogged: make(map[uint64]int),
	}
	b.core = qlcore.New(qlcore.Config{
		Self:   router(self),
		Zone:   fmt.Sprintf("zone-%d", self%6),
		Epoch:  _epoch,
		Random: rand.New(rand.NewPCG(3, 4)),
		Send:   b.send,
		Start: func(id uint64, _ qlentry.Assignment) {
			b.markNotWaiting(id)
			b.started++
			b.activeRequests = append(b.activeRequests, activeRequest{endsAt: b.now + b.requestDuration(), id: id})
		},
		Refuse: func(id uint64, _ qlcore.Refusal) { b.markNotWaiting(id) },
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

// requestDuration returns a random request duration: on average 16.2 s, that is
// 228 tokens of 71 ms.
func (b *bench) requestDuration() time.Duration {
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
	b.replyAsPeer(to, message)
}

// replyAsPeer simulates the peer that receives a message. In a fleet of routers
// like this one, the core receives from its peers as many messages of each kind
// as it sends to them, so the peer mirrors demands, grants, ends and reports,
// and answers requests.
func (b *bench) replyAsPeer(peer string, message *qlwire.Message) {
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
		// The upstream is one of the peer's; its name has the same length.
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

// fleetReply returns a usage home's answer as it would be in the whole fleet,
// where a backlogged customer's requests wait at two entries, one of them this
// router, and therefore at 18 dispatchers.
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

// randomCount returns how many events of a rate happen within one step; the
// expected number is rounded up or down at random.
func (b *bench) randomCount(perSecond float64, step time.Duration) int {
	expected := perSecond * step.Seconds()
	count := int(expected)
	if b.random.Float64() < expected-float64(count) {
		count++
	}
	return count
}

// step simulates 10 ms: new requests, peers' claims, ends of requests and a
// tick.
func (b *bench) step() {
	const step = 10 * time.Millisecond
	b.now += step
	rate := b.size.rate / float64(b.size.nodes)
	for range b.randomCount(rate*_lightFraction, step) {
		b.submit(customer(b.random.IntN(b.size.customers)), b.random.IntN(3))
	}
	b.submitBacklogged()
	for range b.randomCount(qlclaim.AcceptorCount*rate*_keyedFraction, step) {
		b.claim()
	}
	b.finishDue()
	b.drain()
	b.core.Tick(b.now)
	b.drain()
	if b.core.NeedsFlush() {
		b.core.Flush(b.now)
	}
}

// submitBacklogged keeps two requests of each backlogged customer waiting. Each
// of these customers uses one pool; together they keep all pools short of
// slots.
func (b *bench) submitBacklogged() {
	for i := range min(_backloggedCustomers, b.size.customers) {
		for b.waiting[i] < 2 {
			b.waitingBacklogged[b.nextID+1] = i
			b.waiting[i]++
			b.submit(customer(i), i%3)
		}
	}
}

// markNotWaiting records that a request no longer waits.
func (b *bench) markNotWaiting(id uint64) {
	if i, ok := b.waitingBacklogged[id]; ok {
		delete(b.waitingBacklogged, id)
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
	if b.random.Float64() < _keyedFraction {
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

func (b *bench) finishDue() {
	var ended []uint64
	running := make([]activeRequest, 0, len(b.activeRequests))
	for _, e := range b.activeRequests {
		if b.now >= e.endsAt {
			ended = append(ended, e.id)
			continue
		}
		running = append(running, e)
	}
	// Finishing a request frees a slot, which may start another request and
	// append it to activeRequests.
	b.activeRequests = running
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
