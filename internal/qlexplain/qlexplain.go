// Package qlexplain reconstructs the timeline of one request from the logs of
// several routers.
//
// It selects the lines that name the request, and the lines about state changes
// of the routers that handled it: the configuration and the lists of upstreams
// and routers in force, an unreachable store, a stop. Logs are lines of key=value
// pairs; text before the time pair, such as the prefix of a log collector, is
// ignored.
//
// # Usage
//
//	timeline := qlexplain.New("9c41d07be2a35f68")
//	err := timeline.Read("r1.log", file)
//	err = timeline.Write(os.Stdout)
package qlexplain

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// _maxLineBytes is the length of the longest log line that can be read.
	_maxLineBytes = 1 << 20
	// _contextPeriod is the time before the first line of the request from
	// which all state changes are shown. Of earlier ones, only the latest of
	// each router and event is shown.
	_contextPeriod = 5 * time.Second
)

// _stateEvents are the log events that report a change of the state on which a
// router bases its decisions.
var _stateEvents = map[string]bool{
	"started":               true,
	"stopping":              true,
	"stopped":               true,
	"settings-reloaded":     true,
	"settings-refused":      true,
	"configuration-adopted": true,
	"configuration-refused": true,
	"upstreams-changed":     true,
	"store-lost":            true,
	"store-regained":        true,
	"store-history-lost":    true,
	"fetch-failed":          true,
	"owner-changed":         true,
	"routers-changed":       true,
	"engine-crashed":        true,
	"quarantine-started":    true,
	"quarantine-ended":      true,
}

// logLine is a parsed log line.
type logLine struct {
	at     time.Time
	router string
	event  string
	text   string
	source string
}

// Timeline holds the log lines that concern one request.
type Timeline struct {
	id           string
	requestLines []logLine
	stateLines   []logLine
}

// New returns an empty timeline of the request with the id.
func New(id string) *Timeline {
	return &Timeline{
		id: id,
	}
}

// ReadFile reads a log file, with its base name as the source of the lines.
func (t *Timeline) ReadFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	return errors.Annotate(t.Read(filepath.Base(path), file), path)
}

// Read adds the lines of a log that may concern the request. Lines that cannot be
// parsed are ignored, since logs may hold lines of other programs.
func (t *Timeline) Read(source string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 1<<16), _maxLineBytes)
	for scanner.Scan() {
		parsed, ok := parseLine(source, scanner.Text())
		switch {
		case !ok:
		case fieldValue(parsed.text, "request") == t.id:
			t.requestLines = append(t.requestLines, parsed)
		case _stateEvents[parsed.event]:
			t.stateLines = append(t.stateLines, parsed)
		}
	}
	return errors.Annotate(scanner.Err(), source)
}

func parseLine(source, text string) (logLine, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return logLine{}, false
	}
	text = text[start:]
	at, err := time.Parse(time.RFC3339Nano, fieldValue(text, "time"))
	if err != nil {
		return logLine{}, false
	}
	return logLine{
		at:     at,
		router: fieldValue(text, "router"),
		event:  fieldValue(text, "event"),
		text:   text,
		source: source,
	}, true
}

// fieldValue returns the value of a key in a log line without its quotes, or ""
// if the line has no such key.
func fieldValue(text, key string) string {
	rest := text
	for {
		at := strings.Index(rest, key+"=")
		if at < 0 {
			return ""
		}
		if at > 0 && rest[at-1] != ' ' {
			rest = rest[at+1:]
			continue
		}
		value := rest[at+len(key)+1:]
		if quoted, ok := strings.CutPrefix(value, `"`); ok {
			value, _, _ = strings.Cut(quoted, `"`)
			return value
		}
		value, _, _ = strings.Cut(value, " ")
		return value
	}
}

// Found reports whether any line names the request.
func (t *Timeline) Found() bool {
	return len(t.requestLines) > 0
}

// Write writes the timeline in order of time. Times are seconds since the first
// line of the request. It returns a NotFound error if no line names the request.
func (t *Timeline) Write(w io.Writer) error {
	if !t.Found() {
		return errors.NotFoundf("request %q in the logs (successes are sampled; see log-lines-sampled-out)", t.id)
	}
	sort.SliceStable(t.requestLines, func(i, j int) bool { return t.requestLines[i].at.Before(t.requestLines[j].at) })
	first, last := t.requestLines[0].at, t.requestLines[len(t.requestLines)-1].at
	lines := append(t.contextLines(first, last), t.requestLines...)
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	for _, l := range lines {
		_, err := fmt.Fprintf(w, "%+10.3fs  %s  %s\n", l.at.Sub(first).Seconds(), l.router, l.text[strings.Index(l.text, "event="):])
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// contextLines returns the state changes of the routers that handled the request
// or decided about it: all of them from _contextPeriod before its first line to
// its last line, and of the earlier ones the latest of each router and event.
func (t *Timeline) contextLines(first, last time.Time) []logLine {
	routers := map[string]bool{}
	for _, l := range t.requestLines {
		routers[l.router] = true
		if decider := fieldValue(l.text, "decided-by"); decider != "" {
			routers[decider] = true
		}
	}
	var lines []logLine
	latest := map[string]logLine{}
	for _, l := range t.stateLines {
		switch {
		case !routers[l.router] || l.at.After(last):
		case l.at.After(first.Add(-_contextPeriod)):
			lines = append(lines, l)
		default:
			key := l.router + " " + l.event
			if previous, ok := latest[key]; !ok || l.at.After(previous.at) {
				latest[key] = l
			}
		}
	}
	for _, l := range latest {
		lines = append(lines, l)
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].text < lines[j].text })
	return lines
}
