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
	EndEvent  = "[DONE]"
	_maxEvent = 1 << 20
)

// Event is one server-sent event of a completion.
type Event struct {
	number int
	data   string
}

// Number returns the event's number; a stream counts from 1.
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

// usage is the part of an engine's answer that tells its cost.
type usage struct {
	ID    string `json:"id"`
	Usage *struct {
		Prompt     float64 `json:"prompt_tokens"`
		Completion float64 `json:"completion_tokens"`
	} `json:"usage"`
}

// costOf returns the cost of a whole answer: tokens where the body counts
// them, else what the header says, else one call.
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

// readStream passes events on in order. It ends well only with the end
// event; an event that is missing, repeated out of order or of another
// request ends it as a failure.
func readStream(ctx context.Context, call Call, response *http.Response) *Answer {
	answer := &Answer{
		code:   qlcode.UpstreamCut,
		sent:   true,
		status: response.StatusCode,
		header: response.Header,
		last:   call.LastEventID,
	}
	reader := NewReader(response.Body)
	for {
		event, err := reader.Next()
		if err != nil {
			f := failed(ctx, err)
			answer.code, answer.err = f.code, f.err
			return answer
		}
		if event.number <= answer.last {
			// A repeated event was passed on already.
			continue
		}
		if event.number != answer.last+1 {
			answer.err = errors.Errorf("event %d follows event %d", event.number, answer.last)
			return answer
		}
		if !answer.account(call.RequestID, event) {
			return answer
		}
		answer.last = event.number
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

// account checks whose event it is and adds its cost; one token an event
// until the engine says better.
func (a *Answer) account(requestID string, event Event) bool {
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
	count   int
}

// NewReader returns a reader of the stream.
func NewReader(stream interface{ Read([]byte) (int, error) }) *Reader {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4096), _maxEvent)
	return &Reader{
		scanner: scanner,
	}
}

// Next returns the next event. An event without a number counts up from the
// one before. A stream that ends within an event, or without the end event,
// gives an error.
func (r *Reader) Next() (Event, error) {
	event := Event{
		number: r.count + 1,
	}
	given := false
	for r.scanner.Scan() {
		line := strings.TrimSuffix(r.scanner.Text(), "\r")
		if line == "" {
			if given {
				r.count = event.number
				return event, nil
			}
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "data":
			if given {
				event.data += "\n"
			}
			event.data += value
			given = true
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
