package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/quetzallane/quetzallane/platform/qlsim"
)

const (
	// _gap is the mean time between faults; they last up to _longest and
	// overlap.
	_gap     = 350 * time.Millisecond
	_longest = 2500 * time.Millisecond
	// _every is how often a fault that lasts counts as a disturbance.
	_every = 50 * time.Millisecond
)

// fault is one kind of fault. It begins when it is called, and ends when the
// function that it returns is.
type fault struct {
	name    string
	planned bool
	begin   func(r *run, random *rand.Rand) (end func(), err error)
}

// _faults are the kinds of faults, planned work among them.
var _faults = []fault{
	{name: "stop", planned: true, begin: func(r *run, random *rand.Rand) (func(), error) {
		r.pick(random).signal(syscall.SIGTERM)
		return nil, nil
	}},
	{name: "reload", planned: true, begin: func(r *run, random *rand.Rand) (func(), error) {
		r.pick(random).signal(syscall.SIGHUP)
		return nil, nil
	}},
	{name: "configure", planned: true, begin: func(r *run, _ *rand.Rand) (func(), error) {
		return nil, r.configure()
	}},
	{name: "replace-upstream", planned: true, begin: func(r *run, random *rand.Rand) (func(), error) {
		return nil, r.replace(r.pickUpstream(random))
	}},
	{name: "kill", begin: func(r *run, random *rand.Rand) (func(), error) {
		r.pick(random).signal(syscall.SIGKILL)
		return nil, nil
	}},
	{name: "kill-all", begin: func(r *run, _ *rand.Rand) (func(), error) {
		for _, router := range r.routers {
			router.signal(syscall.SIGKILL)
		}
		return nil, nil
	}},
	{name: "pause", begin: func(r *run, random *rand.Rand) (func(), error) {
		router := r.pick(random)
		router.signal(syscall.SIGSTOP)
		return func() { router.signal(syscall.SIGCONT) }, nil
	}},
	{name: "store-fails", begin: func(r *run, random *rand.Rand) (func(), error) {
		r.store.SetFault(qlsim.StoreFault(1 + random.IntN(3)))
		return func() { r.store.SetFault(qlsim.StoreHealthy) }, nil
	}},
	{name: "store-forgets", begin: func(r *run, _ *rand.Rand) (func(), error) {
		r.store.Compact()
		return nil, nil
	}},
	{name: "store-path", begin: func(r *run, random *rand.Rand) (func(), error) {
		router := r.pick(random)
		router.store.set(path(1 + random.IntN(4)))
		return func() { router.store.set(pathOpen) }, nil
	}},
	{name: "upstream-fails", begin: func(r *run, random *rand.Rand) (func(), error) {
		u := r.pickUpstream(random)
		u.SetFault(qlsim.UpstreamFault(1 + random.IntN(5)))
		return func() { u.SetFault(qlsim.UpstreamHealthy) }, nil
	}},
	{name: "upstream-path", begin: func(r *run, random *rand.Rand) (func(), error) {
		u := r.pickUpstream(random)
		u.proxy.set(path(1 + random.IntN(4)))
		return func() { u.proxy.set(pathOpen) }, nil
	}},
	{name: "upstream-crashes", begin: func(r *run, random *rand.Rand) (func(), error) {
		return nil, r.crash(r.pickUpstream(random))
	}},
}

func (r *run) pick(random *rand.Rand) *router {
	return r.routers[random.IntN(len(r.routers))]
}

func (r *run) pickUpstream(random *rand.Rand) *upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upstreams[random.IntN(len(r.upstreams))]
}

// disturb plays the seed's schedule and returns it.
func (r *run) disturb(ctx context.Context, planned bool) []string {
	var schedule []string
	var lasting sync.WaitGroup
	began := time.Now()
	for ctx.Err() == nil && time.Since(began) < r.plan.length {
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(_gap)))
		f := _faults[r.random.IntN(len(_faults))]
		lasts := time.Duration(r.random.Int64N(int64(_longest)))
		if planned && !f.planned {
			continue
		}
		schedule = append(schedule, fmt.Sprintf("%6.3f s %s for up to %v", time.Since(began).Seconds(), f.name, lasts.Round(time.Millisecond)))
		if !f.planned {
			r.ledger.disturb()
		}
		end, err := f.begin(r, r.random)
		if err != nil {
			schedule = append(schedule, fmt.Sprintf("%s: %v", f.name, err))
		}
		if end == nil {
			continue
		}
		lasting.Go(func() {
			for until := time.Now().Add(lasts); time.Now().Before(until); time.Sleep(_every) {
				r.ledger.disturb()
			}
			end()
			r.ledger.disturb()
		})
	}
	lasting.Wait()
	return schedule
}
