package qledge

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlfeed"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"go.uber.org/zap"
)

// _callInterval is the least time between calls: changes that come in quick
// succession share one.
const _callInterval = 150 * time.Millisecond

// nextCall is what the next call to the store is.
type nextCall struct {
	// after is the revision up to which this router has the documents, 0 when
	// it has none and reads all.
	after uint64
	// wait is how long this router may leave the store to the readers.
	wait time.Duration
	// readWait is how long a read of all documents may take to begin.
	readWait time.Duration
}

// follow calls the store whenever this router has to, until the context ends.
func (e *Edge) follow(ctx context.Context) {
	lost, whole := false, false
	for ctx.Err() == nil {
		next := e.nextCall()
		if next.wait > 0 {
			whole = false
			e.pause(ctx, next.wait)
			continue
		}
		if whole {
			next.after = 0
		}
		began := time.Now()
		revision, err := e.call(ctx, next)
		switch {
		case err == nil:
			whole = false
			if lost {
				lost = false
				e.log.Info("store-regained", zap.Uint64("revision", revision))
			}
			sleep(ctx, _callInterval-time.Since(began))
			continue
		case errors.Is(err, ErrHistoryLost):
			e.log.Info("store-history-lost", zap.Uint64("revision", next.after))
			whole = true
			continue
		case ctx.Err() != nil:
			return
		}
		if !lost {
			lost = true
			e.log.Warn("store-lost", zap.Uint64("revision", next.after), zap.Duration("waited", time.Since(began)), zap.Error(err))
		}
		e.pause(ctx, e.spread(e.storeFailed()))
	}
}

func (e *Edge) nextCall() (next nextCall) {
	e.fleet.Call(func(now time.Duration) {
		if e.catalog.Loaded() {
			next.after = e.catalog.Revision()
		}
		next.wait, next.readWait = e.feed.CallDelay(now), e.feed.FullReadDelay()
	})
	return next
}

// call reads all documents, or waits for changes after the revision.
func (e *Edge) call(ctx context.Context, next nextCall) (uint64, error) {
	source := &e.config.Source
	if next.after == 0 {
		items, revision, err := source.Read(ctx, next.readWait)
		if err != nil {
			return 0, errors.Trace(err)
		}
		e.fleet.Post(func(now time.Duration) { e.takeAll(now, items, revision) })
		return revision, nil
	}
	items, revision, err := source.Watch(ctx, next.after, qlfeed.WatchTimeout)
	if err != nil {
		return 0, errors.Trace(err)
	}
	e.fleet.Post(func(now time.Duration) { e.takeChanges(now, items, next.after, revision) })
	return revision, nil
}

// storeFailed notes a failed call and returns the pause before the next.
func (e *Edge) storeFailed() (pause time.Duration) {
	e.fleet.Call(func(now time.Duration) {
		pause = e.feed.RecordFailure()
		e.checkStore(now)
	})
	return pause
}

// checkStore says that the store is away once neither it nor a reader was
// heard for a while.
func (e *Edge) checkStore(now time.Duration) {
	if e.feed.StoreUnavailable() && !e.feed.Fresh(now) {
		e.catalog.StoreLost()
	}
}

// setRouters takes the live routers.
func (e *Edge) setRouters(live []qlring.Node) {
	if e.feed.SetRouters(live) {
		e.callStore()
	}
}

// callStore ends a pause.
func (e *Edge) callStore() {
	select {
	case e.callNow <- struct{}{}:
	default:
		// A pause is ended already.
	}
}

// pause waits, but no longer than until the next callStore.
func (e *Edge) pause(ctx context.Context, d time.Duration) {
	sleepUntil(ctx, d, e.callNow)
}

func sleep(ctx context.Context, d time.Duration) {
	sleepUntil(ctx, d, nil)
}

// sleepUntil waits for the time, the context's end or a value, if there is a
// channel.
func sleepUntil(ctx context.Context, d time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-early:
	case <-ctx.Done():
	}
}
