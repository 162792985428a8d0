//go:build !race

package qlcore_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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
			Pool:    fmt.Sprintf("m%d", m),
			Level:   1e9,
			Waiting: 5,
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
