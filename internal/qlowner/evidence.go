package qlowner

import (
	"strconv"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlquarantine"
)

// Every router learns of every crash, directly from the one that noticed it. Packets
// about membership carry a hash of the crashes that the sender knows; routers whose
// hashes differ send each other all of theirs. A lost packet or a restart is repaired
// by that.

const (
	// _evidenceInterval is the least time between two exchanges of all crashes with the
	// same router.
	_evidenceInterval = time.Second
	// _maxCrashesPerPacket keeps packets about crashes below the size at which networks
	// divide them.
	_maxCrashesPerPacket = 12
	// _informedTimeout is how long a router that has started waits for others to send
	// the crashes that they know: several round trips to a seed, and less than callers
	// of a fleet that starts as a whole notice.
	_informedTimeout = 600 * time.Millisecond
	// _doubtDelay is the longest delay before a router checks a quarantine that has
	// started. It is random, so that few of those that know better send it to all.
	_doubtDelay = 50 * time.Millisecond
	// _maxReports limits the crashes that this router reports within _reportWindow.
	_maxReports   = 20
	_reportWindow = time.Second
)

// evidenceState is the state of the exchange of crashes with other routers.
type evidenceState struct {
	// exchangedAt is when all crashes were last sent to a router.
	exchangedAt map[string]time.Duration
	// informed is set once another router, or the lack of one, has shown which crashes
	// are known.
	informed    bool
	startedAt   time.Duration
	hasStarted  bool
	reportsFrom time.Duration
	reports     int
	// doubtAt is when to check the quarantines that have started against what this
	// router has seen answered; 0 if none has.
	doubtAt time.Duration
}

// Quarantine returns the crashes and quarantines, for state dumps.
func (c *Core) Quarantine() *qlquarantine.Table {
	return c.quarantine
}

// ReportCrash records a crash that this router has noticed, and sends it to all live
// routers. It reports false if that would exceed the limit on reports.
func (c *Core) ReportCrash(now time.Duration, crash *qlquarantine.Crash) bool {
	if now-c.evidence.reportsFrom >= _reportWindow {
		c.evidence.reportsFrom, c.evidence.reports = now, 0
	}
	if c.evidence.reports >= _maxReports {
		return false
	}
	c.evidence.reports++
	if c.quarantine.Add(now, crash) {
		c.sendCrashes(now, []*qlquarantine.Crash{crash})
	}
	return true
}

// ReportAnswer records an answer to a prompt with watched segments that goes on, and sends
// all live routers what it clears.
func (c *Core) ReportAnswer(now, began time.Duration, segments []uint64) {
	if changed := c.quarantine.Clear(began, segments); len(changed) > 0 {
		c.sendCrashes(now, changed)
	}
}

// quarantineConfig returns the configuration of the table of crashes.
func (c *Core) quarantineConfig() qlquarantine.Config {
	config := c.config.Quarantine
	config.OnStart = func(q *qlquarantine.Quarantine) {
		if c.config.Quarantine.OnStart != nil {
			c.config.Quarantine.OnStart(q)
		}
		c.evidence.doubtAt = c.now + time.Duration(c.config.Random.Int64N(int64(_doubtDelay)))
	}
	return config
}

// doubtQuarantines reports the quarantines of segments of which this router has seen
// answers go on: their crashes may have another explanation.
func (c *Core) doubtQuarantines(now time.Duration) {
	if c.evidence.doubtAt == 0 || now < c.evidence.doubtAt || c.config.Answers == nil {
		return
	}
	c.evidence.doubtAt = 0
	for _, q := range c.quarantine.List().Quarantines() {
		if len(c.config.Answers.Recent(now, q.Segments())) < len(q.Segments()) {
			continue
		}
		if changed := c.quarantine.MarkAnswered(q); len(changed) > 0 {
			c.sendCrashes(now, changed)
		}
	}
	c.quarantine.Settle()
}

// sendCrashes sends crashes to all live routers.
func (c *Core) sendCrashes(now time.Duration, crashes []*qlquarantine.Crash) {
	for _, node := range c.live {
		if node.ID() == c.config.Self {
			continue
		}
		queue := c.queueFor(now, node.ID())
		if queue.packet.Evidence == nil {
			queue.packet.Evidence = &qlfleetwire.Evidence{}
		}
		queue.packet.Evidence.Crashes = append(queue.packet.Evidence.Crashes, encodeCrashes(now, crashes)...)
	}
}

// compareEvidence sends a router all crashes known here if its hash shows that it knows
// others.
func (c *Core) compareEvidence(now time.Duration, from string, digest uint32) {
	if digest == c.quarantine.Digest() || c.quarantine.IsFull() {
		return
	}
	if last, ok := c.evidence.exchangedAt[from]; ok && now-last < _evidenceInterval {
		return
	}
	c.sendAllCrashes(now, from, true)
}

func (c *Core) sendAllCrashes(now time.Duration, to string, wantsReply bool) {
	router := c.routers[to]
	if router == nil {
		return
	}
	c.evidence.exchangedAt[to] = now
	crashes := encodeCrashes(now, c.quarantine.Crashes())
	for first := true; first || len(crashes) > 0; first = false {
		part := crashes[:min(len(crashes), _maxCrashesPerPacket)]
		crashes = crashes[len(part):]
		packet := c.newPacket()
		packet.Evidence = &qlfleetwire.Evidence{
			Crashes:    part,
			WantsReply: wantsReply && first,
		}
		c.send(router.GetAddress(), packet)
	}
}

// receiveEvidence records the crashes that another router knows.
func (c *Core) receiveEvidence(now time.Duration, from string, evidence *qlfleetwire.Evidence) {
	for _, crash := range evidence.GetCrashes() {
		c.quarantine.Add(now, decodeCrash(now, crash))
	}
	if evidence.GetWantsReply() {
		c.sendAllCrashes(now, from, false)
	}
}

// Informed reports whether this router knows which crashes the others know, or has
// waited for that in vain. Until then it should send no request to an engine.
func (c *Core) Informed() bool {
	return c.evidence.informed
}

func (c *Core) setInformed() {
	if !c.evidence.informed {
		c.evidence.informed = true
		c.config.OnInformed()
	}
}

// expireInformed ends the wait for other routers.
func (c *Core) expireInformed(now time.Duration) {
	if !c.evidence.hasStarted {
		c.evidence.hasStarted, c.evidence.startedAt = true, now
	}
	if now-c.evidence.startedAt >= _informedTimeout {
		c.setInformed()
	}
}

// ownsTrials reports whether this router decides on trials of a quarantine.
func (c *Core) ownsTrials(key uint64) bool {
	ranked := c.rankedRouters(_trialKeyPrefix + strconv.FormatUint(key, 16))
	return len(ranked) > 0 && ranked[0].ID() == c.config.Self
}

// _trialKeyPrefix and a quarantine's key are the rendezvous hashing key for the router that
// decides on its trials.
const _trialKeyPrefix = "trial/"

func encodeCrashes(now time.Duration, crashes []*qlquarantine.Crash) []*qlfleetwire.Crash {
	messages := make([]*qlfleetwire.Crash, len(crashes))
	for i, crash := range crashes {
		messages[i] = &qlfleetwire.Crash{
			Id:       crash.ID,
			Engine:   crash.Engine,
			AgeMs:    uint32(max(now-crash.At, 0).Milliseconds()),
			Cleared:  crash.Cleared,
			Answered: crash.Answered,
		}
		messages[i].Suspects = encodeSuspects(crash.Suspects)
		messages[i].Possible = encodeSuspects(crash.Possible)
	}
	return messages
}

func encodeSuspects(requests [][]uint64) []*qlfleetwire.Suspect {
	var messages []*qlfleetwire.Suspect
	for _, segments := range requests {
		messages = append(messages, &qlfleetwire.Suspect{
			Segments: segments,
		})
	}
	return messages
}

func decodeCrash(now time.Duration, message *qlfleetwire.Crash) *qlquarantine.Crash {
	crash := &qlquarantine.Crash{
		ID:       message.GetId(),
		Engine:   message.GetEngine(),
		At:       now - time.Duration(message.GetAgeMs())*time.Millisecond,
		Cleared:  message.GetCleared(),
		Answered: message.GetAnswered(),
	}
	for _, suspect := range message.GetSuspects() {
		crash.Suspects = append(crash.Suspects, suspect.GetSegments())
	}
	for _, request := range message.GetPossible() {
		crash.Possible = append(crash.Possible, request.GetSegments())
	}
	return crash
}
