package qlupstream

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

const (
	// EndEvent is the data of a stream's last event.
	EndEvent       = "[DONE]"
	_maxEventBytes = 1 << 20
)

// Event is one server-sent event of a completion.
type Event struct {
	number int
	data   string
}

// Number returns the event's number in its stream, from 1.
func (e Event) Number() int {
	return e.number
}

// Data returns the event's data.
func (e Event) Data() string {
	return e.data
}

// End reports whether the event ends its stream.
func (e Event) End() bool {
	return e.data == EndEvent
}

// usage holds the fields of an engine's answer or event that give its request
// id and cost.
type usage struct {
	ID    string `json:"id"`
	Usage *struct {
		Prompt     float64 `json:"prompt_tokens"`
		Completion float64 `json:"completion_tokens"`
	} `json:"usage"`
}

// costOf returns the cost of a complete answer: the value of CostHeader if it is
// valid, else the tokens that the body's usage field counts, else 1 for one
// call.
func costOf(header http.Header, body []byte) float64 {
	if cost, err := strconv.ParseFloat(header.Get(CostHeader), 64); err == nil && cost >= 0 {
		return cost
	}
	var u usage
	if json.Unmarshal(body, &u) == nil && u.Usage != nil {
		return u.Usage.Prompt + u.Usage.Completion
	}
	return 1
}

// readStream passes events to OnEvent in order. Only the end event ends it with
// success; a missing event, or one of another request, ends it with a failure.
func readStream(ctx context.Context, call Call, response *http.Response) *Answer {
	answer := &Answer{
		code:        qlcode.UpstreamCut,
		sent:        true,
		status:      response.StatusCode,
		header:      response.Header,
		lastEventID: call.LastEventID,
	}
	reader := NewReader(response.Body)
	for {
		event, err := reader.Next()
		if err != nil {
			failure := failed(ctx, err)
			answer.code, answer.err = failure.code, failure.err
			return answer
		}
		if event.number <= answer.lastEventID {
			// A repeated event has been passed on before.
			continue
		}
		if event.number != answer.lastEventID+1 {
			answer.err = errors.Errorf("event %d follows event %d", event.number, answer.lastEventID)
			return answer
		}
		if !answer.recordEvent(call.RequestID, event) {
			return answer
		}
		answer.lastEventID = event.number
		if err := call.OnEvent(event); err != nil {
			answer.code, answer.err = qlcode.CallerLeft, err
			return answer
		}
		if event.End() {
			answer.code = qlcode.Answered
			return answer
		}
	}
}

// recordEvent records the event's cost: one token for each event, until the
// engine reports its count. It returns false, with the cause in the answer, if
// the event cannot be decoded or belongs to another request.
func (a *Answer) recordEvent(requestID string, event Event) bool {
	if event.End() {
		return true
	}
	var u usage
	if err := json.Unmarshal([]byte(event.data), &u); err != nil {
		a.err = errors.Annotatef(err, "event %d", event.number)
		return false
	}
	if u.ID != "" && u.ID != requestID {
		a.code = qlcode.AnswerCrossed
		a.err = errors.Errorf("event %d belongs to %q", event.number, u.ID)
		return false
	}
	if u.Usage != nil {
		a.cost = u.Usage.Prompt + u.Usage.Completion
		return true
	}
	a.cost++
	return true
}

// Reader reads server-sent events.
type Reader struct {
	scanner *bufio.Scanner
	// lastNumber is the number of the last event read, or 0.
	lastNumber int
}

// NewReader returns a reader of the stream.
func NewReader(stream interface{ Read([]byte) (int, error) }) *Reader {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4096), _maxEventBytes)
	return &Reader{
		scanner: scanner,
	}
}

// Next returns the next event. An event without an id gets the number after the
// previous event's. At the end of the stream, also within an event, it returns
// an error, since a stream must end with the end event.
func (r *Reader) Next() (Event, error) {
	event := Event{
		number: r.lastNumber + 1,
	}
	hasData := false
	for r.scanner.Scan() {
		line := strings.TrimSuffix(r.scanner.Text(), "\r")
		if line == "" {
			if hasData {
				r.lastNumber = event.number
				return event, nil
			}
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "data":
			if hasData {
				event.data += "\n"
			}
			event.data += value
			hasData = true
		case "id":
			number, err := strconv.Atoi(value)
			if err != nil || number < 1 {
				return Event{}, errors.NotValidf("event id %q", value)
			}
			event.number = number
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, errors.Trace(err)
	}
	return Event{}, errors.New("stream ended without its end event")
}
