// Package qlwire holds the messages between routers, generated from
// qlwire.proto, the conversions between their numbers and the core's, the
// checksum over demands and grants, and the compression of repeated names.
//
// # Usage
//
//	level.Level = qlwire.FromVirtual(account.VirtualTime())
//	account.SetTotal(qlwire.ToVirtual(total.GetVirtualTime()), included, servers)
package qlwire

import (
	"math"
	"time"
)

// _virtualScale is the number of wire units in one unit of virtual time. The
// wire has integers, which take fewer bytes than floating-point numbers.
const _virtualScale = 1000

// FromVirtual returns a virtual time in wire units.
func FromVirtual(virtualTime float64) int64 {
	return int64(math.Round(virtualTime * _virtualScale))
}

// ToVirtual returns the virtual time that a number of wire units stands for.
func ToVirtual(wire int64) float64 {
	return float64(wire) / _virtualScale
}

// FromClock returns a clock reading or a duration as it is sent: in whole
// milliseconds, rounded down.
func FromClock(clock time.Duration) int64 {
	return clock.Milliseconds()
}

// ToClock returns a received clock reading or duration.
func ToClock(wire int64) time.Duration {
	return time.Duration(wire) * time.Millisecond
}

// WholeCost returns a cost rounded to whole units and limited to the range from
// 0 to math.MaxUint32, as it is sent and added to counters.
func WholeCost(cost float64) uint64 {
	if !(cost > 0) {
		return 0
	}
	return uint64(math.Round(min(cost, math.MaxUint32)))
}
