package qlowner

import (
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"google.golang.org/protobuf/proto"
)

// box returns the packet that gathers for a router.
func (c *Core) box(now time.Duration, to string) *outbox {
	box := c.outboxes[to]
	if box == nil {
		box = &outbox{
			packet: c.newPacket(),
			since:  now,
		}
		c.outboxes[to] = box
	}
	return box
}

func (c *Core) newPacket() *qlfleetwire.Packet {
	return &qlfleetwire.Packet{
		From:        c.config.Self,
		Incarnation: c.config.Incarnation,
		Late:        c.IsLagging(),
	}
}

// Flush sends what is due.
func (c *Core) Flush(now time.Duration) {
	for to, box := range c.outboxes {
		if !box.urgent && now-box.since < _noteDelay {
			continue
		}
		delete(c.outboxes, to)
		if router := c.routers[to]; router != nil {
			c.send(router.GetAddress(), box.packet)
		}
	}
}

// NextFlush returns when Flush has to be called next.
func (c *Core) NextFlush() (at time.Duration, ok bool) {
	for _, box := range c.outboxes {
		if due := box.since + _noteDelay; !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}

func (c *Core) send(address string, packet *qlfleetwire.Packet) {
	c.stats.Packets++
	c.config.Send(address, packet)
}

func (c *Core) sendMembership(to string, message *qlwire.Message) {
	router := c.routers[to]
	if router == nil {
		return
	}
	body, err := proto.Marshal(message)
	if err != nil {
		c.config.OnMessageError(to, errors.Annotate(err, "membership not encoded"))
		return
	}
	packet := c.newPacket()
	packet.Membership = body
	c.send(router.GetAddress(), packet)
}

// introduce tells a router of those that this one knows, and asks for those
// that it knows.
func (c *Core) introduce(now time.Duration) {
	if now < c.introduceAt {
		return
	}
	wait, count := _introduceLater, _introducedAgain
	if !c.settled(now) {
		wait, count = _introduceSoon, _introduced
	}
	targets := c.config.Seeds
	if len(c.routers) == 0 {
		wait = _introduceFirst
	} else if ids := c.members.IDs(); len(ids) > 0 {
		other := c.routers[ids[c.config.Random.IntN(len(ids))]].GetAddress()
		targets = []string{other}
		if len(c.config.Seeds) > 0 {
			targets = append(targets, c.config.Seeds[c.config.Random.IntN(len(c.config.Seeds))])
		}
	}
	c.introduceAt = now + wait
	for _, address := range targets {
		if address != c.config.Address {
			packet := c.newPacket()
			packet.Introduction = c.introduction(true, count)
			c.send(address, packet)
		}
	}
}

// settled reports whether no router was learned of for a while.
func (c *Core) settled(now time.Duration) bool {
	return len(c.routers) > 0 && now-c.learnedAt > _settledAfter
}

func (c *Core) introduction(wantsReply bool, count int) *qlfleetwire.Introduction {
	introduction := &qlfleetwire.Introduction{
		WantsReply: wantsReply,
		Routers: []*qlfleetwire.Router{{
			Id:       c.config.Self,
			Zone:     c.config.Zone,
			Address:  c.config.Address,
			Leaving:  c.leaving,
			Capacity: c.config.Capacity,
		}},
	}
	for _, i := range c.config.Random.Perm(len(c.members.IDs())) {
		if len(introduction.Routers) >= count {
			break
		}
		introduction.Routers = append(introduction.Routers, c.routers[c.members.IDs()[i]])
	}
	return introduction
}

// Receive takes a packet from an address.
func (c *Core) Receive(now time.Duration, source string, packet *qlfleetwire.Packet) {
	from := packet.GetFrom()
	if from == "" || from == c.config.Self {
		return
	}
	if introduction := packet.GetIntroduction(); introduction != nil {
		count := _introducedAgain
		if c.routers[from] == nil || !c.settled(now) {
			count = _introduced
		}
		c.learn(now, introduction.GetRouters())
		if introduction.GetWantsReply() {
			reply := c.newPacket()
			reply.Introduction = c.introduction(false, count)
			c.send(source, reply)
		}
	}
	if len(packet.GetMembership()) > 0 {
		c.receiveMembership(now, from, packet.GetMembership())
	}
	c.members.Note(now, from)
	if packet.GetLate() {
		c.placer.MarkLagging(now, from)
	}
	for _, ask := range packet.GetAsks() {
		c.answer(now, from, ask)
	}
	for _, verdict := range packet.GetVerdicts() {
		c.receiveVerdict(now, from, verdict)
	}
	for _, note := range packet.GetNotes() {
		c.receiveNote(now, from, note)
	}
	if update := packet.GetUpdate(); update != nil {
		c.config.OnUpdate(now, source, update)
	}
	if running := packet.GetRunning(); running != nil {
		c.placer.Retain(now, from, decodeRunning(running), _runSlack)
	}
}

func encodeRunning(requests []uint64) *qlfleetwire.Running {
	running := &qlfleetwire.Running{}
	slices.Sort(requests)
	for i, request := range requests {
		if i == 0 {
			running.First = request
			continue
		}
		running.Steps = append(running.Steps, uint32(request-requests[i-1]))
	}
	return running
}

func decodeRunning(running *qlfleetwire.Running) map[uint64]bool {
	requests := make(map[uint64]bool, len(running.GetSteps())+1)
	last := running.GetFirst()
	requests[last] = true
	for _, step := range running.GetSteps() {
		last += uint64(step)
		requests[last] = true
	}
	return requests
}

func (c *Core) learn(now time.Duration, routers []*qlfleetwire.Router) {
	changed := false
	for _, router := range routers {
		if router.GetId() == c.config.Self || router.GetId() == "" {
			continue
		}
		known := c.routers[router.GetId()]
		if known == nil || known.GetAddress() != router.GetAddress() || known.GetCapacity() != router.GetCapacity() {
			c.routers[router.GetId()] = router
			changed = true
		}
	}
	if !changed {
		return
	}
	c.learnedAt = now
	list := make([]qlmember.Listed, 0, len(c.routers))
	for _, router := range c.routers {
		list = append(list, qlmember.Listed{
			ID:      router.GetId(),
			Zone:    router.GetZone(),
			Address: router.GetAddress(),
		})
	}
	c.listRevision++
	c.members.SetList(now, c.listRevision, list)
}

func (c *Core) receiveMembership(now time.Duration, from string, body []byte) {
	message := &qlwire.Message{}
	if err := proto.Unmarshal(body, message); err != nil {
		c.config.OnMessageError(from, errors.Annotate(err, "membership not decoded"))
		return
	}
	if c.routers[from] == nil {
		// It introduces itself before its probes count.
		return
	}
	switch {
	case message.GetProbe() != nil:
		c.members.Probe(now, from, message.GetProbe())
	case message.GetProbeAck() != nil:
		c.members.Ack(now, from, message.GetProbeAck())
	case message.GetIndirectProbe() != nil:
		c.members.IndirectProbe(from, message.GetIndirectProbe())
	}
}

// answer decides on another router's request.
func (c *Core) answer(now time.Duration, from string, ask *qlfleetwire.Ask) {
	c.stats.DecidedForOthers++
	c.placer.SetLoadScale(1)
	request := decodeAsk(from, ask)
	verdict := c.placer.Decide(now, request)
	box := c.box(now, from)
	box.urgent = true
	box.packet.Verdicts = append(box.packet.Verdicts, &qlfleetwire.Verdict{
		Request:      ask.GetRequest(),
		Engine:       verdict.Engine,
		Reason:       uint32(verdict.Reason),
		RetryAfterMs: uint32(verdict.RetryAfter.Milliseconds()),
		PredictedMs:  uint32(verdict.Predicted.Milliseconds()),
		Missing:      uint32(verdict.MissingTokens),
	})
}

func (c *Core) receiveVerdict(now time.Duration, from string, verdict *qlfleetwire.Verdict) {
	delete(c.distrusted, from)
	q, ok := c.questions[verdict.GetRequest()]
	if !ok || q.owner != from {
		c.release(now, from, verdict)
		return
	}
	delete(c.questions, verdict.GetRequest())
	c.stats.AnsweredByOwner++
	decided := qlplace.Decision{
		Engine:        verdict.GetEngine(),
		Reason:        qlplace.Reason(verdict.GetReason()),
		Predicted:     time.Duration(verdict.GetPredictedMs()) * time.Millisecond,
		RetryAfter:    time.Duration(verdict.GetRetryAfterMs()) * time.Millisecond,
		MissingTokens: int(verdict.GetMissing()),
		Decider:       from,
	}
	if !c.asksAgain(now, q.request, &decided, q.second) {
		c.conclude(now, q.request, decided)
	}
}

// release gives back what an owner placed too late: the request was decided
// here, or its caller left.
func (c *Core) release(now time.Duration, from string, verdict *qlfleetwire.Verdict) {
	if verdict.GetEngine() == "" {
		return
	}
	if run := c.runs[verdict.GetRequest()]; run != nil && run.engine == verdict.GetEngine() {
		return
	}
	box := c.box(now, from)
	box.packet.Notes = append(box.packet.Notes, &qlfleetwire.Note{
		Request: verdict.GetRequest(),
		Outcome: uint32(qlengine.Abandoned),
	})
}

// receiveNote takes what became of another router's run.
func (c *Core) receiveNote(now time.Duration, from string, note *qlfleetwire.Note) {
	key := qlengine.Key{
		Router:  from,
		Request: note.GetRequest(),
	}
	if note.GetOutcome() != 0 {
		c.placer.End(now, key, qlengine.Outcome(note.GetOutcome()))
		return
	}
	goal := time.Duration(note.GetGoalMs()) * time.Millisecond
	c.placer.Adopt(now, key, note.GetEngine(), int(note.GetUnread()), int(note.GetMemory()), goal)
	if note.GetUnread() == 0 {
		c.placer.FirstEvent(now, key)
	}
}

func encodeAsk(request *qlplace.Request) *qlfleetwire.Ask {
	ask := &qlfleetwire.Ask{
		Request:      request.Key.Request,
		Service:      request.Service,
		Customer:     request.Customer,
		Zone:         request.Zone,
		PromptTokens: uint32(request.Prompt.Tokens),
		OutputTokens: uint32(request.Prompt.MaxOutputTokens),
		GoalMs:       uint32(request.LatencyObjective.Milliseconds()),
		Excluded:     request.Excluded,
		Again:        request.AlreadyAdmitted,
		Group:        uint32(request.Group),
	}
	for _, part := range request.Prompt.Segments {
		ask.Parts = append(ask.Parts, &qlfleetwire.Part{
			Id:     part.ID,
			Tokens: uint32(part.Tokens),
		})
	}
	return ask
}

func decodeAsk(from string, ask *qlfleetwire.Ask) *qlplace.Request {
	request := &qlplace.Request{
		Key: qlengine.Key{
			Router:  from,
			Request: ask.GetRequest(),
		},
		Service:  ask.GetService(),
		Customer: ask.GetCustomer(),
		Zone:     ask.GetZone(),
		Prompt: qlengine.Prompt{
			Tokens:          int(ask.GetPromptTokens()),
			MaxOutputTokens: int(ask.GetOutputTokens()),
		},
		LatencyObjective: time.Duration(ask.GetGoalMs()) * time.Millisecond,
		Excluded:         ask.GetExcluded(),
		AlreadyAdmitted:  ask.GetAgain(),
		Group:            int(ask.GetGroup()),
	}
	for _, part := range ask.GetParts() {
		request.Prompt.Segments = append(request.Prompt.Segments, qlengine.Segment{
			ID:     part.GetId(),
			Tokens: int(part.GetTokens()),
		})
	}
	return request
}
