package qlforward

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlpause"
	"go.uber.org/zap"
)

var errPaused = errors.New("the upstream wants no requests")

// recordPause records what an answer says about further requests to its upstream.
func (f *Forwarder) recordPause(x *exchange, answer Answer) {
	upstream := qlpause.Upstream{
		ID:          x.upstream,
		StartMillis: x.upstreamStart,
	}
	now := f.config.Clock()
	if answer.Leaving && f.pauses.MarkLeaving(now, upstream) {
		f.metrics.pauses.Add("leaving", 1)
		f.config.Log.Info("upstream-leaving", zap.String("request", x.caller.ID), zap.String("upstream", x.upstream))
	}
	if answer.Pause > 0 && f.pauses.Pause(now, upstream, answer.Pause) {
		f.metrics.pauses.Add("paused", 1)
		f.config.Log.Info("upstream-paused", zap.String("request", x.caller.ID), zap.String("upstream", x.upstream),
			zap.Duration("pause", min(answer.Pause, qlpause.MaxPause)), zap.Duration("stated", answer.Pause))
	}
}

// isPaused reports whether an upstream gets no requests at present.
func (f *Forwarder) isPaused(entry qlcatalog.Entry) bool {
	return f.pauses.IsPaused(f.config.Clock(), upstreamOf(entry))
}

func upstreamOf(entry qlcatalog.Entry) qlpause.Upstream {
	return qlpause.Upstream{
		ID:          entry.ID,
		StartMillis: entry.StartMillis,
	}
}

// withPaused returns the upstreams of the request's service that it is not sent to: those
// that were tried, and those that are paused.
func (f *Forwarder) withPaused(x *exchange) []string {
	if f.pauses.IsEmpty() {
		return x.excluded
	}
	excluded := x.excluded[:len(x.excluded):len(x.excluded)]
	for _, entry := range x.view.readyByService[x.service.Name()] {
		if f.isPaused(entry) {
			excluded = append(excluded, entry.ID)
		}
	}
	return excluded
}

// shortestPause returns the time until the first upstream of the request's service takes
// requests again, randomized so that callers do not all return together. all is false if
// one takes requests now, or if all are leaving.
func (f *Forwarder) shortestPause(x *exchange) (pause time.Duration, all bool) {
	if f.pauses.IsEmpty() {
		return 0, false
	}
	now := f.config.Clock()
	for _, entry := range x.view.readyByService[x.service.Name()] {
		left, leaving := f.pauses.Left(now, upstreamOf(entry))
		switch {
		case left == 0:
			return 0, false
		case leaving:
		case pause == 0 || left < pause:
			pause = left
		}
	}
	return pause + time.Duration(rand.Float64()*_pauseJitter*float64(pause)), pause > 0
}

// _pauseJitter is the part of a pause by which callers are spread after it.
const _pauseJitter = 0.25

// Pauses returns the upstreams that get no requests at present, for state dumps.
func (f *Forwarder) Pauses() []qlpause.State {
	return f.pauses.State(f.config.Clock())
}
