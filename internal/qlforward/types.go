package qlforward

import (
	"context"
	"net/http"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlroute"
)

// Caller is what a request's headers say.
type Caller struct {
	// ID names this attempt; upstreams echo it.
	ID string
	// Wait is how long the caller waits; 0 when it does not say.
	Timeout time.Duration
	// Key is the customer's, empty without one.
	Key string
	// Prompt is set when the request is for an engine.
	Prompt *qlengine.Prompt
	// After is the last event that the caller has of a stream, or -1.
	LastEventID int64
	// Unreadable is the first of the headers' errors; what cannot be read is
	// taken for not given.
	HeaderError error
}

// Outgoing is what the router tells an upstream beside the caller's headers.
type Outgoing struct {
	// Left is how long the answer is waited for.
	Timeout time.Duration
	// Upstream is the id of the one that is meant: its address may have
	// passed to another.
	Upstream string
	// Customer is who holds the caller's key, empty without one.
	Customer string
	// After is the last event that the caller has, or -1.
	LastEventID int64
	// HideKey is set when the key is not the upstream's to see.
	HideKey bool
}

// Answer is what an upstream's response says beside status and body.
type Answer struct {
	// NotRun is the upstream's word that it did not run the request.
	NotRun bool
	// Signed is set when the response bears the upstream's signature.
	Signed bool
	// HasLoad is set when the upstream tells its load.
	HasLoad bool
	Running int
	Waiting int
	// Unreadable tells why the load cannot be read.
	LoadError error
}

// Dialect translates between the callers' and upstreams' headers and the
// types above.
type Dialect struct {
	ReadCaller func(header http.Header) Caller
	// ReadHead reads what a refusal needs of a request's head: get returns the
	// value of a field.
	ReadHead    func(get func(name string) string) (id, key string)
	SetOutgoing func(header http.Header, outgoing Outgoing)
	ReadAnswer  func(response *http.Response) Answer
}

// Placement finds engines for requests.
type Placement struct {
	// Ask returns the decision on a request.
	Decide func(ctx context.Context, request *qlplace.Request) qlplace.Decision
	// First tells that a run's first event came.
	FirstEvent func(request uint64)
	// End tells that a run ended.
	End func(request uint64, outcome qlengine.Outcome)
	// Routers returns how many routers share the upstreams.
	RouterCount func() int
}

// View is what requests need of the configuration and the list of upstreams.
// It never changes.
type View struct {
	table    *qlroute.Table
	services map[string][]qlcatalog.Entry
	byID     map[string]qlcatalog.Entry
	// list is the revision of the upstreams.
	list uint64
}

// NewView returns the view of a table and the upstreams under their revision.
func NewView(table *qlroute.Table, entries []qlcatalog.Entry, list uint64) *View {
	view := &View{
		table:    table,
		list:     list,
		services: make(map[string][]qlcatalog.Entry),
		byID:     make(map[string]qlcatalog.Entry, len(entries)),
	}
	for _, entry := range entries {
		if entry.State == qlcatalog.Ready {
			view.services[entry.Service] = append(view.services[entry.Service], entry)
			view.byID[entry.ID] = entry
		}
	}
	return view
}

// Table returns the configuration in force.
func (v *View) Table() *qlroute.Table {
	return v.table
}
