package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlexplain"
	"github.com/quetzallane/quetzallane/platform/qlsim"
)

const (
	_zoneCount = 3
	// _eventsPerStream is the number of events in a stream that an upstream sends.
	_eventsPerStream  = 8
	_slotsPerUpstream = 16
	// _processingTime is how long an upstream works on a plain request, or up to
	// the first event of a stream.
	_processingTime = 8 * time.Millisecond
	// _startupTimeout bounds the time until all routers are ready.
	_startupTimeout = 15 * time.Second
	// _recoveryDelay is the time after the last fault by which requests must be
	// served again. Then _recoveryCalls requests are sent, of which at least
	// _minServedFraction must be served.
	_recoveryDelay     = 5 * time.Second
	_recoveryCalls     = 200
	_minServedFraction = 0.95
	// _settleDelay leaves time for requests still under way to be recorded.
	_settleDelay = 500 * time.Millisecond
)

// options holds the command's flags.
type options struct {
	// program is the path of the router's program.
	program string
	// routers and callers are how many of each the run has.
	routers int
	callers int
	// injectionTime is how long faults are injected.
	injectionTime time.Duration
	// logDirectory is where logs are kept, or "" to keep only those of failed
	// seeds, in a temporary directory.
	logDirectory string
}

// soakRun is the run of one seed.
type soakRun struct {
	// block is the block of loopback addresses of the routers.
	block   int
	options options
	seed    uint64
	random  *rand.Rand
	// dir holds the routers' settings and logs.
	dir          string
	store        *qlsim.Store
	storeAddress string
	ledger       *ledger
	routers      []*router

	mu        sync.Mutex
	upstreams []*upstream
	// upstreamCount counts all upstreams started, for their ids.
	upstreamCount        int
	configurationVersion uint64
}

// upstream is a stand-in upstream and the proxy through which routers reach it.
type upstream struct {
	*qlsim.Upstream
	id      string
	service string
	proxy   *proxy
}

// report is the result of a seed's run.
type report struct {
	seed        uint64
	plannedOnly bool
	outcomes    map[string]int
	violations  []violation
	// timelines are what the routers logged about the first attempts that
	// violations concern.
	timelines    []string
	logDirectory string
	// schedule lists the faults injected.
	schedule []string
}

func (r *report) failed() bool {
	return len(r.violations) > 0
}

// String formats the report as text. Violations are followed by the schedule of
// faults and the timelines of the first attempts concerned.
func (r *report) String() string {
	names := make([]string, 0, len(r.outcomes))
	for name := range r.outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	text := fmt.Sprintf("seed %d, planned work only %v:", r.seed, r.plannedOnly)
	for _, name := range names {
		text += fmt.Sprintf(" %s %d,", name, r.outcomes[name])
	}
	text += fmt.Sprintf(" %d violations\n", len(r.violations))
	for i, v := range r.violations {
		if i == _maxShownViolations {
			text += fmt.Sprintf("  and %d more\n", len(r.violations)-_maxShownViolations)
			break
		}
		text += fmt.Sprintf("  %s: %s: %s\n", v.rule, v.attempt, v.text)
	}
	if r.failed() {
		text += "  schedule:\n    " + strings.Join(r.schedule, "\n    ") + "\n"
		text += strings.Join(r.timelines, "") + "  logs in " + r.logDirectory + "\n"
	}
	return text
}

// A report shows at most _maxShownViolations violations, and the timelines of
// the attempts of at most _maxTimelines.
const (
	_maxShownViolations = 12
	_maxTimelines       = 3
)

// soak runs one seed. It removes the routers' logs if there were no violations and
// no log directory is set.
func soak(ctx context.Context, options options, seed uint64) (*report, error) {
	dir, err := os.MkdirTemp(options.logDirectory, fmt.Sprintf("qlsoak-%d-", seed))
	if err != nil {
		return nil, errors.Trace(err)
	}
	plannedOnly := seed%3 == 0
	r := &soakRun{
		options: options,
		seed:    seed,
		random:  rand.New(rand.NewPCG(seed, seed)),
		dir:     dir,
		store:   qlsim.NewStore(),
		ledger:  newLedger(plannedOnly),
	}
	var claim net.Listener
	if r.block, claim, err = claimBlock(); err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = claim.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	schedule, err := r.execute(ctx, plannedOnly)
	cancel()
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.waitForExit()
	result := &report{
		seed:         seed,
		plannedOnly:  plannedOnly,
		outcomes:     r.ledger.outcomes,
		violations:   r.ledger.finish(),
		logDirectory: dir,
		schedule:     schedule,
	}
	for _, v := range result.violations {
		if v.attempt != "" && len(result.timelines) < _maxTimelines {
			result.timelines = append(result.timelines, r.timeline(v.attempt))
		}
	}
	if !result.failed() && options.logDirectory == "" {
		return result, errors.Trace(os.RemoveAll(dir))
	}
	return result, nil
}

// waitForExit waits up to 1 s for each router's process, which was killed when the
// context ended, and closes proxies, logs and upstreams.
func (r *soakRun) waitForExit() {
	for _, router := range r.routers {
		for range 100 {
			router.mu.Lock()
			ended := router.process == nil || router.process.ProcessState != nil
			router.mu.Unlock()
			if ended {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		router.storeProxy.close()
		_ = router.log.Close()
	}
	for _, u := range r.upstreams {
		u.proxy.close()
		_ = u.Crash()
	}
}

// timeline returns what the routers logged about an attempt.
func (r *soakRun) timeline(attempt string) string {
	paths, err := filepath.Glob(filepath.Join(r.dir, "*.log"))
	if err != nil {
		return err.Error()
	}
	timeline := qlexplain.New(attempt)
	for _, path := range paths {
		if err := timeline.ReadFile(path); err != nil {
			return fmt.Sprintf("  timeline of %s: %v\n", attempt, err)
		}
	}
	var text strings.Builder
	if err := timeline.Write(&text); err != nil {
		return fmt.Sprintf("  timeline of %s: %v\n", attempt, err)
	}
	return "  timeline of " + attempt + ":\n" + text.String()
}

// routerIP returns the loopback address of router i.
func (r *soakRun) routerIP(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", _firstBlock+r.block, 1+i/250, 1+i%250)
}

const (
	// _firstBlock is the second number of the first block of loopback addresses, and
	// _blockCount the number of blocks.
	_firstBlock = 10
	_blockCount = 200
)

// claimBlock returns a block of loopback addresses that no other soak uses until the
// listener is closed.
func claimBlock() (block int, claim net.Listener, err error) {
	for i := range _blockCount {
		block = (os.Getpid() + i) % _blockCount
		claim, err = net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:%d", _firstBlock+block, _callerPort))
		if err == nil {
			return block, claim, nil
		}
	}
	return 0, nil, errors.Annotate(err, "no free block of loopback addresses")
}

// execute starts the store, upstreams, routers and callers, injects faults, checks
// recovery and returns the schedule of faults.
func (r *soakRun) execute(ctx context.Context, plannedOnly bool) ([]string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.storeAddress = listener.Addr().String()
	server := &http.Server{
		Handler:           r.store,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	if err := r.setUp(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := r.startRouters(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	callers, stopCallers := context.WithCancel(ctx)
	var callersDone sync.WaitGroup
	for i := range r.options.callers {
		c := r.newCaller(i)
		callersDone.Go(func() { c.loop(callers) })
	}
	if !plannedOnly {
		c := r.newCaller(_crashingCaller)
		c.crashesEngines = true
		callersDone.Go(func() { c.loop(callers) })
	}
	schedule := r.injectFaults(ctx, plannedOnly)
	time.Sleep(_recoveryDelay)
	stopCallers()
	callersDone.Wait()
	r.checkRecovery()
	r.checkCrashes()
	time.Sleep(_settleDelay)
	return schedule, nil
}

func (r *soakRun) newCaller(i int) *caller {
	return &caller{
		run:      r,
		name:     fmt.Sprintf("s%d-c%d", r.seed, i),
		customer: _customers[i%len(_customers)],
		random:   rand.New(rand.NewPCG(r.seed, uint64(i)+1)),
	}
}

// checkRecovery sends requests after all faults have ended and records a violation
// if too few are served.
func (r *soakRun) checkRecovery() {
	c := r.newCaller(r.options.callers)
	defer c.disconnect()
	served := 0
	for range _recoveryCalls {
		if c.conn == nil && !c.connect() {
			continue
		}
		if a := c.call(_requestKinds[c.random.IntN(len(_requestKinds))]); a.status == http.StatusOK && a.complete {
			served++
		}
	}
	if float64(served) < _minServedFraction*_recoveryCalls {
		r.ledger.addViolation("recover", "", fmt.Sprintf("%d of %d requests served %v after the last fault", served, _recoveryCalls, _recoveryDelay))
	}
}

const (
	// _crashingCaller is the number of the caller whose prompts crash engines.
	_crashingCaller = 1000
	// Requests with the part are sent for _crashCheckTime, one each _crashCallInterval. At
	// most _maxLateCrashCalls of them may reach engines later than _undisturbedPeriod after
	// the one with the number _crashesAllowed.
	_crashCheckTime    = 5 * time.Second
	_crashCallInterval = 50 * time.Millisecond
	_crashesAllowed    = 5
	_maxLateCrashCalls = 3
)

// checkCrashes sends requests with the part that crashes engines, and records a violation
// if too many of them reach engines.
func (r *soakRun) checkCrashes() {
	c := r.newCaller(_crashingCaller + 1)
	c.crashesEngines = true
	defer c.disconnect()
	var arrivals []time.Time
	for end := time.Now().Add(_crashCheckTime); time.Now().Before(end); time.Sleep(_crashCallInterval) {
		if c.conn == nil && !c.connect() {
			continue
		}
		a := c.call(_streamKinds[c.random.IntN(len(_streamKinds))])
		for range r.ledger.executionCount(a.id) {
			arrivals = append(arrivals, a.sentAt)
		}
	}
	late := 0
	for _, at := range arrivals {
		if len(arrivals) >= _crashesAllowed && at.Sub(arrivals[_crashesAllowed-1]) > _undisturbedPeriod {
			late++
		}
	}
	if late > _maxLateCrashCalls {
		r.ledger.addViolation("quarantine", "", fmt.Sprintf("%d requests with a part that crashes engines reached one, %d of them later than %v after the fifth, want %d at most", len(arrivals), late, _undisturbedPeriod, _maxLateCrashCalls))
	}
}

// startRouters starts all routers, with the first two as seeds, and waits until all
// are ready.
func (r *soakRun) startRouters(ctx context.Context) error {
	seeds := fmt.Sprintf("%q, %q", net.JoinHostPort(r.routerIP(0), "1"), net.JoinHostPort(r.routerIP(1), "1"))
	for i := range r.options.routers {
		router, err := newRouter(r, i, seeds)
		if err != nil {
			return errors.Trace(err)
		}
		r.routers = append(r.routers, router)
		go router.keepRunning(ctx)
		go router.pollReady(ctx)
	}
	for deadline := time.Now().Add(_startupTimeout); ; time.Sleep(_readyPollInterval) {
		ready := 0
		for _, router := range r.routers {
			if router.ready.Load() {
				ready++
			}
		}
		if ready == len(r.routers) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%d of %d routers ready after %v; logs in %s", ready, len(r.routers), _startupTimeout, r.dir)
		}
	}
}
