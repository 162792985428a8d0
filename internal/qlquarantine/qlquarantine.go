// Package qlquarantine decides which segments of prompts crash engines, and which
// requests are refused for that.
//
// It answers the load in which some requests hold a segment that crashes every engine
// that begins an answer to it. Such requests come at any router, are no copies of each
// other, and share their caller and other segments with sound ones. Each crash also
// breaks off the sound streams of its engine, so the fleet has to stop after a few.
//
// # Evidence
//
// Suspects of a crash are the requests whose answer was just beginning at that engine:
// its head had come, and no event. Their segments are candidates, except for the first,
// which thousands of sound requests share, and the last, which is the request's own. An
// answer that began after a crash and goes on clears its segments from that crash.
//
// What an engine has written when it ends says little about what ended it: a process sends its
// output when it likes. So the other requests that were in progress are evidence, too, if their
// answers had not gone on for long. Possible causes are those of their segments, the first one
// included, that the router has not seen answered lately. Most sound segments are answered all
// the time, so these are few.
//
// A segment that is a candidate in several crashes, one after the other, without being
// cleared, is accused after two. It takes three if engines crashed in between of which it
// is no candidate, if it is one engine that crashes again, or if answers with the segment
// went on before the crash: many sound requests begin at any engine that crashes. Crashes
// at the same moment count as one, since engines of one rack crash together, with any
// requests. A segment that is a candidate or a possible cause is accused after three engines
// that crashed at two moments at least; it takes up to five if others crashed in between, and
// any answer that went on, at any router, speaks against it. What is quarantined are all segments that its suspects have in common and of
// which none was cleared: crashes alone cannot tell them apart. A request is refused only
// if it holds all of them, so requests with one of them go on, and their answers clear it.
//
// The state is a set of crashes that only grows until they expire. It can be merged in
// any order, any number of times, and routers with the same crashes quarantine the same
// segments.
//
// # End
//
// A quarantine lasts for ten minutes after its last crash. After that one router lets
// one request through each minute, until its answer ends the quarantine, or its crash
// extends it to four times as long, a day at most. After twenty minutes without either the
// crashes are forgotten.
//
// # Usage
//
//	table := qlquarantine.New(qlquarantine.Config{OnChange: publish, OnStart: log, OnEnd: log})
//	table.Add(now, crash)                    // of this router, or from another one
//	cleared := table.Clear(began, segments)  // once an answer to a watched segment goes on
//	table.Settle()                           // derives the quarantines, calls OnChange
//	table.Tick(now, isOwner)
//	q := table.List().Find(prompt.Segments)  // safe for concurrent use
package qlquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// _sameMoment is the time within which crashes count as one: longer than routers
	// take to notice the loss of a rack, unless they lag.
	_sameMoment = 100 * time.Millisecond
	// _crashesAlone is how many crashes accuse a segment that is a candidate of each,
	// _crashesInDoubt how many do if there is another explanation.
	_crashesAlone   = 2
	_crashesInDoubt = 3
	// _enginesPossible is how many engines accuse a segment that is a possible cause of each
	// crash, _maxEnginesPossible how many do whatever else has crashed meanwhile.
	_enginesPossible    = 3
	_maxEnginesPossible = 5
	// _quarantineDuration is how long a quarantine lasts after its last crash. Each
	// trial that fails makes that _failureFactor times as long, up to
	// _maxQuarantineDuration.
	_quarantineDuration    = 10 * time.Minute
	_failureFactor         = 4
	_maxQuarantineDuration = 24 * time.Hour
	// _trialPeriod is how long trials go on after that, one each _trialInterval.
	_trialPeriod   = 20 * time.Minute
	_trialInterval = time.Minute
	// _evidenceTTL is how long a crash is remembered that supports no quarantine.
	_evidenceTTL = 10 * time.Minute
	// The _max constants bound the memory, and the size of messages.
	_maxCrashes  = 128
	_maxSuspects = 8
	_maxPossible = 16
	_maxSegments = 16
)

// Crash is what is known about the crash of one engine.
type Crash struct {
	// ID identifies the engine and its start.
	ID uint64
	// Engine is the engine's id, for logs.
	Engine string
	// At is when the crash was noticed, on the monotonic clock of this router.
	At time.Duration
	// Suspects are the candidate segments of each request whose answer was beginning.
	Suspects [][]uint64
	// Possible are the possible causes of each other request whose answer had not gone on for
	// long.
	Possible [][]uint64
	// Cleared are the candidates of which a later answer went on.
	Cleared []uint64
	// Answered are the candidates of which an answer went on shortly before the crash, as
	// far as the routers know that report it.
	Answered []uint64
}

// EngineID returns the ID of the crash of an engine that started at the time, in Unix
// milliseconds.
func EngineID(engine string, startMillis int64) uint64 {
	return xxhash.Sum64String(engine) ^ uint64(startMillis)*_idFactor
}

// _idFactor is odd, so that each start of an engine has an ID of its own.
const _idFactor = 0x9e3779b97f4a7c15

// contains reports whether a segment is a candidate or a possible cause, cleared or not.
func (c *Crash) contains(segment uint64) bool {
	return containsSegment(c.Suspects, segment) || containsSegment(c.Possible, segment)
}

func containsSegment(requests [][]uint64, segment uint64) bool {
	return slices.ContainsFunc(requests, func(segments []uint64) bool { return slices.Contains(segments, segment) })
}

// hash identifies the content that routers have to agree on.
func (c *Crash) hash() uint32 {
	sum := c.ID
	for _, suspect := range c.Suspects {
		sum += hashOf(suspect)
	}
	for _, segments := range c.Possible {
		sum += hashOf(segments) * _idFactor
	}
	for _, segment := range c.Cleared {
		if c.contains(segment) {
			sum += (segment + 1) * _idFactor
		}
	}
	for _, segment := range c.Answered {
		if c.contains(segment) {
			sum += (segment + 2) * _idFactor
		}
	}
	return uint32(sum>>32) ^ uint32(sum)
}

func hashOf(suspect []uint64) uint64 {
	sum := uint64(len(suspect))
	for _, segment := range suspect {
		sum = (sum ^ segment) * _idFactor
	}
	return sum
}

// merge adds what another router knows about the crash, and reports whether that is
// news. Of too many suspects, it keeps those with the lowest hashes, so that all routers
// keep the same ones.
func (c *Crash) merge(other *Crash) bool {
	before := c.hash()
	c.Suspects = mergeRequests(c.Suspects, other.Suspects, _maxSuspects)
	c.Possible = mergeRequests(c.Possible, other.Possible, _maxPossible)
	for _, segment := range other.Cleared {
		c.clear(segment)
	}
	for _, segment := range other.Answered {
		if c.contains(segment) && !slices.Contains(c.Answered, segment) {
			c.Answered = append(c.Answered, segment)
		}
	}
	return c.hash() != before
}

// mergeRequests returns the segments of both groups of requests, or those with the lowest hashes
// if they are more than most.
func mergeRequests(known, others [][]uint64, most int) [][]uint64 {
	for _, segments := range others {
		isKnown := slices.ContainsFunc(known, func(s []uint64) bool { return slices.Equal(s, segments) })
		if !isKnown && len(segments) > 0 && len(segments) <= _maxSegments {
			known = append(known, segments)
		}
	}
	slices.SortFunc(known, func(a, b []uint64) int { return cmp.Compare(hashOf(a), hashOf(b)) })
	return known[:min(len(known), most)]
}

// clear records that a segment is not the cause, and reports whether that is news.
func (c *Crash) clear(segment uint64) bool {
	if !c.contains(segment) || slices.Contains(c.Cleared, segment) {
		return false
	}
	c.Cleared = append(c.Cleared, segment)
	return true
}

// Config configures a Table. OnChange has to be set, the others may be nil.
type Config struct {
	// OnChange is called with the quarantines, and the candidates, when they change.
	OnChange func(list *List)
	// OnStart and OnEnd are called when a quarantine begins, ends or changes its
	// segments.
	OnStart func(q *Quarantine)
	OnEnd   func(q *Quarantine, reason EndReason)
}

// EndReason is why a quarantine has ended.
type EndReason string

// The reasons.
const (
	// Cleared: an answer to its segments went on.
	Cleared EndReason = "cleared"
	// Narrowed: another quarantine of fewer segments replaces it.
	Narrowed EndReason = "narrowed"
	// Explained: another quarantine explains its crashes.
	Explained EndReason = "explained"
	// Doubted: a late report has another explanation for its crashes, so that two no
	// longer suffice.
	Doubted EndReason = "doubted"
	// Expired: its crashes are forgotten.
	Expired EndReason = "expired"
)

// Table holds the crashes, and derives the quarantines from them. It is not safe for
// concurrent use.
type Table struct {
	config  Config
	crashes map[uint64]*Crash
	// list follows from the crashes, unless they have changed since. endReason is why
	// quarantines end by those changes.
	list      *List
	changed   bool
	endReason EndReason
	digest    uint32
	// nextTrial is when the next trial of a quarantine is due, by its key.
	nextTrial map[uint64]time.Duration
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{
		config:    config,
		crashes:   make(map[uint64]*Crash),
		list:      &List{},
		endReason: Doubted,
		nextTrial: make(map[uint64]time.Duration),
	}
}

// List returns the quarantines in force.
func (t *Table) List() *List {
	t.Settle()
	return t.list
}

// Digest returns a hash of the crashes; it is 0 if there are none, and the same in
// tables with the same crashes.
func (t *Table) Digest() uint32 {
	return t.digest
}

// IsFull reports whether old crashes are dropped for new ones. Routers then need not know
// the same crashes.
func (t *Table) IsFull() bool {
	return len(t.crashes) >= _maxCrashes
}

// Crashes returns the crashes, the latest first. The caller must not change them.
func (t *Table) Crashes() []*Crash {
	return slices.SortedFunc(maps.Values(t.crashes), func(a, b *Crash) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.ID, b.ID))
	})
}

// Add adds a crash, or what is new about a known one, and reports whether there is news.
// Settle has to be called after it.
func (t *Table) Add(now time.Duration, crash *Crash) bool {
	known := t.crashes[crash.ID]
	if known == nil {
		if now-crash.At >= _maxQuarantineDuration+_trialPeriod || !t.makeRoom() {
			return false
		}
		known = &Crash{
			ID:     crash.ID,
			Engine: crash.Engine,
			At:     crash.At,
		}
		t.crashes[crash.ID] = known
		t.digest ^= known.hash()
		t.changed = true
	}
	return t.change(known, func() bool { return known.merge(crash) })
}

// change changes a crash, which makes the list outdated if the change is news.
func (t *Table) change(crash *Crash, apply func() bool) bool {
	before := crash.hash()
	if !apply() {
		return false
	}
	t.digest ^= before ^ crash.hash()
	t.changed = true
	return true
}

// Settle derives the quarantines from the crashes if these have changed. Many changes at a
// time need one call.
func (t *Table) Settle() {
	if t.changed {
		t.changed = false
		t.derive(t.endReason)
		t.endReason = Doubted
	}
}

// makeRoom removes the oldest crash that supports no quarantine if the table is full, and
// reports whether there is room.
func (t *Table) makeRoom() bool {
	if !t.IsFull() {
		return true
	}
	list := t.List()
	for _, crash := range slices.Backward(t.Crashes()) {
		if !list.supportedBy(crash) {
			t.remove(crash)
			return true
		}
	}
	return false
}

func (t *Table) remove(crash *Crash) {
	delete(t.crashes, crash.ID)
	t.digest ^= crash.hash()
	t.changed = true
}

// Clear records an answer to a prompt that began at the time and went on. An answer that began
// before a crash clears only segments that are no more than a possible cause of it. Clear
// returns the crashes of which it clears segments. Settle has to be called after it.
func (t *Table) Clear(began time.Duration, segments []uint64) []*Crash {
	var changed []*Crash
	for _, crash := range t.crashes {
		news := t.change(crash, func() bool {
			cleared := false
			for _, segment := range segments {
				if crash.At < began || !containsSegment(crash.Suspects, segment) {
					cleared = crash.clear(segment) || cleared
				}
			}
			return cleared
		})
		if news {
			changed = append(changed, crash)
			t.endReason = Cleared
		}
	}
	return changed
}

// MarkAnswered records that answers to a quarantine's segments went on before its crashes.
// It returns the crashes of which that is news. Settle has to be called after it.
func (t *Table) MarkAnswered(q *Quarantine) []*Crash {
	latest := q.crashes[0]
	news := t.change(latest, func() bool {
		return latest.merge(&Crash{
			Answered: q.segments,
		})
	})
	if !news {
		return nil
	}
	return []*Crash{latest}
}

// Tick forgets old crashes. isOwner reports whether this router is the one that decides
// on trials of the quarantine with the key.
func (t *Table) Tick(now time.Duration, isOwner func(key uint64) bool) {
	list := t.List()
	for _, crash := range t.crashes {
		expiresAt := crash.At + _evidenceTTL
		for _, q := range list.quarantines {
			if q.isSupportedBy(crash) {
				expiresAt = max(expiresAt, q.trialsFrom()+_trialPeriod)
			}
		}
		if now >= expiresAt {
			t.remove(crash)
			t.endReason = Expired
		}
	}
	t.Settle()
	for _, q := range t.list.quarantines {
		if now >= q.trialsFrom() && now >= t.nextTrial[q.key] && isOwner(q.key) {
			t.nextTrial[q.key] = now + _trialInterval
			q.trial.Store(true)
		}
	}
}

// derive computes the quarantines from the crashes. The reason is that of quarantines
// that end.
func (t *Table) derive(reason EndReason) {
	previous := t.list
	t.list = newList(t.Crashes(), previous)
	for _, q := range previous.quarantines {
		if t.list.byKey(q.key) == nil {
			delete(t.nextTrial, q.key)
			if t.config.OnEnd != nil {
				t.config.OnEnd(q, t.list.replaces(q, reason))
			}
		}
	}
	for _, q := range t.list.quarantines {
		if previous.byKey(q.key) == nil && t.config.OnStart != nil {
			t.config.OnStart(q)
		}
	}
	t.config.OnChange(t.list)
}
