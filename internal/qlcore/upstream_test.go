package qlcore_test

import (
	"fmt"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlcore"
	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

type upstream struct {
	id      string
	zone    string
	slots   int
	leaving bool
	// gone is set for an upstream that refuses connections and reports no load.
	gone        bool
	running     int
	peakRunning int
	// runningHistory holds the running count at each load report, so that
	// reports can be delayed.
	runningHistory []int
	lastSentAt     time.Duration
	// slowdown multiplies the duration of requests.
	slowdown float64
}

type request struct {
	id              uint64
	router          string
	customer        string
	name            string
	cost            float64
	costHint        float64
	key             string
	sentAt          []time.Duration
	onUpstream      bool
	upstreamStartAt time.Duration
	duration        time.Duration
	code            qlcode.Code
	ended           bool
	// submittedAt is when the caller sent the request, and firstSentAt when a
	// router first sent it to an upstream.
	submittedAt time.Duration
	firstSentAt time.Duration
	// acceptedAt is when the router's core accepted it, after any pause.
	acceptedAt time.Duration
	onEnd      func(*request)
}

func (f *fleet) upstream(id string) *upstream {
	for _, u := range f.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

func (f *fleet) reportLoads() {
	for _, u := range f.upstreams {
		if u.gone {
			continue
		}
		u.runningHistory = append(u.runningHistory, u.running)
		lag := int(f.config.loadReportLag / _loadPeriod)
		reported := u.runningHistory[max(0, len(u.runningHistory)-1-lag)]
		for _, n := range f.nodes {
			f.reportLoad(n, u.id, reported)
		}
	}
	f.scheduleAfter(_loadPeriod, f.reportLoads)
}

func (f *fleet) reportLoad(n *node, id string, running int) {
	f.runOn(n, n.epoch, func() {
		for _, owned := range n.core.OwnedUpstreams() {
			if owned == id {
				n.core.ApplyLoad(n.clock(f.now), id, running)
			}
		}
	})
}

// submit submits a caller's request to a router.
func (f *fleet) submit(n *node, r *request) {
	f.nextID++
	r.id = f.nextID
	r.router = n.id
	r.submittedAt = f.now
	r.name = fmt.Sprintf("q%d", r.id)
	f.requests[r.id] = r
	if !n.alive {
		f.end(r, qlcode.UpstreamCut)
		return
	}
	f.runOn(n, n.epoch, func() {
		r.acceptedAt = f.now
		n.core.Submit(n.clock(f.now), qlcore.Request{
			ID:         r.id,
			Customer:   r.customer,
			Pool:       _poolName,
			ExternalID: r.name,
			CostHint:   r.costHint,
			Key:        r.key,
			BodyHash:   []byte("body"),
			Repeatable: false,
		})
	})
}

func (f *fleet) refuse(id uint64, refusal qlcore.Refusal) {
	r := f.requests[id]
	if r == nil || r.ended {
		return
	}
	if len(r.sentAt) > 0 && refusal.Code().Run() == qlcode.RunNo {
		f.violations = append(f.violations, fmt.Sprintf("%v %s: refused as not run with %v after it was sent", f.now, r.name, refusal.Code()))
	}
	f.end(r, refusal.Code())
}

func (f *fleet) end(r *request, code qlcode.Code) {
	r.ended = true
	r.code = code
	delete(f.requests, r.id)
	if code == qlcode.Answered {
		f.answered++
	}
	f.endCounts[code]++
	if r.onEnd != nil && !f.stopped {
		r.onEnd(r)
	}
}

// startRequest simulates the goroutine that sends a request: it checks that the
// assignment and the claim are still valid, and then sends.
func (f *fleet) startRequest(n *node, epoch uint64, id uint64, a qlentry.Assignment) {
	validUntil, claimed := n.core.ClaimValidUntil(id)
	// The goroutine runs a little later; the process may be paused in between.
	f.scheduleAfter(50*time.Microsecond, func() {
		f.runOn(n, epoch, func() {
			r := f.requests[id]
			now := n.clock(f.now)
			if r == nil {
				return
			}
			if now > a.SendBy() || (claimed && now >= validUntil) {
				n.core.Retry(now, id, qldispatch.Declined)
				return
			}
			u := f.upstream(a.Upstream())
			if u.gone {
				n.core.Retry(now, id, qldispatch.Unreached)
				return
			}
			f.transmit(n, epoch, r, u)
		})
	})
}

func (f *fleet) transmit(n *node, epoch uint64, r *request, u *upstream) {
	r.sentAt = append(r.sentAt, f.now)
	f.maxSendGap[r.customer] = max(f.maxSendGap[r.customer], f.now-f.lastSendAt[r.customer])
	f.lastSendAt[r.customer] = f.now
	if len(r.sentAt) == 1 {
		r.firstSentAt = f.now
		f.maxWait[r.customer] = max(f.maxWait[r.customer], f.now-r.submittedAt)
	}
	u.lastSentAt = f.now
	d := f.delay(n.zone, u.zone)
	f.scheduleAfter(d, func() {
		u.running++
		u.peakRunning = max(u.peakRunning, u.running)
		r.onUpstream = true
		r.upstreamStartAt = f.now
		r.duration = time.Duration(r.cost * u.slowdown * float64(f.config.timePerCost))
		if r.key != "" {
			f.executions[r.key] = append(f.executions[r.key], r.acceptedAt)
		}
		f.scheduleAfter(r.duration, func() {
			u.running--
			r.onUpstream = false
			f.servedCost[r.customer] += r.cost
			f.scheduleAfter(d, func() { f.finish(n, epoch, r) })
		})
	})
}

func (f *fleet) finish(n *node, epoch uint64, r *request) {
	f.runOn(n, epoch, func() {
		n.core.Finish(n.clock(f.now), r.id, r.cost, qldispatch.Answered)
		if !r.ended {
			f.end(r, qlcode.Answered)
		}
	})
}

// served returns the cost served so far to each customer, including the
// completed fraction of active requests.
func (f *fleet) served() map[string]float64 {
	served := make(map[string]float64, len(f.servedCost))
	for customer, cost := range f.servedCost {
		served[customer] = cost
	}
	for _, r := range f.requests {
		if r.onUpstream && r.duration > 0 {
			served[r.customer] += r.cost * float64(f.now-r.upstreamStartAt) / float64(r.duration)
		}
	}
	return served
}
