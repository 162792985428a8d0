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
	// gone upstreams refuse connections and report no load.
	gone    bool
	running int
	peak    int
	// history holds the running count over time, for lagged reports.
	history []int
	lastRun time.Duration
	// slowdown multiplies the time of requests.
	slowdown float64
}

type request struct {
	id       uint64
	router   string
	customer string
	name     string
	cost     float64
	hint     float64
	key      string
	sentAt   []time.Duration
	onUp     bool
	startUp  time.Duration
	duration time.Duration
	code     qlcode.Code
	ended    bool
	// submitted is when the caller sent it, granted when it first started.
	submitted time.Duration
	granted   time.Duration
	// taken is when the router's core took it, after any pause.
	taken time.Duration
	then  func(*request)
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
		u.history = append(u.history, u.running)
		lag := int(f.config.loadLag / _loadPeriod)
		reported := u.history[max(0, len(u.history)-1-lag)]
		for _, n := range f.nodes {
			f.reportLoad(n, u.id, reported)
		}
	}
	f.after(_loadPeriod, f.reportLoads)
}

func (f *fleet) reportLoad(n *node, id string, running int) {
	f.on(n, n.epoch, func() {
		for _, owned := range n.core.OwnedUpstreams() {
			if owned == id {
				n.core.ApplyLoad(n.clock(f.now), id, running)
			}
		}
	})
}

// submit sends a request to a router as a caller would.
func (f *fleet) submit(n *node, r *request) {
	f.nextID++
	r.id = f.nextID
	r.router = n.id
	r.submitted = f.now
	r.name = fmt.Sprintf("q%d", r.id)
	f.requests[r.id] = r
	if !n.alive {
		f.end(r, qlcode.UpstreamCut)
		return
	}
	f.on(n, n.epoch, func() {
		r.taken = f.now
		n.core.Submit(n.clock(f.now), qlcore.Request{
			ID:         r.id,
			Customer:   r.customer,
			Pool:       _pool,
			ExternalID: r.name,
			CostHint:   r.hint,
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
	f.refusedBy[code]++
	if r.then != nil && !f.stopped {
		r.then(r)
	}
}

// startRequest plays the traffic goroutine: it checks the time and sends.
func (f *fleet) startRequest(n *node, epoch uint64, id uint64, a qlentry.Assignment) {
	goodUntil, claimed := n.core.ClaimValidUntil(id)
	// The goroutine runs a moment later; a pause may come in between.
	f.after(50*time.Microsecond, func() {
		f.on(n, epoch, func() {
			r := f.requests[id]
			now := n.clock(f.now)
			if r == nil {
				return
			}
			if now > a.SendBy() || (claimed && now >= goodUntil) {
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
	f.maxPause[r.customer] = max(f.maxPause[r.customer], f.now-f.lastStart[r.customer])
	f.lastStart[r.customer] = f.now
	if len(r.sentAt) == 1 {
		r.granted = f.now
		f.maxWait[r.customer] = max(f.maxWait[r.customer], f.now-r.submitted)
	}
	u.lastRun = f.now
	d := f.delay(n.zone, u.zone)
	f.after(d, func() {
		u.running++
		u.peak = max(u.peak, u.running)
		r.onUp = true
		r.startUp = f.now
		r.duration = time.Duration(r.cost * u.slowdown * float64(f.config.costToTime))
		if r.key != "" {
			f.executions[r.key] = append(f.executions[r.key], r.taken)
		}
		f.after(r.duration, func() {
			u.running--
			r.onUp = false
			f.service[r.customer] += r.cost
			f.after(d, func() { f.finish(n, epoch, r) })
		})
	})
}

func (f *fleet) finish(n *node, epoch uint64, r *request) {
	f.on(n, epoch, func() {
		n.core.Finish(n.clock(f.now), r.id, r.cost, qldispatch.Answered)
		if !r.ended {
			f.end(r, qlcode.Answered)
		}
	})
}

// served returns a customer's service up to now, requests under way in part.
func (f *fleet) served() map[string]float64 {
	served := make(map[string]float64, len(f.service))
	for customer, cost := range f.service {
		served[customer] = cost
	}
	for _, r := range f.requests {
		if r.onUp && r.duration > 0 {
			served[r.customer] += r.cost * float64(f.now-r.startUp) / float64(r.duration)
		}
	}
	return served
}
