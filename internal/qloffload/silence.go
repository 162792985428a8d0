package qloffload

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// _pingAfter is how long nothing comes on a link, while requests wait there, before the
	// other router is pinged, and _silentAfter how long its answer may take. A router that lags
	// that much takes no requests.
	_pingAfter   = 50 * time.Millisecond
	_silentAfter = 150 * time.Millisecond
	// _silentPause is for how long a router is not asked once it is found silent.
	_silentPause = 200 * time.Millisecond
	// _maxCheckGap is the longest time between checks that counts. After a longer one this
	// process has not run, and what has come may not be read yet.
	_maxCheckGap = 100 * time.Millisecond
)

// silenceDetector finds out whether the router at the other end of a link runs, while requests
// wait there. A process that is frozen or cut off does not break its links for seconds.
type silenceDetector struct {
	// heard counts the frames that have come, and answersPings is set if that router answers
	// pings: those of earlier versions do not. The link's reader sets both.
	heard        atomic.Uint64
	answersPings atomic.Bool

	checkedAt time.Duration
	// lastHeard is what heard was at the last check, and heardAt that of the last check which
	// found it changed.
	lastHeard uint64
	heardAt   time.Duration
	// waitingSince is since when requests wait; waiting is set if any does.
	waiting      bool
	waitingSince time.Duration
	// pingedAt is when a ping was sent that nothing has come after; pinged is set if there is
	// one.
	pinged   bool
	pingedAt time.Duration
}

// check reports whether to send a ping now, and whether the other router is silent.
func (d *silenceDetector) check(now time.Duration, waiting bool) (ping, silent bool) {
	if gap := now - d.checkedAt; gap > _maxCheckGap {
		d.pingedAt += gap
		d.waitingSince += gap
	}
	d.checkedAt = now
	if waiting && !d.waiting {
		d.waitingSince = now
	}
	d.waiting = waiting
	if heard := d.heard.Load(); heard != d.lastHeard {
		d.lastHeard, d.heardAt, d.pinged = heard, now, false
	}
	d.pinged = d.pinged && waiting
	switch {
	case !waiting || !d.answersPings.Load():
		return false, false
	case d.pinged:
		return false, now-d.pingedAt >= _silentAfter
	case now-max(d.heardAt, d.waitingSince) >= _pingAfter:
		d.pinged, d.pingedAt = true, now
		return true, false
	}
	return false, false
}

// CheckLinks pings the routers that owe answers and have sent nothing for a while. Those that
// do not answer are not asked while they are silent. It is called regularly, by one goroutine.
func (o *Offloader) CheckLinks() {
	now := o.config.Clock()
	for _, l := range o.openLinks() {
		waiting := l.activeCount()
		ping, silent := l.silence.check(now, waiting > 0)
		if ping {
			if err := l.queue.addControl(framePing, 0, nil); err != nil {
				o.config.Log.Debug("offload-link-not-pinged", zap.String("address", l.address), zap.Error(err))
			}
		}
		if silent {
			o.peers.Silent(now, l.address)
		}
		if silent != l.silent {
			l.silent = silent
			o.config.Log.Info("offload-link-silent", zap.String("address", l.address), zap.Bool("silent", silent), zap.Int("requests", waiting))
		}
	}
}

// openLinks returns the open links to all routers.
func (o *Offloader) openLinks() []*link {
	o.mu.Lock()
	defer o.mu.Unlock()
	links := make([]*link, 0, len(o.links))
	for _, peer := range o.links {
		links = append(links, peer.open...)
	}
	return links
}
