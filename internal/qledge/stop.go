package qledge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

const (
	// _stopMargin is how long before the platform's SIGKILL a stop ends.
	_stopMargin = 250 * time.Millisecond
	// _cutMargin is how long before the end of a stop the requests that are still active are
	// ended, so that their callers get an answer.
	_cutMargin = 250 * time.Millisecond
	// _maxUnreadWait bounds how long a stop waits for requests that have
	// arrived but were not read yet; it checks every _unreadPollInterval. While
	// the lag is below _unreadLagThreshold, requests are read soon after they
	// arrive.
	_maxUnreadWait      = time.Second
	_unreadPollInterval = 20 * time.Millisecond
	_unreadLagThreshold = 30 * time.Millisecond
)

// stop makes a planned stop. First the router reports that it is not ready, and
// accepts connections until the balancer has noticed; then it waits for the
// last requests. It returns an error if requests were cut off at the deadline.
func (e *Edge) stop(server *http.Server, callers *limitListener, offloadListener net.Listener) error {
	began := time.Now()
	deadline := began.Add(e.settings.StopDeadline.Std() - _stopMargin)
	e.stopping.Store(true)
	e.forwarder.SetClosing()
	cutoff := deadline.Add(-_cutMargin)
	e.forwarder.SetCutoff(cutoff)
	e.offloader.SetClosing()
	e.fleet.Call(func(time.Duration) { e.fleet.Core().Leave() })
	e.log.Info("stopping", zap.Int64("active", e.forwarder.Active()))
	time.Sleep(e.settings.BalancerNotice.Std())
	e.forwarder.SetRefusing()
	if err := callers.Drain(min(_maxUnreadWait, time.Until(cutoff))); err != nil {
		e.log.Warn("callers-not-drained", zap.Error(err))
	}
	e.awaitPendingRequests(time.Now().Add(min(_maxUnreadWait, time.Until(deadline))))
	cut := e.awaitOffloaded(cutoff)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.Shutdown(ctx)
	if closeErr := offloadListener.Close(); err == nil {
		err = closeErr
	}
	e.offloadServer.Shutdown(ctx)
	e.offloader.Close()
	cut += e.forwarder.Cut() + e.forwarder.Active() + e.offloader.Active()
	e.log.Info("stopped", zap.Int64("cut", cut), zap.Duration("took", time.Since(began)))
	if cut > 0 {
		return errors.Errorf("stop cut %d requests", cut)
	}
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Annotate(err, "stop")
	}
	return nil
}

// awaitPendingRequests waits until callers' requests that have arrived are
// read, judging by the lag and by the idle connections that hold a request. The
// server's shutdown closes idle connections without checking them for requests.
func (e *Edge) awaitPendingRequests(deadline time.Time) {
	for time.Now().Before(deadline) && (e.fleet.Lag() > _unreadLagThreshold || e.callers.anyPendingRequest()) {
		time.Sleep(_unreadPollInterval)
	}
}

// fail makes Run stop and return the error: without one of its servers, the router can only be
// replaced.
func (e *Edge) fail(err error) {
	e.log.Error("server-ended", zap.Error(err))
	select {
	case e.failed <- err:
	default:
		// Run stops already.
	}
}

// awaitEnd waits until the context ends, or a server does, whose error it returns.
func (e *Edge) awaitEnd(ctx context.Context) error {
	select {
	case err := <-e.failed:
		return err
	case <-ctx.Done():
		return nil
	}
}
