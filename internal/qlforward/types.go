package qlforward

import (
	"context"
	"net/http"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlquarantine"
	"github.com/quetzallane/quetzallane/internal/qlroute"
)

// Caller is what the router reads from the headers of a caller's request.
type Caller struct {
	// ID identifies this attempt of the caller; upstreams echo it in their
	// responses.
	ID string
	// Timeout is how long the caller waits for the answer; 0 if it states no
	// time.
	Timeout time.Duration
	// Key is the customer's API key; empty if the request has none.
	Key string
	// Prompt describes the prompt of a request to a model engine; nil for other
	// requests.
	Prompt *qlengine.Prompt
	// LastEventID is the id of the last event of a stream that the caller
	// received, or -1.
	LastEventID int64
	// HeaderError is the first error in the headers. An invalid header is
	// treated as absent.
	HeaderError error
}

// answerProgress is how much of an answer an upstream has sent.
type answerProgress int

const (
	// progressNone: nothing.
	progressNone answerProgress = iota
	// progressHead: the head.
	progressHead
	// progressPart: bytes of the body, but no complete event.
	progressPart
	// progressEvents: complete events.
	progressEvents
	// progressOngoing: complete events, and further ones after them.
	progressOngoing
)

// String returns the progress for logs.
func (p answerProgress) String() string {
	switch p {
	case progressHead:
		return "head"
	case progressPart:
		return "part-of-event"
	case progressEvents, progressOngoing:
		return "events"
	}
	return "none"
}

// Outgoing is what the router sets in the headers of a request to an upstream,
// in addition to the caller's headers.
type Outgoing struct {
	// Timeout is how long the router waits for the answer.
	Timeout time.Duration
	// Upstream is the id of the intended upstream, whose address may meanwhile
	// have been reassigned to another one.
	Upstream string
	// Customer is the name of the customer who holds the caller's key; empty if
	// there is none.
	Customer string
	// LastEventID is the id of the last event of a stream that the caller
	// received, or -1.
	LastEventID int64
	// HideKey is set if the caller's key must not be forwarded to the upstream.
	HideKey bool
}

// Answer is what the router reads from the headers of an upstream's response.
type Answer struct {
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Signed is set if the response carries the upstream's signature.
	Signed bool
	// HasLoad is set if the upstream reports its load: the numbers of Running
	// and Waiting requests.
	HasLoad bool
	Running int
	Waiting int
	// Pace is how long work takes on the upstream's machine now: 1 is usual, 2.5 is 2.5
	// times as long. It is 0 if the upstream does not report it.
	Pace float64
	// PaceError is the error of a reported pace that is not usable.
	PaceError error
	// Leaving is set if the upstream states that it is leaving.
	Leaving bool
	// Pause is for how long an upstream that has turned the request away wants nothing
	// from this router; 0 if it states no time.
	Pause time.Duration
	// LoadError is the error of a load report, or of a pause, that is invalid.
	LoadError error
}

// Dialect translates between the headers of callers and upstreams and the types
// above.
type Dialect struct {
	// ReadCaller parses the headers of a caller's request; it is also used to
	// read the id that an upstream echoes.
	ReadCaller func(header http.Header) Caller
	// ReadHead returns the id and the key of a request that is refused before
	// its headers are parsed completely; get returns the value of a header
	// field.
	ReadHead func(get func(name string) string) (id, key string)
	// ReadTimeout returns how long the caller of such a request waits for the answer, or 0 if it
	// states no time.
	ReadTimeout func(get func(name string) string) time.Duration
	// SetOutgoing sets the headers of a request to an upstream.
	SetOutgoing func(header http.Header, outgoing Outgoing)
	// UpstreamOnly are the header fields of responses that callers do not get.
	UpstreamOnly []string
	// ReadAnswer parses the headers of an upstream's response.
	ReadAnswer func(response *http.Response) Answer
}

// Placement chooses engines for requests. The functions FirstEvent and End
// identify a placement by the Request of the qlengine.Key that Decide was
// given.
type Placement struct {
	// Decide returns the decision on which engine a request is sent to, or that
	// it is refused.
	Decide func(ctx context.Context, request *qlplace.Request) qlplace.Decision
	// FirstEvent reports that the first event of an active request arrived, and the
	// Answer.Pace that came with it, or 0.
	FirstEvent func(placementID uint64, pace float64)
	// End reports how an active request ended, or that the decision on a
	// request is no longer of use.
	End func(placementID uint64, outcome qlengine.Outcome)
	// RouterCount returns the number of routers that share the upstreams.
	RouterCount func() int
}

// Quarantine decides which prompts are refused since requests with segments of theirs
// crash engines.
type Quarantine struct {
	// Await waits until this router knows which crashes the other routers know, or the
	// context ends.
	Await func(ctx context.Context)
	// List returns the quarantines in force.
	List func() *qlquarantine.List
	// ReportCrash reports that an engine has crashed while a request was in progress there. The
	// time of the crash isn't set.
	ReportCrash func(crash *qlquarantine.Crash)
	// ReportAnswer reports that an answer goes on which began at the time, on the clock
	// of Config.Clock, to a prompt with watched segments.
	ReportAnswer func(began time.Duration, segments []uint64)
	// Answers remembers the segments of prompts of which answers went on.
	Answers *qlquarantine.Answers
}

// View is an immutable snapshot of the configuration and the list of upstreams.
type View struct {
	table *qlroute.Table
	// readyByService and readyByID hold the upstreams that are ready.
	readyByService map[string][]qlcatalog.Entry
	readyByID      map[string]qlcatalog.Entry
	// listPosition is the store's position of the list of upstreams.
	listPosition qlposition.Position
	// evacuatedZones are the zones whose upstreams are left out, and evacuatedByService the
	// ids of these upstreams.
	evacuatedZones     map[string]bool
	evacuatedByService map[string][]string
}

// NewView returns the view of a routing table and the list of upstreams at the
// given position. Upstreams that are not ready are left out.
func NewView(table *qlroute.Table, entries []qlcatalog.Entry, listPosition qlposition.Position) *View {
	view := &View{
		table:          table,
		listPosition:   listPosition,
		readyByService: make(map[string][]qlcatalog.Entry),
		readyByID:      make(map[string]qlcatalog.Entry, len(entries)),
	}
	for _, entry := range entries {
		if entry.State == qlcatalog.Ready {
			view.readyByService[entry.Service] = append(view.readyByService[entry.Service], entry)
			view.readyByID[entry.ID] = entry
		}
	}
	return view
}

// Table returns the routing table.
func (v *View) Table() *qlroute.Table {
	return v.table
}
