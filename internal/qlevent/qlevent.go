// Package qlevent splits a stream of server-sent events into complete events.
//
// An upstream that fails may stop in the middle of an event. The router
// forwards only complete events, so that another upstream can resume the stream
// after the last one.
//
// # Usage
//
//	var splitter qlevent.Splitter
//	events := splitter.Write(data) // the complete events, unchanged
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

// MaxEventBytes is the largest size of an event, in bytes.
const MaxEventBytes = 256 << 10

// Splitter buffers a stream until its events are complete. Its zero value is
// ready to use.
type Splitter struct {
	// incomplete holds the bytes after the last complete event.
	incomplete []byte
}

// Write adds data of the stream and returns the bytes of all events that are
// now complete. The caller may retain them.
func (s *Splitter) Write(data []byte) []byte {
	// Only the new data can complete an event, except for a blank line that is
	// divided between two writes.
	start := max(len(s.incomplete)-len(_blankLine)+1, 0)
	s.incomplete = append(s.incomplete, data...)
	end := bytes.LastIndex(s.incomplete[start:], _blankLine)
	if end < 0 {
		return nil
	}
	end += start + len(_blankLine)
	whole := s.incomplete[:end:end]
	s.incomplete = append([]byte(nil), s.incomplete[end:]...)
	return whole
}

// TooLong reports whether the incomplete event exceeds MaxEventBytes. Its stream is to
// be ended then: an event without end would take the memory of the process.
func (s *Splitter) TooLong() bool {
	return len(s.incomplete) > MaxEventBytes
}

// Rest returns the bytes of an incomplete event at the end of the data.
func (s *Splitter) Rest() []byte {
	return s.incomplete
}

// LastID returns the id of the last event that has one. It reports false if no
// event has one, or if that id is not a number.
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

// After returns the events that follow the event with the id last; ok is false
// if ids are missing between last and the first of them, or if an event before that has no
// id: it belongs to another stream.
func After(events []byte, last int64) (rest []byte, ok bool) {
	for len(events) > 0 {
		event := events
		if end := bytes.Index(events, _blankLine); end >= 0 {
			event = events[:end+len(_blankLine)]
		}
		id, found := LastID(event)
		switch {
		case found && id > last:
			return events, id == last+1
		case !found && !isComment(event):
			return nil, false
		}
		events = events[len(event):]
	}
	return nil, true
}

// isComment reports whether an event has no fields.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// parseID parses the first line of the text as an event id.
func parseID(text []byte) (int64, bool) {
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		text = text[:end]
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
	return id, err == nil
}
