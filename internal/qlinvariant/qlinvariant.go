// Package qlinvariant lists the invariants that the decision code asserts while
// it runs, and reports violations.
//
// In production a violation is counted and logged, and the router keeps serving
// requests. Tests install a Report function that fails the test.
//
// # Usage
//
//	monitor := &qlinvariant.Monitor{Report: func(v qlinvariant.Violation) { t.Error(v) }}
//	monitor.Check(revision > before, qlinvariant.ConfigurationReverts, "r1", "peer r2")
package qlinvariant

import "fmt"

// Kind identifies one invariant.
type Kind int

const (
	// ConfigurationReverts is a router that adopted a configuration whose
	// revision is not higher than the one in force.
	ConfigurationReverts Kind = iota + 1
	// SlotsOvercommitted is an upstream with more granted requests than slots.
	SlotsOvercommitted
	// LeavingUpstreamGranted is a grant of a slot at an upstream that is leaving
	// or that the dispatcher no longer owns.
	LeavingUpstreamGranted
	// StaleGrantSent is a request started on a grant that is too old to use.
	StaleGrantSent
	// UnrepeatableSentTwice is a request retried although it is not repeatable
	// and may already have been sent.
	UnrepeatableSentTwice
	// FairnessGap is a customer whose virtual time differs by too much from the
	// system virtual time.
	FairnessGap
	// DecisionTwice is a request that was started or refused a second time while
	// an earlier decision on it was still in force.
	DecisionTwice
)

var _names = map[Kind]string{
	ConfigurationReverts:   "configuration-reverts",
	SlotsOvercommitted:     "slots-overcommitted",
	LeavingUpstreamGranted: "leaving-upstream-granted",
	StaleGrantSent:         "stale-grant-sent",
	UnrepeatableSentTwice:  "unrepeatable-sent-twice",
	FairnessGap:            "fairness-gap",
	DecisionTwice:          "decision-twice",
}

// String returns the kebab-case name.
func (k Kind) String() string {
	if name, ok := _names[k]; ok {
		return name
	}
	return "unnamed"
}

// Violation is one invariant violation.
type Violation struct {
	kind   Kind
	detail string
}

// Kind returns the violated invariant.
func (v Violation) Kind() Kind {
	return v.kind
}

// Detail returns the subject of the failed check and, in parentheses, its
// context.
func (v Violation) Detail() string {
	return v.detail
}

// String returns the name of the kind and the detail.
func (v Violation) String() string {
	return v.kind.String() + ": " + v.detail
}

// Monitor counts and reports the violations found in one process. The zero
// Monitor only counts them.
type Monitor struct {
	// Report is called for each violation; when nil, violations are only
	// counted.
	Report func(Violation)
	counts map[Kind]uint64
}

// Check counts and reports a violation of the invariant if ok is false. A check
// that passes costs almost nothing, since the detail text is only formatted for
// a violation.
func (m *Monitor) Check(ok bool, kind Kind, subject, context string) {
	if ok {
		return
	}
	if m.counts == nil {
		m.counts = make(map[Kind]uint64)
	}
	m.counts[kind]++
	if m.Report != nil {
		m.Report(Violation{
			kind:   kind,
			detail: fmt.Sprintf("%s (%s)", subject, context),
		})
	}
}

// Counts returns the number of violations of each invariant, by its name.
// Invariants without violations are included.
func (m *Monitor) Counts() map[string]uint64 {
	counts := make(map[string]uint64, len(_names))
	for kind, name := range _names {
		counts[name] = m.counts[kind]
	}
	return counts
}
