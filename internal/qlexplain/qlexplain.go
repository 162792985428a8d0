// Package qlexplain tells one request's story from the logs of several
// routers.
//
// It picks the lines that name the request, and those that say what the
// routers on its way believed: the configuration and list in force, a store
// that was lost, a stop. Logs are lines of key=value pairs; a prefix before
// the first pair, as some log collectors write, is passed over.
//
// # Usage
//
//	story := qlexplain.New("9c41d07be2a35f68")
//	story.Read("r1.log", file)
//	story.Write(os.Stdout)
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
	// _maxLine bounds a log line, in bytes.
	_maxLine = 1 << 20
	// _before is how long before the request what a router learned counts for
	// it beside the last line of each kind.
	_before = 5 * time.Second
)

// _beliefs are the events that change what a router believes.
var _beliefs = map[string]bool{
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
}

// line is one log line.
type line struct {
	at     time.Time
	router string
	event  string
	text   string
	source string
}

// Timeline is what is known of a request.
type Timeline struct {
	id      string
	own     []line
	beliefs []line
}

// New returns a story without lines.
func New(id string) *Timeline {
	return &Timeline{
		id: id,
	}
}

// ReadFile reads a log file, which is named by its base name.
func (s *Timeline) ReadFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	return errors.Annotate(s.Read(filepath.Base(path), file), path)
}

// Read takes the lines of a log. Lines that cannot be read are passed over:
// logs hold other programs' lines, too.
func (s *Timeline) Read(source string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 1<<16), _maxLine)
	for scanner.Scan() {
		parsed, ok := parse(source, scanner.Text())
		switch {
		case !ok:
		case field(parsed.text, "request") == s.id:
			s.own = append(s.own, parsed)
		case _beliefs[parsed.event]:
			s.beliefs = append(s.beliefs, parsed)
		}
	}
	return errors.Annotate(scanner.Err(), source)
}

func parse(source, text string) (line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return line{}, false
	}
	text = text[start:]
	at, err := time.Parse(time.RFC3339Nano, field(text, "time"))
	if err != nil {
		return line{}, false
	}
	return line{
		at:     at,
		router: field(text, "router"),
		event:  field(text, "event"),
		text:   text,
		source: source,
	}, true
}

// field returns the value of a key, without its quotes.
func field(text, key string) string {
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
func (s *Timeline) Found() bool {
	return len(s.own) > 0
}

// Write writes the story in order of time, each time as counted from the
// request's first line.
func (s *Timeline) Write(w io.Writer) error {
	if !s.Found() {
		return errors.NotFoundf("request %q in the logs (successes are sampled; see log-lines-sampled-out)", s.id)
	}
	sort.SliceStable(s.own, func(i, j int) bool { return s.own[i].at.Before(s.own[j].at) })
	first, last := s.own[0].at, s.own[len(s.own)-1].at
	lines := append(s.relevant(first, last), s.own...)
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	for _, l := range lines {
		_, err := fmt.Fprintf(w, "%+10.3fs  %s  %s\n", l.at.Sub(first).Seconds(), l.router, l.text[strings.Index(l.text, "event="):])
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// relevant returns what the routers on the request's way believed: all that
// changed shortly before it and during it, and the last change of each kind
// before.
func (s *Timeline) relevant(first, last time.Time) []line {
	routers := map[string]bool{}
	for _, l := range s.own {
		routers[l.router] = true
		if decider := field(l.text, "decided-by"); decider != "" {
			routers[decider] = true
		}
	}
	var lines []line
	latest := map[string]line{}
	for _, l := range s.beliefs {
		switch {
		case !routers[l.router] || l.at.After(last):
		case l.at.After(first.Add(-_before)):
			lines = append(lines, l)
		default:
			key := l.router + " " + l.event
			if known, ok := latest[key]; !ok || l.at.After(known.at) {
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
