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
	// _meanFaultInterval is the mean time between the starts of faults. They last
	// up to _maxFaultDuration and can overlap.
	_meanFaultInterval = 350 * time.Millisecond
	_maxFaultDuration  = 2500 * time.Millisecond
	// _disturbanceInterval is the interval at which a lasting fault is recorded as
	// a disturbance.
	_disturbanceInterval = 50 * time.Millisecond
)

// fault is a kind of fault, or of planned work if planned is set. begin starts
// it. The function that begin returns ends it; it is nil for a fault that has no
// duration.
type fault struct {
	name    string
	planned bool
	begin   func(r *soakRun, random *rand.Rand) (end func(), err error)
}

// _faults holds all kinds of faults and planned work.
var _faults = []fault{
	{name: "stop", planned: true, begin: func(r *soakRun, random *rand.Rand) (func(), error) {
		r.pickRouter(random).signal(syscall.SIGTERM)
		return nil, nil
	}},
	{name: "reload", planned: true, begin: func(r *soakRun, random *rand.Rand) (func(), error) {
		r.pickRouter(random).signal(syscall.SIGHUP)
		return nil, nil
	}},
	{name: "configure", planned: true, begin: func(r *soakRun, _ *rand.Rand) (func(), error) {
		return nil, r.publishConfiguration()
	}},
	{name: "replace-upstream", planned: true, begin: func(r *soakRun, random *rand.Rand) (func(), error) {
		return nil, r.replaceUpstream(r.pickUpstream(random))
	}},
	{name: "kill", begin: func(r *soakRun, random *rand.Rand) (func(), error) {
		r.pickRouter(random).signal(syscall.SIGKILL)
		return nil, nil
	}},
	{name: "kill-all", begin: func(r *soakRun, _ *rand.Rand) (func(), error) {
		for _, router := range r.routers {
			router.signal(syscall.SIGKILL)
		}
		return nil, nil
	}},
	{name: "pause", begin: func(r *soakRun, random *rand.Rand) (func(), error) {
		router := r.pickRouter(random)
		router.signal(syscall.SIGSTOP)
		return func() { router.signal(syscall.SIGCONT) }, nil
	}},
	{name: "store-fails", begin: func(r *soakRun, random *rand.Rand) (func(), error) {
		r.store.SetFault(qlsim.StoreFault(1 + random.IntN(3)))
		return func() { r.store.SetFault(qlsim.StoreHealthy) }, nil
	}},
	{name: "store-forgets", begin: func(r *soakRun, _ *rand.Rand) (func(), error) {
		r.store.Compact()
		return nil, nil
	}},
	{name: "store-path", begin: func(r *soakRun, random *rand.Rand) (func(), error) {
		router := r.pickRouter(random)
		router.storeProxy.setState(linkState(1 + random.IntN(4)))
		return func() { router.storeProxy.setState(linkOpen) }, nil
	}},
	{name: "upstream-fails", begin: func(r *soakRun, random *rand.Rand) (func(), error) {
		u := r.pickUpstream(random)
		u.SetFault(qlsim.UpstreamFault(1 + random.IntN(5)))
		return func() { u.SetFault(qlsim.UpstreamHealthy) }, nil
	}},
	{name: "upstream-path", begin: func(r *soakRun, random *rand.Rand) (func(), error) {
		u := r.pickUpstream(random)
		u.proxy.setState(linkState(1 + random.IntN(4)))
		return func() { u.proxy.setState(linkOpen) }, nil
	}},
	{name: "upstream-crashes", begin: func(r *soakRun, random *rand.Rand) (func(), error) {
		return nil, r.crashUpstream(r.pickUpstream(random))
	}},
}

func (r *soakRun) pickRouter(random *rand.Rand) *router {
	return r.routers[random.IntN(len(r.routers))]
}

func (r *soakRun) pickUpstream(random *rand.Rand) *upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upstreams[random.IntN(len(r.upstreams))]
}

// injectFaults injects random faults for options.injectionTime, waits until all
// have ended, and returns the schedule, one fault a line. With plannedOnly, faults
// that are not planned work are drawn and skipped.
func (r *soakRun) injectFaults(ctx context.Context, plannedOnly bool) []string {
	var schedule []string
	var unfinished sync.WaitGroup
	start := time.Now()
	for ctx.Err() == nil && time.Since(start) < r.options.injectionTime {
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(_meanFaultInterval)))
		f := _faults[r.random.IntN(len(_faults))]
		duration := time.Duration(r.random.Int64N(int64(_maxFaultDuration)))
		if plannedOnly && !f.planned {
			continue
		}
		schedule = append(schedule, fmt.Sprintf("%6.3f s %s for up to %v", time.Since(start).Seconds(), f.name, duration.Round(time.Millisecond)))
		if !f.planned {
			r.ledger.recordDisturbance()
		}
		end, err := f.begin(r, r.random)
		if err != nil {
			schedule = append(schedule, fmt.Sprintf("%s: %v", f.name, err))
		}
		if end == nil {
			continue
		}
		unfinished.Go(func() {
			for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(_disturbanceInterval) {
				r.ledger.recordDisturbance()
			}
			end()
			r.ledger.recordDisturbance()
		})
	}
	unfinished.Wait()
	return schedule
}
