package qladmission_test

import (
	"testing"
	"time"
)

const (
	// The small VM of package qledge's flood tests: 0.04 cores beside two idle routers.
	_smallCores = 0.04
	// _passRate is the rate of requests on new connections, in requests a second, that it can
	// accept and offload.
	_passRate = _smallCores * float64(time.Second) / float64(_acceptWork+2*_offloadWork)
	// _calmLoad times _passRate is sent without a flood.
	_calmLoad = 0.7
	// _lightRate is that of each customer below its share, and _lightConnections how many
	// connections each of those has open.
	_lightRate        = 20
	_lightConnections = 10
	_smallPatience    = time.Second
	_smallSettleTime  = 800 * time.Millisecond
	_smallMeasureTime = 10000 * time.Millisecond
	_endlessRate      = 1e9
)

// smallVMRun is a small VM with a customer far above its share and two below theirs.
type smallVMRun struct {
	clock *modelClock
	heavy *modelCaller
	light []*modelCaller
}

// newSmallVMRun returns a run whose heavy customer keeps its connections or opens new ones.
func newSmallVMRun(seed uint64, keptPart float64, acceptYields bool) *smallVMRun {
	clock := newModelClock(seed)
	fleet := newModelFleet(clock, [][]float64{{1, 0.9, _smallCores}}, _endlessRate)
	fleet.engines.time = 0
	fleet.streamTicks = 0
	fleet.acceptYields = acceptYields
	vm := fleet.routers[2]
	newCaller := func(customer string, rate, keptPart float64) *modelCaller {
		return &modelCaller{
			clock:       clock,
			fleet:       fleet,
			customer:    customer,
			preferred:   []*modelRouter{vm},
			rate:        rate,
			keptPart:    keptPart,
			minPatience: _smallPatience,
			maxPatience: _smallPatience,
			evenly:      true,
			maxReturns:  1,
		}
	}
	run := &smallVMRun{
		clock: clock,
		heavy: newCaller("heavy", _passRate, keptPart),
		light: []*modelCaller{newCaller("light", _lightRate, 1), newCaller("other", _lightRate, 1)},
	}
	for _, caller := range run.light {
		for range _lightConnections {
			caller.kept = append(caller.kept, vm)
		}
		caller.setLoad(1)
	}
	return run
}

// measure sends the load, checks customers below their share, in calm all of them, and
// returns how many of the heavy customer's requests begin, per second.
func (run *smallVMRun) measure(t *testing.T, load float64, settle time.Duration) float64 {
	t.Helper()
	run.heavy.setLoad(load)
	run.clock.runUntil(run.clock.now + settle)
	callers := append([]*modelCaller{run.heavy}, run.light...)
	for _, caller := range callers {
		caller.counts = &requestCounts{}
	}
	run.clock.runUntil(run.clock.now + _smallMeasureTime)
	counts := make([]*requestCounts, len(callers))
	for i, caller := range callers {
		counts[i], caller.counts = caller.counts, nil
	}
	run.clock.runUntil(run.clock.now + _smallPatience)
	for i, caller := range callers {
		t.Logf("x%v: %s: %v", load, caller.customer, counts[i])
		if caller == run.heavy && load > _calmLoad {
			continue
		}
		if got, want := float64(counts[i].ended[_begun]), _wantInAim*float64(counts[i].sent); got < want {
			t.Errorf("x%v: %s: got %.0f requests begun, want %.1f", load, caller.customer, got, want)
		}
	}
	return float64(counts[0].ended[_begun]) / _smallMeasureTime.Seconds()
}

func (run *smallVMRun) testCurve(t *testing.T) {
	t.Helper()
	want := run.measure(t, _calmLoad, _smallSettleTime)
	for _, load := range []float64{1.5, 3, 6, 12} {
		got := run.measure(t, load, _smallSettleTime)
		if got < _plateau*want {
			t.Errorf("x%v: got %.0f requests begun a second, want %v of the %.0f under less load", load, got, _plateau, want)
		}
		want = max(want, got)
	}
}

func TestModeledFloodOfConnectionsDoesNotPushOutWorkThatCanBeDone(t *testing.T) {
	t.Parallel()
	newSmallVMRun(1, 0, false).testCurve(t)
}

func TestModeledFloodOnKeptConnectionsDoesNotPushOutWorkThatCanBeDone(t *testing.T) {
	t.Parallel()
	newSmallVMRun(2, 1, true).testCurve(t)
}

// TestModeledFloodOnManyKeptConnectionsDoesNotPushOutWorkThatCanBeDone guards against a lag
// that grows with the connections that are accepted although the router lags.
func TestModeledFloodOnManyKeptConnectionsDoesNotPushOutWorkThatCanBeDone(t *testing.T) {
	t.Parallel()
	newSmallVMRun(2, 1, false).testCurve(t)
}

func TestModeledVMReturnsFromFlood(t *testing.T) {
	t.Parallel()
	run := newSmallVMRun(3, 0, false)
	run.measure(t, _calmLoad, _smallSettleTime)
	run.measure(t, 6, _smallSettleTime)
	run.measure(t, _calmLoad, _returnTime)
}
