package qlquarantine

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

// Quarantine is a set of segments. Requests whose prompt holds all of them are refused.
type Quarantine struct {
	key      uint64
	segments []uint64
	// crashes are those that accuse the segments, the latest first.
	crashes   []*Crash
	lastCrash time.Duration
	// answered is set if answers with the accused segment went on before a crash.
	answered bool
	// trial is set if one request may be sent although it would be refused.
	trial atomic.Bool
}

// Segments returns the segments. The caller must not change them.
func (q *Quarantine) Segments() []uint64 {
	return q.segments
}

// String returns the segments in hexadecimal, for logs.
func (q *Quarantine) String() string {
	return qlengine.FormatIDs(q.segments)
}

// Engines returns the ids of the engines that crashed, the latest first.
func (q *Quarantine) Engines() []string {
	engines := make([]string, len(q.crashes))
	for i, crash := range q.crashes {
		engines[i] = crash.Engine
	}
	return engines
}

// LastCrash returns the time of the latest crash.
func (q *Quarantine) LastCrash() time.Duration {
	return q.lastCrash
}

// RetryAfter returns the time until a request with the segments may be tried again.
func (q *Quarantine) RetryAfter(now time.Duration) time.Duration {
	return max(q.trialsFrom()-now, _trialInterval)
}

// trialsFrom returns the time from which on requests are let through as trials.
func (q *Quarantine) trialsFrom() time.Duration {
	duration := _quarantineDuration
	for i := 1; i < len(q.crashes); i++ {
		if q.crashes[i-1].At-q.crashes[i].At >= _quarantineDuration {
			duration = min(duration*_failureFactor, _maxQuarantineDuration)
		}
	}
	return q.lastCrash + duration
}

// TakeTrial reports whether the caller's request is to be sent as a trial. It is true for
// one caller at most for each trial.
func (q *Quarantine) TakeTrial() bool {
	return q.trial.CompareAndSwap(true, false)
}

// List is an immutable view of the quarantines, for requests. It is safe for concurrent
// use.
type List struct {
	quarantines []*Quarantine
	// bySegment holds the quarantines by the first of their segments.
	bySegment map[uint64][]*Quarantine
	// watched are the candidates of which answers are evidence.
	watched map[uint64]bool
	// suspects are the candidates of each request whose answer was beginning in a crash,
	// without those that were cleared.
	suspects [][]uint64
	// byPossible holds the crashes of which a segment is a candidate or a possible cause.
	byPossible map[uint64][]*Crash
	// recurring are the crashes of which some possible cause is one of several others, too.
	recurring map[*Crash]bool
}

// Quarantines returns the quarantines. The caller must not change them.
func (l *List) Quarantines() []*Quarantine {
	if l == nil {
		return nil
	}
	return l.quarantines
}

// Find returns the quarantine for which a prompt with these segments is refused, or nil.
func (l *List) Find(segments []qlengine.Segment) *Quarantine {
	if l == nil || len(l.quarantines) == 0 {
		return nil
	}
	candidates := allButLast(segments)
	for _, segment := range candidates {
		for _, q := range l.bySegment[segment.ID] {
			if holdsAll(candidates, q.segments) {
				return q
			}
		}
	}
	return nil
}

// IsSuspect reports whether a prompt holds all segments that are candidates of some
// request whose answer was beginning when an engine crashed, as copies of it do.
func (l *List) IsSuspect(segments []qlengine.Segment) bool {
	if l == nil {
		return false
	}
	candidates := shared(segments)
	for _, suspect := range l.suspects {
		if holdsAll(candidates, suspect) {
			return true
		}
	}
	return false
}

// IsPossibleElsewhere reports whether one of the segments is a possible cause of the crash of
// another engine.
func (l *List) IsPossibleElsewhere(segments []uint64, engine string) bool {
	if l == nil {
		return false
	}
	for _, segment := range segments {
		if slices.ContainsFunc(l.byPossible[segment], func(c *Crash) bool { return c.Engine != engine }) {
			return true
		}
	}
	return false
}

// IsWatched reports whether an answer to a prompt with these segments is evidence.
func (l *List) IsWatched(segments []qlengine.Segment) bool {
	if l == nil || len(l.watched) == 0 {
		return false
	}
	for _, segment := range allButLast(segments) {
		if l.watched[segment.ID] {
			return true
		}
	}
	return false
}

// Candidates returns the segments of a prompt that may be the cause of a crash: all but
// the first and the last.
func Candidates(segments []qlengine.Segment) []uint64 {
	var ids []uint64
	for _, segment := range shared(segments) {
		ids = append(ids, segment.ID)
	}
	return ids
}

// PossibleCauses returns the segments of a prompt that may be the cause of a crash if nothing
// speaks against them: all but the last.
func PossibleCauses(segments []qlengine.Segment) []uint64 {
	var ids []uint64
	for _, segment := range allButLast(segments) {
		ids = append(ids, segment.ID)
	}
	return ids
}

func allButLast(segments []qlengine.Segment) []qlengine.Segment {
	return segments[:max(len(segments)-1, 0)]
}

func shared(segments []qlengine.Segment) []qlengine.Segment {
	if len(segments) <= 2 {
		return nil
	}
	return segments[1 : len(segments)-1]
}

func holdsAll(segments []qlengine.Segment, ids []uint64) bool {
	for _, id := range ids {
		if !slices.ContainsFunc(segments, func(s qlengine.Segment) bool { return s.ID == id }) {
			return false
		}
	}
	return len(ids) > 0
}

func (l *List) byKey(key uint64) *Quarantine {
	for _, q := range l.quarantines {
		if q.key == key {
			return q
		}
	}
	return nil
}

// replaces returns why a quarantine of the list before has ended; otherwise is the reason
// if no other one replaces it.
func (l *List) replaces(q *Quarantine, otherwise EndReason) EndReason {
	for _, next := range l.quarantines {
		if next.isIn(q.segments) {
			return Narrowed
		}
	}
	for _, crash := range q.crashes {
		if l.explains(crash) {
			return Explained
		}
	}
	return otherwise
}

func (l *List) supportedBy(crash *Crash) bool {
	return slices.ContainsFunc(l.quarantines, func(q *Quarantine) bool { return q.isSupportedBy(crash) })
}

func (q *Quarantine) isSupportedBy(crash *Crash) bool {
	return slices.ContainsFunc(q.crashes, func(c *Crash) bool { return c.ID == crash.ID })
}

// newList returns the list that follows from the crashes, which are sorted, the latest
// first. Trials that are allowed by the previous list stay allowed if nothing crashed since.
func newList(crashes []*Crash, previous *List) *List {
	list := &List{
		bySegment: make(map[uint64][]*Quarantine),
		watched:   make(map[uint64]bool),

		byPossible: make(map[uint64][]*Crash),
		recurring:  make(map[*Crash]bool),
	}
	byCandidate, byPossible := make(map[uint64][]*Crash), list.byPossible
	for _, crash := range crashes {
		for _, segments := range crash.Possible {
			for _, segment := range uncleared(crash, segments) {
				list.watched[segment] = true
				addCrash(byPossible, segment, crash)
			}
		}
		for _, suspect := range crash.Suspects {
			left := uncleared(crash, suspect)
			if len(left) > 0 {
				list.suspects = append(list.suspects, left)
			}
			for _, segment := range left {
				list.watched[segment] = true
				addCrash(byCandidate, segment, crash)
				addCrash(byPossible, segment, crash)
			}
		}
	}
	for _, supporting := range byPossible {
		if len(supporting) >= _enginesPossible {
			for _, crash := range supporting {
				list.recurring[crash] = true
			}
		}
	}
	list.accuse([]accusation{
		{crashes: byCandidate, least: _crashesAlone, suffices: accused},
		{crashes: byPossible, least: _enginesPossible, suffices: list.accusedAsPossible, narrows: true},
	}, crashes, previous)
	slices.SortFunc(list.quarantines, func(a, b *Quarantine) int { return cmp.Compare(a.key, b.key) })
	return list
}

// addCrash adds a crash to those of a segment, unless it was the last that was added.
func addCrash(bySegment map[uint64][]*Crash, segment uint64, crash *Crash) {
	if n := len(bySegment[segment]); n == 0 || bySegment[segment][n-1] != crash {
		bySegment[segment] = append(bySegment[segment], crash)
	}
}

// accusation is one kind of evidence: the crashes by segment, the least number that can be
// enough, and whether some are.
type accusation struct {
	crashes  map[uint64][]*Crash
	least    int
	suffices func(segment uint64, supporting, all []*Crash) bool
	// narrows is set if the more segments of a prompt go before, where both explain crashes: a
	// sound segment that is often beside the cause is in more groups than the cause itself.
	narrows bool
}

// accuse adds the quarantines that explain the most crashes first. Crashes that one
// explains are no evidence for others: sound requests are often victims of the cause at
// the engine that has their common segments cached.
func (l *List) accuse(kinds []accusation, crashes []*Crash, previous *List) {
	for {
		var best *Quarantine
		crashes = slices.DeleteFunc(slices.Clone(crashes), l.explains)
		for _, kind := range kinds {
			if best == nil {
				best = l.findBest(kind, crashes)
			}
		}
		if best == nil {
			return
		}
		if before := previous.byKey(best.key); before != nil && before.lastCrash == best.lastCrash {
			best.trial.Store(before.trial.Load())
		}
		l.quarantines = append(l.quarantines, best)
		l.bySegment[best.segments[0]] = append(l.bySegment[best.segments[0]], best)
	}
}

// findBest returns the best explanation of crashes that no quarantine explains, or nil.
func (l *List) findBest(kind accusation, crashes []*Crash) *Quarantine {
	unexplained := make(map[*Crash]bool, len(crashes))
	for _, crash := range crashes {
		unexplained[crash] = true
	}
	var found []*Quarantine
	for segment, supporting := range kind.crashes {
		if len(supporting) < kind.least {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(supporting), func(crash *Crash) bool { return !unexplained[crash] })
		if len(left) >= kind.least && kind.suffices(segment, left, crashes) {
			found = append(found, newQuarantine(segment, left))
		}
	}
	if len(found) == 0 {
		return nil
	}
	slices.SortFunc(found, func(a, b *Quarantine) int { return b.compare(a) })
	best := found[0]
	if !kind.narrows {
		return best
	}
	for _, q := range found {
		if len(q.segments) > len(best.segments) && best.isIn(q.segments) {
			best = q
		}
	}
	return best
}

// explains reports whether a quarantine holds the cause of a crash.
func (l *List) explains(crash *Crash) bool {
	return slices.ContainsFunc(l.quarantines, func(q *Quarantine) bool {
		return slices.ContainsFunc(crash.Suspects, q.isIn) || slices.ContainsFunc(crash.Possible, q.isIn)
	})
}

// isIn reports whether a suspect holds all segments of the quarantine.
func (q *Quarantine) isIn(suspect []uint64) bool {
	for _, segment := range q.segments {
		if !slices.Contains(suspect, segment) {
			return false
		}
	}
	return true
}

// compare is positive if q is the better explanation: by a segment of which no answer went
// on before, of more crashes, or by more segments, which refuses fewer requests.
func (q *Quarantine) compare(other *Quarantine) int {
	if q.answered != other.answered {
		if other.answered {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(q.crashes), len(other.crashes)),
		cmp.Compare(len(q.segments), len(other.segments)), cmp.Compare(q.key, other.key))
}

func uncleared(crash *Crash, suspect []uint64) []uint64 {
	var left []uint64
	for _, segment := range suspect {
		if !slices.Contains(crash.Cleared, segment) {
			left = append(left, segment)
		}
	}
	return left
}

// accused reports whether the crashes of which a segment is a candidate, the latest first,
// suffice to take it for the cause.
func accused(segment uint64, supporting, all []*Crash) bool {
	moments, second := countMoments(supporting)
	if moments < _crashesAlone || moments >= _crashesInDoubt {
		return moments >= _crashesInDoubt
	}
	if isAnswered(segment, supporting) {
		return false
	}
	engines := make(map[string]bool, len(supporting))
	for _, crash := range supporting {
		engines[crash.Engine] = true
	}
	first, others := supporting[len(supporting)-1].At, 0
	for _, crash := range all {
		if crash.At > first-_sameMoment && crash.At < second+_sameMoment && !crash.contains(segment) {
			others++
		}
	}
	// Each engine beyond two that crashed on the segment outweighs one that did not.
	return len(engines) >= _crashesAlone+others
}

// accusedAsPossible reports whether the crashes of which a segment is a candidate or a possible
// cause, the latest first, suffice to take it for the cause.
func (l *List) accusedAsPossible(segment uint64, supporting, all []*Crash) bool {
	moments, _ := countMoments(supporting)
	if moments < _crashesAlone || isAnswered(segment, all) {
		return false
	}
	engines := make(map[string]bool, len(supporting))
	for _, crash := range supporting {
		engines[crash.Engine] = true
	}
	first, last := supporting[len(supporting)-1].At, supporting[0].At
	others, _ := countMoments(slices.DeleteFunc(slices.Clone(all), func(crash *Crash) bool {
		return crash.At <= first-_sameMoment || crash.At >= last+_sameMoment || l.recurring[crash]
	}))
	return len(engines) >= min(_enginesPossible+(others+1)/2, _maxEnginesPossible)
}

func isAnswered(segment uint64, crashes []*Crash) bool {
	return slices.ContainsFunc(crashes, func(c *Crash) bool { return slices.Contains(c.Answered, segment) })
}

// countMoments returns at how many moments the crashes, the latest first, happened, and the
// time of the second one.
func countMoments(crashes []*Crash) (moments int, second time.Duration) {
	last := time.Duration(0)
	for _, crash := range slices.Backward(crashes) {
		if moments > 0 && crash.At-last < _sameMoment {
			continue
		}
		last = crash.At
		if moments++; moments == _crashesAlone {
			second = crash.At
		}
	}
	return moments, second
}

// newQuarantine returns the quarantine of all segments that each suspect with the accused
// one holds and that no answer has cleared.
func newQuarantine(segment uint64, supporting []*Crash) *Quarantine {
	q := &Quarantine{
		crashes:   supporting,
		lastCrash: supporting[0].At,
		answered:  isAnswered(segment, supporting),
	}
	first := true
	for _, crash := range supporting {
		for _, suspect := range slices.Concat(crash.Suspects, crash.Possible) {
			if !slices.Contains(suspect, segment) {
				continue
			}
			if first {
				q.segments = slices.Clone(suspect)
				first = false
			}
			q.segments = slices.DeleteFunc(q.segments, func(s uint64) bool {
				return !slices.Contains(suspect, s) || slices.Contains(crash.Cleared, s)
			})
		}
	}
	slices.Sort(q.segments)
	q.segments = slices.Compact(q.segments)
	for _, s := range q.segments {
		q.key = (q.key ^ s) * _idFactor
	}
	return q
}
