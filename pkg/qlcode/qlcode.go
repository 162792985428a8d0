// Package qlcode defines the numbered result codes of the fleet.
//
// The router of package qlrouter sends a code with every answer to a request: in
// the Quetzallane-Result header, in the trailer of a complete stream, or in the
// error event that ends an incomplete one. The router of package qledge sends the
// header only with answers that it generates itself.
//
// Above all, a code says whether an upstream executed the request. After RunNo,
// a caller may safely send the request again. After RunUnknown, it may do so
// only if the call is idempotent.
//
// # Usage
//
//	code := qlcode.QueueFull
//	w.Header().Set(qlcode.HeaderName, code.String())
//	w.WriteHeader(code.HTTPStatus())
//
// The table in table.go is the single description of the codes;
// docs/RESULT-CODES.md and the output of `quetzallane codes` are generated from
// it.
package qlcode

import (
	"fmt"
	"strconv"
	"strings"
)

// HeaderName is the answer header that carries the result code.
const HeaderName = "Quetzallane-Result"

// Run states what a router knows about whether an upstream executed a request.
type Run int

const (
	// RunNo means that no byte of the request can have reached an upstream.
	RunNo Run = iota + 1
	// RunUnknown means that the request was sent, but no complete answer was
	// received.
	RunUnknown
	// RunYes means that an upstream gave a complete answer.
	RunYes
)

// String returns no, unknown or yes, as in the documentation.
func (r Run) String() string {
	switch r {
	case RunNo:
		return "no"
	case RunUnknown:
		return "unknown"
	case RunYes:
		return "yes"
	}
	return "invalid"
}

// Code is a result code. Its first digit follows from Run: 1 for RunYes, 2 for
// RunNo and 3 for RunUnknown.
type Code int

// String returns the number in decimal.
func (c Code) String() string {
	return strconv.Itoa(int(c))
}

// Name returns the kebab-case name of the code, or "unlisted".
func (c Code) Name() string {
	return c.entry().name
}

// Title returns the one-line description of the code.
func (c Code) Title() string {
	return c.entry().title
}

// HTTPStatus returns the HTTP status that a router sends with the code. For an
// upstream's complete answer, the status of that answer is sent instead.
func (c Code) HTTPStatus() int {
	return c.entry().status
}

// Run returns what the code says about whether an upstream executed the request.
func (c Code) Run() Run {
	return c.entry().run
}

// Remedy returns what the caller or the operators can do about the result.
func (c Code) Remedy() string {
	return c.entry().remedy
}

func (c Code) entry() entry {
	for _, e := range _table {
		if e.code == c {
			return e
		}
	}
	return entry{
		code:   c,
		name:   "unlisted",
		title:  "Unlisted code",
		status: 500,
		run:    RunUnknown,
	}
}

// All returns every code in the order of the table in table.go, which is also the
// order of docs/RESULT-CODES.md.
func All() []Code {
	codes := make([]Code, 0, len(_table))
	for _, e := range _table {
		codes = append(codes, e.code)
	}
	return codes
}

// Markdown returns the content of docs/RESULT-CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Made by `quetzallane codes --markdown`; do not edit.\n")
	b.WriteString("Each answer of a router carries one in the header `" + HeaderName + "`.\n\n")
	for _, e := range _table {
		fmt.Fprintf(&b, "## %d %s\n\n", e.code, e.name)
		fmt.Fprintf(&b, "**%s.** Run: %s. HTTP status: %d.\n\n", e.title, e.run, e.status)
		fmt.Fprintf(&b, "%s\n\nExample: %s\n\nRemedy: %s\n\n", e.text, e.example, e.remedy)
	}
	return strings.TrimRight(b.String(), "\n") + "\n"
}
