package qlsetting

import "time"

// Defaults of the limits on callers. Callers that behave stay far from them.
const (
	// _headMemoryFraction leaves room for a hundred times the heads of usual requests.
	_headMemoryFraction = 0.125
	// _shortLineRate is in bytes per second and core.
	_shortLineRate = 8 << 20
	_bodyIdle      = 10 * time.Second
	// _minBodyRate is in bytes per second, below that of slow mobile networks.
	_minBodyRate = 4 << 10
	_readerIdle  = 10 * time.Second
)

// HeadMemoryPart returns the fraction of the memory for heads of requests.
func (s *Edge) HeadMemoryPart() float64 {
	return orDefault(s.HeadMemoryFraction, _headMemoryFraction)
}

// ShortLineBytes returns how many bytes of very short lines a core reads a second.
func (s *Edge) ShortLineBytes() float64 {
	return orDefault(s.ShortLineRate, _shortLineRate)
}

// BodyIdleTimeout returns how long nothing may come of a body.
func (s *Edge) BodyIdleTimeout() time.Duration {
	return orDefault(s.BodyIdle.Std(), _bodyIdle)
}

// BodyRate returns how many bytes of a body have to come each second.
func (s *Edge) BodyRate() float64 {
	return orDefault(s.MinBodyRate, _minBodyRate)
}

// ReaderTimeout returns how long a caller may read nothing of its answer.
func (s *Edge) ReaderTimeout() time.Duration {
	return orDefault(s.ReaderIdle.Std(), _readerIdle)
}

func orDefault[T float64 | time.Duration](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return value
}

// checkLimits returns the name of the first invalid limit and the remedy, or "".
func (s *Edge) checkLimits() (name, reason string) {
	switch {
	case s.HeadMemoryFraction < 0 || s.HeadMemoryFraction > 1:
		return "head-memory-part", "write more than 0, and 1 at most"
	case s.ShortLineRate < 0:
		return "short-line-rate", "write more than 0"
	case s.BodyIdle < 0:
		return "body-idle", "write more than 0s"
	case s.MinBodyRate < 0:
		return "min-body-rate", "write more than 0"
	case s.ReaderIdle < 0:
		return "reader-idle", "write more than 0s"
	}
	return "", ""
}
