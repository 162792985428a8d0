package qledge

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlfeed"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"go.uber.org/zap"
)

// _minCallInterval is the minimum time between calls to the store, so that
// changes in quick succession share one call.
const _minCallInterval = 150 * time.Millisecond

// storeCall describes the next call to the store.
type storeCall struct {
	// after is the position up to which this router has the documents.
	after qlposition.Position
	// readAll is set when this router has no documents, or lacks changes that the store no
	// longer reports: all documents are to be read.
	readAll bool
	// delay is how long this router may rely on the watchers before it calls.
	delay time.Duration
	// fullReadDelay is how much longer than usual the answer to a read of all
	// documents may take to begin.
	fullReadDelay time.Duration
}

// followStore calls the store whenever this router has to, until the context
// ends. It logs the first failure of a series, and the first success after it.
func (e *Edge) followStore(ctx context.Context) {
	storeLost, readAll := false, false
	for ctx.Err() == nil {
		next := e.nextStoreCall()
		if next.delay > 0 {
			readAll = false
			e.pause(ctx, next.delay)
			continue
		}
		next.readAll = next.readAll || readAll
		began := time.Now()
		position, err := e.queryStore(ctx, next)
		switch {
		case err == nil:
			readAll = false
			if storeLost {
				storeLost = false
				e.log.Info("store-regained", zap.Inline(position))
			}
			sleep(ctx, _minCallInterval-time.Since(began))
			continue
		case errors.Is(err, ErrHistoryLost):
			e.log.Info("store-history-lost", zap.Inline(next.after), zap.Error(err))
			readAll = true
			continue
		case ctx.Err() != nil:
			return
		}
		if !storeLost {
			storeLost = true
			e.log.Warn("store-lost", zap.Inline(next.after), zap.Duration("waited", time.Since(began)), zap.Error(err))
		}
		e.pause(ctx, e.jitter(e.recordStoreFailure()))
	}
}

func (e *Edge) nextStoreCall() (next storeCall) {
	e.fleet.Call(func(now time.Duration) {
		next.after, next.readAll = e.catalog.Position(), !e.catalog.Loaded()
		next.delay, next.fullReadDelay = e.feed.CallDelay(now), e.feed.FullReadDelay()
	})
	return next
}

// queryStore reads all documents, or waits for changes after the position, and
// passes them to the control goroutine. It returns the position of the store's
// answer. A watch that is answered in a later era reports none of the changes that the
// store has lost, so it fails with ErrHistoryLost.
func (e *Edge) queryStore(ctx context.Context, next storeCall) (qlposition.Position, error) {
	source := &e.config.Source
	if next.readAll {
		items, position, err := source.Read(ctx, next.fullReadDelay)
		if err != nil {
			return position, errors.Trace(err)
		}
		items = e.withoutFaulty(items)
		e.fleet.Post(func(now time.Duration) { e.applyAllDocuments(now, items, position) })
		return position, nil
	}
	items, position, err := source.Watch(ctx, next.after, qlfeed.WatchTimeout)
	switch {
	case err != nil:
		return position, errors.Trace(err)
	case position.Era > next.after.Era:
		return position, errors.Annotatef(ErrHistoryLost, "the store is in era %d", position.Era)
	case position.Era < next.after.Era:
		return position, errors.Errorf("the store answered in the earlier era %d", position.Era)
	}
	items = e.withoutFaulty(items)
	e.fleet.Post(func(now time.Duration) { e.applyStoreChanges(now, items, next.after, position) })
	return position, nil
}

// withoutFaulty logs the items that cannot be read. Those of an upstream stay, since they
// replace what the store had of it, and so do orders about a zone, which need no value.
func (e *Edge) withoutFaulty(items []Item) []Item {
	kept := items[:0]
	for _, item := range items {
		if item.Fault != nil {
			e.log.Info("store-item-faulty", zap.String("upstream", item.ID), zap.String("zone", item.Zone), zap.Inline(item.Position), zap.Error(item.Fault))
			if item.ID == "" && item.Zone == "" || item.Position.Revision == 0 {
				continue
			}
		}
		kept = append(kept, item)
	}
	return kept
}

// recordStoreFailure records a failed call and returns the pause before the
// next.
func (e *Edge) recordStoreFailure() (pause time.Duration) {
	e.fleet.Call(func(now time.Duration) {
		pause = e.feed.RecordFailure()
		e.checkStoreLoss(now)
	})
	return pause
}

// checkStoreLoss marks the store as lost once this router's last call has
// failed and no watcher has recently confirmed the documents either.
func (e *Edge) checkStoreLoss(now time.Duration) {
	if e.feed.StoreUnavailable() && !e.feed.Fresh(now) {
		e.catalog.StoreLost()
	}
}

// setLiveRouters sets the live routers, and ends a pause if this router has
// become a watcher.
func (e *Edge) setLiveRouters(live []qlring.Node) {
	e.liveChanged = true
	if e.feed.SetRouters(live) {
		e.endStorePause()
	}
}

// endStorePause ends the pause before the next call to the store.
func (e *Edge) endStorePause() {
	select {
	case e.callNow <- struct{}{}:
	default:
		// A signal to end the pause is queued already.
	}
}

// pause waits for the time, but no longer than until the next endStorePause.
func (e *Edge) pause(ctx context.Context, d time.Duration) {
	sleepOrWake(ctx, d, e.callNow)
}

func sleep(ctx context.Context, d time.Duration) {
	sleepOrWake(ctx, d, nil)
}

// sleepOrWake waits until the time has passed, the context ends or wake yields
// a value. wake may be nil.
func sleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
