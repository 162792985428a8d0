package qledge

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlfeed"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"go.uber.org/zap"
)

const (
	// _callInterval is the least time between calls: changes that come in quick
	// succession share one.
	_callInterval = 150 * time.Millisecond
	// _firstPatience and _mostPatience bound how much longer a whole read may
	// take to begin after one that failed: a store that a whole fleet reads at
	// once is busy for seconds, and repeats would keep it so.
	_firstPatience = 700 * time.Millisecond
	_mostPatience  = 6 * time.Second
)

// follow calls the store whenever it is this router's turn, until the context
// ends.
func (e *Edge) follow(ctx context.Context) {
	lost, whole := false, false
	patience := time.Duration(0)
	for ctx.Err() == nil {
		after, wait := e.turn()
		if wait > 0 {
			whole = false
			e.rest(ctx, wait)
			continue
		}
		if whole {
			after = 0
		}
		began := time.Now()
		revision, err := e.call(ctx, after, patience)
		switch {
		case err == nil:
			whole, patience = false, 0
			if lost {
				lost = false
				e.log.Info("store-regained", zap.Uint64("revision", revision))
			}
			sleep(ctx, _callInterval-time.Since(began))
			continue
		case errors.Is(err, ErrHistoryLost):
			e.log.Info("store-history-lost", zap.Uint64("revision", after))
			whole = true
			continue
		case ctx.Err() != nil:
			return
		}
		if !lost {
			lost = true
			e.log.Warn("store-lost", zap.Uint64("revision", after), zap.Duration("waited", time.Since(began)), zap.Error(err))
		}
		patience = min(max(2*patience, _firstPatience), _mostPatience)
		e.rest(ctx, e.spread(e.storeFailed()))
	}
}

// turn returns the revision up to which this router has the documents, 0 when
// it has none, and how long it may leave the store to others.
func (e *Edge) turn() (after uint64, wait time.Duration) {
	e.fleet.Call(func(now time.Duration) {
		if e.catalog.Known() {
			after = e.catalog.Revision()
		}
		wait = e.feed.Wait(now)
	})
	return after, wait
}

// call reads all documents, whose answer may take the patience to begin, or
// waits for changes after the revision.
func (e *Edge) call(ctx context.Context, after uint64, patience time.Duration) (uint64, error) {
	source := &e.config.Source
	if after == 0 {
		items, revision, err := source.Read(ctx, patience)
		if err != nil {
			return 0, errors.Trace(err)
		}
		e.fleet.Post(func(now time.Duration) { e.takeAll(now, items, revision) })
		return revision, nil
	}
	items, revision, err := source.Watch(ctx, after, qlfeed.WatchWait)
	if err != nil {
		return 0, errors.Trace(err)
	}
	e.fleet.Post(func(now time.Duration) { e.takeChanges(now, items, after, revision) })
	return revision, nil
}

// storeFailed notes a failed call and returns the pause before the next.
func (e *Edge) storeFailed() (pause time.Duration) {
	e.fleet.Call(func(now time.Duration) {
		pause = e.feed.Failed()
		e.checkStore(now)
	})
	return pause
}

// checkStore says that the store is away once neither it nor a reader was
// heard for a while.
func (e *Edge) checkStore(now time.Duration) {
	if e.feed.Away() && !e.feed.Fresh(now) {
		e.catalog.Away()
	}
}

// setRouters takes the live routers.
func (e *Edge) setRouters(live []qlring.Node) {
	if e.feed.SetRouters(live) {
		e.callStore()
	}
}

// callStore ends a rest.
func (e *Edge) callStore() {
	select {
	case e.wake <- struct{}{}:
	default:
		// A rest is ended already.
	}
}

// rest waits, but no longer than until the next callStore.
func (e *Edge) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.wake:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
