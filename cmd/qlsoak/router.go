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
	"github.com/quetzallane/quetzallane/internal/qlhead"
)

const (
	_callerPort     = 8001
	_readyPort      = 8002
	_operationsPort = 8003
	_peerPort       = 8004
	_offloadPort    = 8005
	// _stopDeadline is the time that a planned stop may take.
	_stopDeadline = 3 * time.Second
	// _restartDelay is the time between the end of a process and its restart.
	_restartDelay      = 200 * time.Millisecond
	_readyPollInterval = 100 * time.Millisecond
	_settingsTemplate  = `{
  "id": %q, "zone": "zone-%d",
  "caller-address": "%[3]s:%[4]d", "ready-address": "%[3]s:%[5]d",
  "operations-address": "%[3]s:%[6]d", "peer-address": "%[3]s:%[7]d",
  "offload-address": "%[3]s:%[14]d",
  "seeds": [%[8]s], "store": %[9]q,
  "memory-mb": 128, "descriptors": 1024, "processors": 1, "processor-part": 0.02,
  "stop-deadline": %[10]q, "balancer-notice": "400ms",
  "retry-ratio": %[11]v, "retry-window": %[12]q, "retry-allowance": %[13]v,
  "placement": "owner", "log-level": "info"
}
`
)

// router runs a real router as a process that is restarted whenever it ends.
type router struct {
	id           string
	ip           string
	settingsPath string
	log          *os.File
	// storeProxy is the proxy through which the router reaches the store.
	storeProxy *proxy
	program    string
	// ready is the readiness that pollReady has found, on behalf of a balancer.
	ready atomic.Bool

	mu      sync.Mutex
	process *exec.Cmd
	// startCount counts starts of the process. The fields below it apply to the
	// present process: stopRequestedAt is the time of the first SIGTERM, or zero;
	// endUnchecked is set when neither the reason nor the duration of its end is
	// checked; paused is set between SIGSTOP and SIGCONT.
	startCount      int
	stopRequestedAt time.Time
	endUnchecked    bool
	paused          bool
	// onUnexpectedEnd reports a process that could not be started, ended without
	// a signal to do so, or exceeded _stopDeadline.
	onUnexpectedEnd func(description string)
}

// newRouter writes the settings of router i and starts the proxy between it and
// the store. seeds lists the seed routers' addresses, as JSON strings.
func newRouter(r *soakRun, i int, seeds string) (*router, error) {
	n := &router{
		id:              fmt.Sprintf("r%d", i+1),
		ip:              r.routerIP(i),
		settingsPath:    filepath.Join(r.dir, fmt.Sprintf("r%d.json", i+1)),
		program:         r.options.program,
		onUnexpectedEnd: func(description string) { r.ledger.addViolation("own-end", "", description) },
	}
	var err error
	if n.storeProxy, err = newProxy(r.storeAddress); err != nil {
		return nil, errors.Trace(err)
	}
	settings := fmt.Sprintf(_settingsTemplate, n.id, i%_zoneCount, n.ip, _callerPort, _readyPort, _operationsPort, _peerPort, seeds,
		n.storeProxy.address(), _stopDeadline.String(), _retryRatio, _retryWindow.String(), _retryAllowance, _offloadPort)
	if err := os.WriteFile(n.settingsPath, []byte(settings), 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	if n.log, err = os.Create(filepath.Join(r.dir, n.id+".log")); err != nil {
		return nil, errors.Trace(err)
	}
	return n, nil
}

func (n *router) callerAddress() string {
	return fmt.Sprintf("%s:%d", n.ip, _callerPort)
}

// keepRunning starts the process, and restarts it when it ends, until the context
// ends. It reports processes that end unexpectedly or stop too slowly.
func (n *router) keepRunning(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		process := exec.Command(n.program, "edge", "--settings", n.settingsPath)
		process.Stdout, process.Stderr = n.log, n.log
		err := process.Start()
		n.process, n.stopRequestedAt, n.endUnchecked, n.paused = process, time.Time{}, false, false
		n.startCount++
		n.mu.Unlock()
		if err != nil {
			n.onUnexpectedEnd(err.Error())
			return
		}
		stop := context.AfterFunc(ctx, func() { _ = process.Process.Kill() })
		err = process.Wait()
		stop()
		n.mu.Lock()
		if ctx.Err() == nil && !n.endUnchecked && n.stopRequestedAt.IsZero() {
			n.onUnexpectedEnd(fmt.Sprintf("%s exited without a signal to stop: %v", n.id, err))
		}
		if took := time.Since(n.stopRequestedAt); ctx.Err() == nil && !n.endUnchecked && !n.stopRequestedAt.IsZero() && took > _stopDeadline+time.Second {
			n.onUnexpectedEnd(fmt.Sprintf("%s took %v to stop after SIGTERM", n.id, took))
		}
		n.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(_restartDelay):
		}
	}
}

// signal sends a signal to the process, if one was started. The process may have
// ended already.
func (n *router) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.process.Process == nil {
		return
	}
	switch signal {
	case syscall.SIGKILL:
		n.endUnchecked = true
	case syscall.SIGTERM:
		if n.stopRequestedAt.IsZero() {
			n.stopRequestedAt = time.Now()
		}
	case syscall.SIGSTOP:
		n.paused = true
	case syscall.SIGCONT:
		if n.paused {
			// A pause uses up part of the time for a planned stop, so the stop's
			// duration is no longer checked.
			n.endUnchecked = n.endUnchecked || !n.stopRequestedAt.IsZero()
		}
		n.paused = false
	}
	_ = n.process.Process.Signal(signal)
}

// incarnation returns a name of the present process, "ID/START".
func (n *router) incarnation() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("%s/%d", n.id, n.startCount)
}

// isStopping reports whether the present process was sent SIGTERM.
func (n *router) isStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopRequestedAt.IsZero()
}

// pollReady polls the router's readiness as a balancer does, until the context
// ends. Two failed polls in a row take the router out of rotation.
func (n *router) pollReady(ctx context.Context) {
	client := &http.Client{
		Transport: qlhead.DefaultTransport(),
		Timeout:   _readyPollInterval,
	}
	failures := 0
	for ctx.Err() == nil {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, _readyPort))
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			failures = 0
		} else {
			failures++
		}
		n.ready.Store(failures < 2)
		time.Sleep(_readyPollInterval)
	}
}
