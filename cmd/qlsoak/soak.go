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
	_zones = 3
	// _events is how many events a stream has.
	_events = 8
	_slots  = 16
	_work   = 8 * time.Millisecond
	// _startup is how long a fleet may take until all are ready.
	_startup = 15 * time.Second
	// _recovery is how long after the last fault requests are served again, and
	// _recoveryCalls how many are sent then.
	_recovery      = 5 * time.Second
	_recoveryCalls = 200
	// _recovered is the part of them that must succeed.
	_recovered = 0.95
	_settle    = 500 * time.Millisecond
)

// plan says how to run.
type plan struct {
	program string
	routers int
	callers int
	length  time.Duration
	logs    string
}

// run is one seed's.
type run struct {
	plan         plan
	seed         uint64
	random       *rand.Rand
	dir          string
	store        *qlsim.Store
	storeAddress string
	ledger       *ledger
	routers      []*router

	mu        sync.Mutex
	upstreams []*upstream
	started   int
	version   uint64
}

// upstream is one stand-in and the proxy that routers reach it by.
type upstream struct {
	*qlsim.Upstream
	id      string
	service string
	proxy   *proxy
}

// report is what became of a run.
type report struct {
	seed       uint64
	planned    bool
	outcomes   map[string]int
	violations []violation
	stories    []string
	logs       string
	schedule   []string
}

func (r *report) failed() bool {
	return len(r.violations) > 0
}

// String writes the report for people.
func (r *report) String() string {
	names := make([]string, 0, len(r.outcomes))
	for name := range r.outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	text := fmt.Sprintf("seed %d, planned work only %v:", r.seed, r.planned)
	for _, name := range names {
		text += fmt.Sprintf(" %s %d,", name, r.outcomes[name])
	}
	text += fmt.Sprintf(" %d violations\n", len(r.violations))
	for i, v := range r.violations {
		if i == _shown {
			text += fmt.Sprintf("  and %d more\n", len(r.violations)-_shown)
			break
		}
		text += fmt.Sprintf("  %s: %s: %s\n", v.rule, v.attempt, v.text)
	}
	if r.failed() {
		text += "  schedule:\n    " + strings.Join(r.schedule, "\n    ") + "\n"
		text += strings.Join(r.stories, "") + "  logs in " + r.logs + "\n"
	}
	return text
}

// _shown is how many violations a report shows, and _stories how many with
// their request's story.
const (
	_shown   = 12
	_stories = 3
)

// soak plays one seed.
func soak(ctx context.Context, plan plan, seed uint64) (*report, error) {
	dir, err := os.MkdirTemp(plan.logs, fmt.Sprintf("qlsoak-%d-", seed))
	if err != nil {
		return nil, errors.Trace(err)
	}
	planned := seed%3 == 0
	r := &run{
		plan:   plan,
		seed:   seed,
		random: rand.New(rand.NewPCG(seed, seed)),
		dir:    dir,
		store:  qlsim.NewStore(),
		ledger: newLedger(planned),
	}
	ctx, cancel := context.WithCancel(ctx)
	schedule, err := r.play(ctx, planned)
	cancel()
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.wait()
	result := &report{
		seed:       seed,
		planned:    planned,
		outcomes:   r.ledger.outcomes,
		violations: r.ledger.close(),
		logs:       dir,
		schedule:   schedule,
	}
	for _, v := range result.violations {
		if v.attempt != "" && len(result.stories) < _stories {
			result.stories = append(result.stories, r.story(v.attempt))
		}
	}
	if !result.failed() && plan.logs == "" {
		return result, errors.Trace(os.RemoveAll(dir))
	}
	return result, nil
}

// wait lets processes end; they were killed with the context.
func (r *run) wait() {
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
		router.store.close()
		_ = router.log.Close()
	}
	for _, u := range r.upstreams {
		u.proxy.close()
		_ = u.Crash()
	}
}

// story returns what the routers logged about a request.
func (r *run) story(attempt string) string {
	paths, err := filepath.Glob(filepath.Join(r.dir, "*.log"))
	if err != nil {
		return err.Error()
	}
	story := qlexplain.New(attempt)
	for _, path := range paths {
		if err := story.ReadFile(path); err != nil {
			return fmt.Sprintf("  story of %s: %v\n", attempt, err)
		}
	}
	var text strings.Builder
	if err := story.Write(&text); err != nil {
		return fmt.Sprintf("  story of %s: %v\n", attempt, err)
	}
	return "  story of " + attempt + ":\n" + text.String()
}

// ip is a router's own address on loopback.
func (r *run) ip(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+i/250, 1+i%250)
}

func (r *run) play(ctx context.Context, planned bool) ([]string, error) {
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
	if err := r.populate(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := r.startRouters(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	callers, stopCallers := context.WithCancel(ctx)
	var working sync.WaitGroup
	for i := range r.plan.callers {
		c := r.newCaller(i)
		working.Go(func() { c.loop(callers) })
	}
	schedule := r.disturb(ctx, planned)
	time.Sleep(_recovery)
	stopCallers()
	working.Wait()
	r.checkRecovery()
	time.Sleep(_settle)
	return schedule, nil
}

func (r *run) newCaller(i int) *caller {
	return &caller{
		run:      r,
		name:     fmt.Sprintf("s%d-c%d", r.seed, i),
		customer: _customers[i%len(_customers)],
		random:   rand.New(rand.NewPCG(r.seed, uint64(i)+1)),
	}
}

// checkRecovery sends requests when all faults are over.
func (r *run) checkRecovery() {
	c := r.newCaller(r.plan.callers)
	defer c.hangUp()
	served := 0
	for range _recoveryCalls {
		if c.conn == nil && !c.connect() {
			continue
		}
		if a := c.call(_callKinds[c.random.IntN(len(_callKinds))]); a.status == http.StatusOK && a.whole {
			served++
		}
	}
	if float64(served) < _recovered*_recoveryCalls {
		r.ledger.failNow("recover", "", fmt.Sprintf("%d of %d requests served %v after the last fault", served, _recoveryCalls, _recovery))
	}
}

func (r *run) startRouters(ctx context.Context) error {
	seeds := fmt.Sprintf("%q, %q", net.JoinHostPort(r.ip(0), "1"), net.JoinHostPort(r.ip(1), "1"))
	for i := range r.plan.routers {
		router, err := newRouter(r, i, seeds)
		if err != nil {
			return errors.Trace(err)
		}
		r.routers = append(r.routers, router)
		go router.run(ctx)
		go router.watch(ctx)
	}
	for end := time.Now().Add(_startup); ; time.Sleep(_readyPoll) {
		ready := 0
		for _, router := range r.routers {
			if router.ready.Load() {
				ready++
			}
		}
		if ready == len(r.routers) {
			return nil
		}
		if time.Now().After(end) {
			return errors.Errorf("%d of %d routers ready after %v; logs in %s", ready, len(r.routers), _startup, r.dir)
		}
	}
}
