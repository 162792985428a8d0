// Package qlwire holds the messages between routers, generated from
// qlwire.proto, and the conversions of their numbers.
//
// # Usage
//
//	level.VirtualTime = qlwire.FromVirtual(account.VirtualTime())
//	account.SetTotal(qlwire.ToVirtual(total.GetVirtualTime()), ...)
package qlwire

import (
	"math"
	"time"
)

// _virtualScale is the number of wire units in one unit of virtual time.
const _virtualScale = 1000

// FromVirtual returns a virtual time as it goes over the wire.
func FromVirtual(virtualTime float64) int64 {
	return int64(math.Round(virtualTime * _virtualScale))
}

// ToVirtual returns a virtual time from the wire.
func ToVirtual(wire int64) float64 {
	return float64(wire) / _virtualScale
}

// FromClock returns a clock reading or a span as it goes over the wire: whole
// milliseconds, rounded down.
func FromClock(clock time.Duration) int64 {
	return clock.Milliseconds()
}

// ToClock returns a clock reading or a span from the wire.
func ToClock(wire int64) time.Duration {
	return time.Duration(wire) * time.Millisecond
}

// WholeCost returns a cost in whole units, at least 0, as it goes over the
// wire and into counters.
func WholeCost(cost float64) uint64 {
	if !(cost > 0) {
		return 0
	}
	return uint64(math.Round(min(cost, math.MaxUint32)))
}
