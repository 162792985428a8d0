// Package qlevent cuts a stream of server-sent events into whole events.
//
// An upstream that fails may stop in the middle of an event. Only whole
// events are passed on, so that a stream can go on at another upstream after
// the last one.
//
// # Usage
//
//	var splitter qlevent.Splitter
//	events := splitter.Write(data) // whole events, as they came
//	last, ok := qlevent.LastID(events)
//	rest, ok := qlevent.After(events, last)
package qlevent

import (
	"bytes"
	"strconv"
)

var (
	_blankLine = []byte("\n\n")
	_idField   = []byte("id:")
)

// Splitter collects what was read. Its zero value is ready.
type Splitter struct {
	rest []byte
}

// Write adds what was read and returns the whole events, which the caller may
// keep.
func (s *Splitter) Write(data []byte) []byte {
	s.rest = append(s.rest, data...)
	end := bytes.LastIndex(s.rest, _blankLine)
	if end < 0 {
		return nil
	}
	end += len(_blankLine)
	whole := s.rest[:end:end]
	s.rest = append([]byte(nil), s.rest[end:]...)
	return whole
}

// Rest returns what has come of an event that is not whole.
func (s *Splitter) Rest() []byte {
	return s.rest
}

// LastID returns the id of the last event that has one.
func LastID(events []byte) (int64, bool) {
	for len(events) > 0 {
		start := bytes.LastIndex(events, _idField)
		if start < 0 {
			return 0, false
		}
		if start == 0 || events[start-1] == '\n' {
			return parseID(events[start+len(_idField):])
		}
		events = events[:start]
	}
	return 0, false
}

// After returns the events whose ids follow the last one; ok is false when
// one is missing in between.
func After(events []byte, last int64) (rest []byte, ok bool) {
	for len(events) > 0 {
		event := events
		if end := bytes.Index(events, _blankLine); end >= 0 {
			event = events[:end+len(_blankLine)]
		}
		if id, found := LastID(event); found && id > last {
			return events, id == last+1
		}
		events = events[len(event):]
	}
	return nil, true
}

func parseID(text []byte) (int64, bool) {
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		text = text[:end]
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
	return id, err == nil
}
