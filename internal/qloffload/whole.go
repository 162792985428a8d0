package qloffload

import (
	"bytes"
	"strconv"
)

// answerTracker finds out whether a whole answer with a length has come, though the frame that
// tells its end has not. Answers in chunks are not tracked.
type answerTracker struct {
	// length is that of the head and the body together, once known is set.
	length int
	known  bool
	got    int
}

// add adds a part of the answer. The first one holds the whole head.
func (t *answerTracker) add(part []byte) {
	if t.got == 0 {
		t.readHead(part)
	}
	t.got += len(part)
}

func (t *answerTracker) readHead(part []byte) {
	end := bytes.Index(part, _headEnd)
	if end < 0 {
		return
	}
	for line := range bytes.SplitSeq(part[:end], _lineEnd) {
		if bytes.HasPrefix(line, _chunkedPrefix) {
			t.known = false
			return
		}
		value, ok := bytes.CutPrefix(line, _lengthPrefix)
		if !ok {
			continue
		}
		length, err := strconv.Atoi(string(value))
		t.length, t.known = end+len(_headEnd)+length, err == nil && length >= 0
	}
}

func (t *answerTracker) isWhole() bool {
	return t.known && t.got == t.length
}

// The parts of a head as answerWriter writes it.
var (
	_lineEnd       = []byte("\r\n")
	_headEnd       = []byte("\r\n\r\n")
	_lengthPrefix  = []byte("Content-Length: ")
	_chunkedPrefix = []byte("Transfer-Encoding: ")
)
