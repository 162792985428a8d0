package qlowner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"google.golang.org/protobuf/proto"
)

// queueFor returns the send queue for a router, which is created if necessary.
func (c *Core) queueFor(now time.Duration, to string) *sendQueue {
	queue := c.sendQueues[to]
	if queue == nil {
		queue = &sendQueue{
			packet:    c.newPacket(),
			createdAt: now,
		}
		c.sendQueues[to] = queue
	}
	return queue
}

func (c *Core) newPacket() *qlfleetwire.Packet {
	return &qlfleetwire.Packet{
		From:        c.config.Self,
		Incarnation: c.config.Incarnation,
		Late:        c.IsLagging(),
		Uninformed:  !c.evidence.informed,
		Strained:    c.now < c.strain.until,
	}
}

// Flush puts in force what crashes have shown, and sends the queued packets that are
// urgent or have waited long enough for further notes.
func (c *Core) Flush(now time.Duration) {
	c.quarantine.Settle()
	for to, queue := range c.sendQueues {
		if !queue.urgent && now-queue.createdAt < _noteBatchDelay {
			continue
		}
		delete(c.sendQueues, to)
		if router := c.routers[to]; router != nil {
			c.send(router.GetAddress(), queue.packet)
		}
	}
}

// NextFlush returns when Flush has to be called next for packets that are not
// urgent. Urgent ones are sent by the next call, so Flush has to be called after
// each event that this router handles. ok is false if nothing is queued.
func (c *Core) NextFlush() (at time.Duration, ok bool) {
	for _, queue := range c.sendQueues {
		if due := queue.createdAt + _noteBatchDelay; !ok || due < at {
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
		c.config.OnMessageError(to, errors.Annotate(err, "encode membership message"))
		return
	}
	packet := c.newPacket()
	packet.Membership = body
	packet.EvidenceDigest = c.quarantine.Digest()
	if c.knownBy[to] < c.members.Incarnation(to) || c.knownBy[to] == 0 {
		// The other router may not know this one yet. It ignores probes of unknown
		// routers, and would be taken for dead.
		packet.Introduction = &qlfleetwire.Introduction{
			Routers: []*qlfleetwire.Router{c.ownRecord()},
		}
	}
	c.send(router.GetAddress(), packet)
}

// introduce sends an introduction to a random known router and a random seed, or to
// all seeds while no router is known. While routers are being discovered it asks for
// those that this one doesn't know.
func (c *Core) introduce(now time.Duration) {
	if now < c.introduceAt {
		return
	}
	introduction := &qlfleetwire.Introduction{
		WantsReply: true,
		Routers:    []*qlfleetwire.Router{c.ownRecord()},
	}
	wait := _introduceIntervalSettled
	if c.settled(now) {
		introduction.Routers = append(introduction.Routers, c.randomRouters(_maxIntroducedToKnown, nil)...)
	} else {
		wait = _introduceIntervalLearning
		introduction.Known = c.knownHashes()
	}
	targets := c.config.Seeds
	if len(c.routers) == 0 {
		wait = _introduceIntervalAlone
	} else if ids := c.introductionTargets(now); len(ids) > 0 {
		knownAddress := c.routers[ids[c.config.Random.IntN(len(ids))]].GetAddress()
		targets = []string{knownAddress}
		if len(c.config.Seeds) > 0 {
			targets = append(targets, c.config.Seeds[c.config.Random.IntN(len(c.config.Seeds))])
		}
	}
	c.introduceAt = now + wait
	for _, address := range targets {
		if address != c.config.Address {
			packet := c.newPacket()
			packet.Introduction = introduction
			c.send(address, packet)
		}
	}
}

// introductionTargets returns the routers to one of which the next introduction is sent. While
// news spread these are live ones: most introductions would be lost after a large loss.
// Later dead ones are included, which may be back behind a partition.
func (c *Core) introductionTargets(now time.Duration) []string {
	ids := c.members.IDs()
	if c.settled(now) {
		return ids
	}
	live := make([]string, 0, len(ids))
	for _, id := range ids {
		if !c.members.IsDead(id) {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return ids
	}
	return live
}

// settled reports whether routers are known and none was discovered or changed within
// _settledAfter.
func (c *Core) settled(now time.Duration) bool {
	return len(c.routers) > 0 && now-c.learnedAt > _settledAfter
}

func (c *Core) ownRecord() *qlfleetwire.Router {
	return &qlfleetwire.Router{
		Id:          c.config.Self,
		Zone:        c.config.Zone,
		Address:     c.config.Address,
		Leaving:     c.leaving,
		Capacity:    c.config.Capacity,
		Incarnation: c.members.Incarnation(c.config.Self),
	}
}

// randomRouters returns up to count routers of which another one, with these hashes,
// knows nothing, or something else. Dead routers are only news to those that take them
// for alive: all others can do without them.
func (c *Core) randomRouters(count int, known map[uint32]bool) []*qlfleetwire.Router {
	ids := c.members.IDs()
	var routers []*qlfleetwire.Router
	for _, i := range c.config.Random.Perm(len(ids)) {
		if len(routers) >= count {
			break
		}
		id, dead := ids[i], c.members.IsDead(ids[i])
		if known[c.hash(id, false)] != dead {
			continue
		}
		router := c.routers[id]
		router.Incarnation, router.Dead, router.Leaving = c.members.Incarnation(id), dead, c.members.IsLeaving(id)
		routers = append(routers, router)
	}
	return routers
}

// knownHashes returns the hashes of all known routers, this one included.
func (c *Core) knownHashes() []uint32 {
	hashes := make([]uint32, 0, len(c.routers)+1)
	hashes = append(hashes, c.hash(c.config.Self, false))
	for id := range c.routers {
		hashes = append(hashes, c.hash(id, c.members.IsDead(id)))
	}
	return hashes
}

// hash returns a hash of a router's id, latest known incarnation, and whether it is
// taken for dead. A router whose hash equals that of another one is missing from replies
// to routers that know the other; introductions without hashes still name it.
func (c *Core) hash(id string, dead bool) uint32 {
	version := 2 * c.members.Incarnation(id)
	if dead {
		version++
	}
	return uint32(xxhash.Sum64String(id) + version*_versionHashFactor)
}

// _versionHashFactor is odd, so that each incarnation and state has a hash of its own.
const _versionHashFactor = 0x9e3779b97f4a7c15

// replyTo returns the reply to an introduction.
func (c *Core) replyTo(introduction *qlfleetwire.Introduction) *qlfleetwire.Introduction {
	count := _maxIntroducedToKnown
	known := make(map[uint32]bool, len(introduction.GetKnown()))
	for _, hash := range introduction.GetKnown() {
		known[hash] = true
		count = _maxIntroducedToNew
	}
	return &qlfleetwire.Introduction{
		Routers: append([]*qlfleetwire.Router{c.ownRecord()}, c.randomRouters(count, known)...),
	}
}

// Receive handles a packet that arrived from the source address. receivedAt is when this
// process read it.
func (c *Core) Receive(now, receivedAt time.Duration, source string, packet *qlfleetwire.Packet) {
	from := packet.GetFrom()
	if from == "" || from == c.config.Self {
		return
	}
	wait := now - receivedAt
	c.observeWait(now, wait)
	c.recordStrain(now, from, packet.GetStrained())
	if introduction := packet.GetIntroduction(); introduction != nil {
		c.learnRouters(now, introduction.GetRouters())
		if introduction.GetWantsReply() {
			if packet.GetUninformed() && c.evidence.informed {
				c.sendAllCrashes(now, from, false)
			}
			reply := c.newPacket()
			reply.Introduction = c.replyTo(introduction)
			c.send(source, reply)
		}
	}
	c.members.MarkHeard(now, from)
	c.members.MarkStarted(now, from, packet.GetIncarnation(), false)
	if len(packet.GetMembership()) > 0 {
		c.receiveMembership(now, from, packet.GetMembership())
		c.compareEvidence(now, from, packet.GetEvidenceDigest())
	}
	if packet.GetLate() {
		c.placer.MarkLagging(now, from)
	}
	if evidence := packet.GetEvidence(); evidence != nil {
		c.receiveEvidence(now, from, evidence)
		if !packet.GetUninformed() {
			c.setInformed()
		}
	}
	// A router that lags waits for answers for as much longer.
	if asks := packet.GetAsks(); len(asks) > 0 && wait > _maxQuestionWait && !packet.GetLate() {
		c.dropQuestions(now, from, asks)
	} else {
		c.answerAll(now, from, asks)
	}
	for _, decision := range packet.GetVerdicts() {
		c.receiveDecision(now, from, decision)
	}
	for _, note := range packet.GetNotes() {
		c.receiveNote(now, from, note)
	}
	if update := packet.GetUpdate(); update != nil {
		c.config.OnUpdate(now, source, update)
	}
	if running := packet.GetRunning(); running != nil {
		c.placer.RetainRequests(now, from, decodeRunning(running), _lostRequestMinAge)
	}
}

// encodeRunning encodes request IDs as the lowest one and the differences between
// neighbors, which keeps datagrams small. It sorts the IDs in place.
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

func (c *Core) learnRouters(now time.Duration, routers []*qlfleetwire.Router) {
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
	if changed {
		c.applyRouters(now)
	}
	for _, router := range routers {
		if router.GetDead() {
			c.members.MarkDead(now, router.GetId(), router.GetIncarnation())
			continue
		}
		c.members.MarkStarted(now, router.GetId(), router.GetIncarnation(), router.GetLeaving())
	}
}

// resumeDiscovery makes the next introductions frequent and ask for unknown routers.
func (c *Core) resumeDiscovery(now time.Duration) {
	c.learnedAt = now
	c.introduceAt = min(c.introduceAt, now+_introduceIntervalAfterNews)
}

// forgetDeadRouters removes the routers that have been dead for _forgetAfter. VMs that are
// replaced get new ids, so the dead would otherwise outnumber the living in time, and
// most probes go to them.
func (c *Core) forgetDeadRouters(now time.Duration) {
	forgotten := 0
	for id := range c.routers {
		if c.members.DeadFor(now, id) >= _forgetAfter {
			delete(c.routers, id)
			delete(c.knownBy, id)
			delete(c.penalties, id)
			delete(c.strain.ofOthers, id)
			delete(c.strain.noticedAt, id)
			delete(c.strain.unnoticed, id)
			delete(c.evidence.exchangedAt, id)
			forgotten++
		}
	}
	if forgotten > 0 {
		c.listRouters(now)
	}
}

// applyRouters passes the known routers on to membership after a change, and resumes
// discovery.
func (c *Core) applyRouters(now time.Duration) {
	c.resumeDiscovery(now)
	c.listRouters(now)
}

func (c *Core) listRouters(now time.Duration) {
	list := make([]qlmember.ListedRouter, 0, len(c.routers))
	for _, router := range c.routers {
		list = append(list, qlmember.ListedRouter{
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
		c.config.OnMessageError(from, errors.Annotate(err, "decode membership message"))
		return
	}
	if c.routers[from] == nil {
		// Probes of a router are ignored until it has introduced itself.
		return
	}
	c.knownBy[from] = c.members.Incarnation(from)
	switch {
	case message.GetProbe() != nil:
		c.members.ReceiveProbe(now, from, message.GetProbe())
	case message.GetProbeAck() != nil:
		c.members.ReceiveAck(now, from, message.GetProbeAck())
	case message.GetIndirectProbe() != nil:
		c.members.ReceiveIndirectProbe(from, message.GetIndirectProbe())
	}
}

func (c *Core) answerAll(now time.Duration, from string, asks []*qlfleetwire.Ask) {
	for _, ask := range asks {
		c.answer(now, from, ask)
	}
}

// answer decides on another router's request and queues the answer to it.
func (c *Core) answer(now time.Duration, from string, ask *qlfleetwire.Ask) {
	c.stats.DecidedForOthers++
	c.placer.SetLoadScale(1)
	c.placer.SetAlone(false)
	request := decodeAsk(from, ask)
	decision := c.placer.Decide(now, request)
	queue := c.queueFor(now, from)
	queue.urgent = true
	queue.packet.Verdicts = append(queue.packet.Verdicts, &qlfleetwire.Verdict{
		Request:      ask.GetRequest(),
		Engine:       decision.Engine,
		Reason:       uint32(decision.Reason),
		RetryAfterMs: uint32(decision.RetryAfter.Milliseconds()),
		PredictedMs:  uint32(decision.Predicted.Milliseconds()),
		Missing:      uint32(decision.MissingTokens),
	})
}

// receiveDecision handles an owner's answer.
func (c *Core) receiveDecision(now time.Duration, from string, message *qlfleetwire.Verdict) {
	c.recordAnswer(from)
	q, ok := c.questions[message.GetRequest()]
	if !ok || q.owner != from {
		c.stats.AnswersLate++
		c.release(now, from, message)
		return
	}
	delete(c.questions, message.GetRequest())
	c.stats.AnsweredByOwner++
	decision := qlplace.Decision{
		Engine:        message.GetEngine(),
		Reason:        qlplace.Reason(message.GetReason()),
		Predicted:     time.Duration(message.GetPredictedMs()) * time.Millisecond,
		RetryAfter:    time.Duration(message.GetRetryAfterMs()) * time.Millisecond,
		MissingTokens: int(message.GetMissing()),
		Decider:       from,
	}
	if !c.askSecondGroup(now, q.request, &decision, q.secondGroup) {
		c.conclude(now, q.request, decision)
	}
}

// release frees the engine's capacity that an owner reserved by an answer that is
// of no use: the request was decided here meanwhile, or its caller disconnected.
func (c *Core) release(now time.Duration, from string, message *qlfleetwire.Verdict) {
	if message.GetEngine() == "" {
		return
	}
	active := c.activeRequests[message.GetRequest()]
	if active != nil && active.engine == message.GetEngine() {
		return
	}
	queue := c.queueFor(now, from)
	queue.packet.Notes = append(queue.packet.Notes, &qlfleetwire.Note{
		Request: message.GetRequest(),
		Outcome: uint32(qlengine.Abandoned),
	})
	if active != nil && slices.Contains(active.notified, from) {
		// An owner knows a request on one engine only: the note that it was placed on
		// another one came while the owner had it here.
		c.queueNote(now, from, message.GetRequest(), active, 0)
	}
}

// receiveNote records the end of another router's active request or, if there is no
// outcome yet, its placement and whether its first event has come.
func (c *Core) receiveNote(now time.Duration, from string, note *qlfleetwire.Note) {
	key := qlengine.Key{
		Router:  from,
		Request: note.GetRequest(),
	}
	if note.GetOutcome() != 0 {
		c.placer.End(now, key, qlengine.Outcome(note.GetOutcome()))
		return
	}
	objective := time.Duration(note.GetGoalMs()) * time.Millisecond
	c.placer.AdoptRequest(now, key, note.GetEngine(), int(note.GetUnread()), int(note.GetMemory()), objective)
	if note.GetUnread() == 0 {
		c.placer.RecordPace(now, key, float64(note.GetPacePercent())/_paceScale)
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
	for _, segment := range request.Prompt.Segments {
		ask.Parts = append(ask.Parts, &qlfleetwire.Part{
			Id:     segment.ID,
			Tokens: uint32(segment.Tokens),
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
	for _, segment := range ask.GetParts() {
		request.Prompt.Segments = append(request.Prompt.Segments, qlengine.Segment{
			ID:     segment.GetId(),
			Tokens: int(segment.GetTokens()),
		})
	}
	return request
}
