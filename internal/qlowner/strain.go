package qlowner

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
)

// An owner decides one question after the other. When more arrive than its processor can
// decide, questions wait, and a decision on one that has waited too long is worse than none:
// the router that asked has decided by itself, and both have to be told of the difference.
// The owner therefore drops such questions, and its packets say that it is strained. Routers
// then ask for fewer requests of customers above their share (see OwnerStrained).

const (
	// _maxQuestionWait is how long a question may wait in this process. It leaves half of the
	// time within which the answer is needed for the network and for the other router.
	_maxQuestionWait = _answerTimeout / 2
	// _strainedWait is the wait of a packet from which this router is strained, for
	// _strainHold after the last such packet. A lagging router is strained, too.
	_strainedWait = 10 * time.Millisecond
	_strainHold   = time.Second
	// _strainNoticeInterval is the least time between two packets that only tell a router
	// that its questions were dropped. It is a part of _silenceLimit.
	_strainNoticeInterval = 100 * time.Millisecond
)

// strainState is what this router knows of its own strain and that of others.
type strainState struct {
	// until is when this router ends to be strained.
	until time.Duration
	// ofOthers holds until when other routers count as strained by their last packets.
	ofOthers map[string]time.Duration
	// noticedAt is when a router was last told that its questions were dropped.
	noticedAt map[string]time.Duration
	// unnoticed are the routers of which questions were dropped since.
	unnoticed map[string]bool
}

func newStrainState() strainState {
	return strainState{
		ofOthers:  make(map[string]time.Duration),
		noticedAt: make(map[string]time.Duration),
		unnoticed: make(map[string]bool),
	}
}

// observeWait records how long a packet has waited in this process.
func (c *Core) observeWait(now, wait time.Duration) {
	if wait >= _strainedWait {
		c.strain.until = now + _strainHold
	}
	if wait > _laggingThreshold {
		c.laggingUntil = max(c.laggingUntil, now+wait+_laggingHold)
	}
}

// recordStrain records whether another router is strained, as its packet says. One that is
// has not fallen silent, even if it drops all questions of this one.
func (c *Core) recordStrain(now time.Duration, from string, strained bool) {
	if !strained {
		delete(c.strain.ofOthers, from)
		return
	}
	c.strain.ofOthers[from] = now + _strainHold
	if _, ok := c.penalties[from]; ok {
		c.penalties[from] = penalty{
			strainedAt: now,
		}
	}
}

// dropQuestions drops questions of another router that have waited for too long. They
// count as demand.
func (c *Core) dropQuestions(now time.Duration, from string, asks []*qlfleetwire.Ask) {
	c.stats.QuestionsDropped += uint64(len(asks))
	for _, ask := range asks {
		c.placer.RecordDemand(now, decodeAsk(from, ask))
	}
	c.strain.unnoticed[from] = true
	c.noticeDropped(now, from)
}

// noticeDropped tells a router that questions of it were dropped, unless it was told so
// within _strainNoticeInterval.
func (c *Core) noticeDropped(now time.Duration, to string) {
	if last, ok := c.strain.noticedAt[to]; ok && now-last < _strainNoticeInterval {
		return
	}
	c.strain.noticedAt[to] = now
	delete(c.strain.unnoticed, to)
	c.queueFor(now, to).urgent = true
}

// noticeAllDropped sends the notices that are due.
func (c *Core) noticeAllDropped(now time.Duration) {
	for to := range c.strain.unnoticed {
		c.noticeDropped(now, to)
	}
}

// OwnerStrained reports whether an owner that this router asks gets more questions than it
// decides in time, or has missed several answers since its last one.
func (c *Core) OwnerStrained(now time.Duration) bool {
	for _, owner := range c.owners {
		if owner == c.config.Self {
			if now < c.strain.until {
				return true
			}
			continue
		}
		if now < c.strain.ofOthers[owner] || c.penalties[owner].misses >= _missLimit {
			return true
		}
	}
	return false
}
