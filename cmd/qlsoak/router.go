package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	_callerPort = 8001
	_readyPort  = 8002
	_opsPort    = 8003
	_peerPort   = 8004
	// _grace is what a planned stop may take.
	_grace = 3 * time.Second
	// _restartDelay is how long a process that ended stays down.
	_restartDelay = 200 * time.Millisecond
	_readyPoll    = 100 * time.Millisecond
	_settingsText = `{
  "id": %q, "zone": "zone-%d",
  "caller-address": "%[3]s:%[4]d", "ready-address": "%[3]s:%[5]d",
  "operations-address": "%[3]s:%[6]d", "peer-address": "%[3]s:%[7]d",
  "seeds": [%[8]s], "store": %[9]q,
  "memory-mb": 128, "descriptors": 1024, "processors": 1, "processor-part": 1,
  "stop-deadline": %[10]q, "balancer-notice": "400ms",
  "retry-ratio": %[11]v, "retry-window": %[12]q, "retry-allowance": %[13]v,
  "placement": "owner", "log-level": "info"
}
`
)

// router is one real router: a process that is started again when it ends.
type router struct {
	id       string
	ip       string
	settings string
	log      *os.File
	store    *proxy
	program  string
	// ready is what the balancer found out.
	ready atomic.Bool

	mu      sync.Mutex
	process *exec.Cmd
	// start counts starts; planned and killed say what was done to this one.
	start   int
	planned time.Time
	killed  bool
	paused  bool
	ended   func(fault string)
}

func newRouter(r *run, i int, seeds string) (*router, error) {
	node := &router{
		id:       fmt.Sprintf("r%d", i+1),
		ip:       r.ip(i),
		settings: filepath.Join(r.dir, fmt.Sprintf("r%d.json", i+1)),
		program:  r.plan.program,
		ended:    func(fault string) { r.ledger.failNow("own-end", "", fault) },
	}
	var err error
	if node.store, err = newProxy(r.storeAddress); err != nil {
		return nil, errors.Trace(err)
	}
	text := fmt.Sprintf(_settingsText, node.id, i%_zones, node.ip, _callerPort, _readyPort, _opsPort, _peerPort, seeds,
		node.store.address(), _grace.String(), _retryRatio, _retryWindow.String(), _retryAllowance)
	if err := os.WriteFile(node.settings, []byte(text), 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	if node.log, err = os.Create(filepath.Join(r.dir, node.id+".log")); err != nil {
		return nil, errors.Trace(err)
	}
	return node, nil
}

func (n *router) callers() string {
	return fmt.Sprintf("%s:%d", n.ip, _callerPort)
}

// run keeps the process alive until the context ends.
func (n *router) run(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		process := exec.Command(n.program, "edge", "--settings", n.settings)
		process.Stdout, process.Stderr = n.log, n.log
		err := process.Start()
		n.process, n.planned, n.killed, n.paused = process, time.Time{}, false, false
		n.start++
		n.mu.Unlock()
		if err != nil {
			n.ended(err.Error())
			return
		}
		stop := context.AfterFunc(ctx, func() { _ = process.Process.Kill() })
		err = process.Wait()
		stop()
		n.mu.Lock()
		if ctx.Err() == nil && !n.killed && n.planned.IsZero() {
			n.ended(fmt.Sprintf("%s ended by itself: %v", n.id, err))
		}
		if took := time.Since(n.planned); ctx.Err() == nil && !n.killed && !n.planned.IsZero() && took > _grace+time.Second {
			n.ended(fmt.Sprintf("%s took %v to stop", n.id, took))
		}
		n.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(_restartDelay):
		}
	}
}

// signal sends one to the process, which may have ended.
func (n *router) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.process.Process == nil {
		return
	}
	switch signal {
	case syscall.SIGKILL:
		n.killed = true
	case syscall.SIGTERM:
		if n.planned.IsZero() {
			n.planned = time.Now()
		}
	case syscall.SIGSTOP:
		n.paused = true
	case syscall.SIGCONT:
		if n.paused {
			// A pause takes from what a planned stop may take.
			n.killed = n.killed || !n.planned.IsZero()
		}
		n.paused = false
	}
	_ = n.process.Process.Signal(signal)
}

// incarnation names the process that runs now.
func (n *router) incarnation() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("%s/%d", n.id, n.start)
}

// isPlanned reports whether the process was told to stop.
func (n *router) isPlanned() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.planned.IsZero()
}

// watch asks whether the router is ready, as the balancer does.
func (n *router) watch(ctx context.Context) {
	client := &http.Client{
		Timeout: _readyPoll,
	}
	misses := 0
	for ctx.Err() == nil {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, _readyPort))
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		n.ready.Store(misses < 2)
		time.Sleep(_readyPoll)
	}
}
