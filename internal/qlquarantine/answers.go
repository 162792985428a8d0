package qlquarantine

import (
	"sync"
	"time"
)

const (
	// _answerSlots bounds the segments that Answers remembers.
	_answerSlots = 4096
	// _answerMemory is how long an answer counts as shortly before a crash.
	_answerMemory = time.Minute
)

// Answers remembers to which segments this router has lately seen answers go on: popular
// ones are among the suspects of any crash. Its zero value is ready to use, and it is safe
// for concurrent use.
type Answers struct {
	mu    sync.Mutex
	slots [_answerSlots]answeredSegment
}

// answeredSegment is a segment and when an answer to it went on last. It is unused if
// isSet is false.
type answeredSegment struct {
	id    uint64
	at    time.Duration
	isSet bool
}

// Record records an answer that goes on to a prompt with the segments. Of segments that
// share a slot, the latest is remembered.
func (a *Answers) Record(now time.Duration, segments []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range segments {
		a.slots[id%_answerSlots] = answeredSegment{
			id:    id,
			at:    now,
			isSet: true,
		}
	}
}

// Recent returns those of the segments that are remembered from the last minute.
func (a *Answers) Recent(now time.Duration, segments []uint64) []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	var recent []uint64
	for _, id := range segments {
		if slot := a.slots[id%_answerSlots]; slot.isSet && slot.id == id && now-slot.at < _answerMemory {
			recent = append(recent, id)
		}
	}
	return recent
}
