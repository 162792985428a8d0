// Package qlposition says up to where a store's changes are known.
//
// A store numbers its changes by revisions. If it is restored from an older copy, its
// revision goes back, and the same numbers are given to other changes. Each restoration
// begins a new era. A revision is therefore comparable only together with its era: any
// position of a later era is after all positions of the earlier ones.
//
// # Usage
//
//	known := qlposition.Position{Era: 3, Revision: 812}
//	if known.Before(received) {} // the receiver lacks changes
package qlposition

import (
	"cmp"
	"fmt"

	"go.uber.org/zap/zapcore"
)

// Position is a place in the sequence of a store's changes. The zero value is before all
// changes.
type Position struct {
	// Era counts the store's restorations; 0 for a store that doesn't state it.
	Era      uint64
	Revision uint64
}

// Compare returns -1 if p is before the other position, 1 if it is after it, and else 0.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p is before the other position.
func (p Position) Before(other Position) bool {
	return p.Compare(other) < 0
}

// After reports whether p is after the other position.
func (p Position) After(other Position) bool {
	return p.Compare(other) > 0
}

// Max returns the later one of the positions.
func (p Position) Max(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}

// String returns the position as era and revision, such as "3/812".
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Era, p.Revision)
}

// MarshalLogObject implements zapcore.ObjectMarshaler, so that log lines hold a position as
// the two fields era and revision.
func (p Position) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddUint64("era", p.Era)
	encoder.AddUint64("revision", p.Revision)
	return nil
}
