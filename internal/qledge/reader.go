package qledge

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

const (
	// _readerWait is how long a watch of the few readers waits for a change,
	// and _watchWait one of the others. A watch may go deaf without a sign:
	// readers find out after their wait and tell the others.
	_readerWait = 800 * time.Millisecond
	_watchWait  = 8 * time.Second
	// _replyTimeout bounds a call beside its wait.
	_replyTimeout = 700 * time.Millisecond
	// _readers is how many routers read with short waits, in as many zones.
	_readers = 3
	// _retryFirst and _retryMost bound the pause after a failed call; it
	// doubles from one to the other.
	_retryFirst = 100 * time.Millisecond
	_retryMost  = 600 * time.Millisecond
)

// document is one watched document: how to read it whole, how to watch it,
// and what to do with what comes.
type document struct {
	name string
	// read reads it whole and returns the revision to watch from.
	read func(ctx context.Context) (uint64, error)
	// watch waits for changes and applies them.
	watch func(ctx context.Context, after uint64) (uint64, error)
	// away and back are told of the store's loss and return.
	away func()
	back func()
}

// follow reads and watches a document until the context ends.
func (e *Edge) follow(ctx context.Context, d *document) {
	revision := uint64(0)
	lost := false
	pause := _retryFirst
	for ctx.Err() == nil {
		began := time.Now()
		next, err := e.step(ctx, d, revision)
		switch {
		case err == nil:
			if lost {
				lost = false
				e.log.Info("store-regained", zap.String("document", d.name), zap.Uint64("revision", next))
			}
			d.back()
			revision, pause = next, _retryFirst
			continue
		case errors.Is(err, ErrHistoryLost):
			e.log.Info("store-history-lost", zap.String("document", d.name), zap.Uint64("revision", revision))
			revision = 0
			continue
		case ctx.Err() != nil:
			return
		}
		if !lost {
			lost = true
			e.log.Warn("store-lost", zap.String("document", d.name), zap.Uint64("revision", revision),
				zap.Duration("waited", time.Since(began)), zap.Error(err))
		}
		if !errors.Is(err, ErrNoDocument) {
			d.away()
		}
		sleep(ctx, e.spread(pause))
		pause = min(2*pause, _retryMost)
	}
}

func (e *Edge) step(ctx context.Context, d *document, revision uint64) (uint64, error) {
	if revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, _replyTimeout)
		defer cancel()
		return d.read(ctx)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, e.watchWait()+_replyTimeout, errNoReply)
	defer cancel()
	ctx, shorten := context.WithCancelCause(ctx)
	defer shorten(nil)
	defer e.longWatches.add(func() { shorten(errBecameReader) })()
	next, err := d.watch(ctx, revision)
	if err != nil && context.Cause(ctx) == errBecameReader {
		return revision, nil
	}
	return next, err
}

const (
	// errNoReply is the cause when a watch outlasts its wait.
	errNoReply = errors.ConstError("no reply to a watch")
	// errBecameReader is the cause when a watch is begun anew with a short
	// wait.
	errBecameReader = errors.ConstError("became a reader")
)

// watches are those under way, so that they can be ended when their waits are
// too long.
type watches struct {
	mu     sync.Mutex
	next   int
	cancel map[int]func()
}

// add keeps a watch's end until the function that it returns is called.
func (w *watches) add(cancel func()) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		w.cancel = make(map[int]func())
	}
	w.next++
	key := w.next
	w.cancel[key] = cancel
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.cancel, key)
	}
}

// end ends all watches under way.
func (w *watches) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.cancel {
		cancel()
	}
}

// setReads says whether this router is a reader. One that becomes a reader
// begins its watches anew.
func (e *Edge) setReads(reads bool) {
	if !e.reads.Swap(reads) && reads {
		e.longWatches.end()
	}
}

// watchWait returns the wait of this router's watches.
func (e *Edge) watchWait() time.Duration {
	if e.reads.Load() {
		return _readerWait
	}
	return _watchWait
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// configurationDocument is the configuration as the store has it.
func (e *Edge) configurationDocument() *document {
	source := &e.config.Source
	return &document{
		name: "configuration",
		read: func(ctx context.Context) (uint64, error) {
			item, revision, err := source.ReadConfiguration(ctx)
			if err != nil {
				return 0, errors.Trace(err)
			}
			e.fleet.Post(func(time.Duration) { e.adoptConfiguration(item.Value, "store") })
			return revision, nil
		},
		watch: func(ctx context.Context, after uint64) (uint64, error) {
			items, revision, err := source.WatchConfiguration(ctx, after, e.watchWait())
			if err != nil {
				return 0, errors.Trace(err)
			}
			e.fleet.Post(func(time.Duration) {
				for _, item := range items {
					if !item.Deleted {
						e.adoptConfiguration(item.Value, "store")
					}
				}
			})
			return revision, nil
		},
		away: func() {},
		back: func() {},
	}
}

// upstreamsDocument is the list of upstreams as the store has it.
func (e *Edge) upstreamsDocument() *document {
	source := &e.config.Source
	return &document{
		name: "upstreams",
		read: func(ctx context.Context) (uint64, error) {
			items, revision, err := source.ReadUpstreams(ctx)
			if err != nil {
				return 0, errors.Trace(err)
			}
			e.fleet.Post(func(now time.Duration) {
				e.catalog.Back(now)
				e.replaceUpstreams(now, items, revision)
			})
			return revision, nil
		},
		watch: func(ctx context.Context, after uint64) (uint64, error) {
			items, revision, err := source.WatchUpstreams(ctx, after, e.watchWait())
			if err != nil {
				return 0, errors.Trace(err)
			}
			e.fleet.Post(func(now time.Duration) {
				e.catalog.Back(now)
				e.changeUpstreams(now, items, revision)
			})
			return revision, nil
		},
		away: func() { e.fleet.Post(func(time.Duration) { e.catalog.Away() }) },
		back: func() {},
	}
}
