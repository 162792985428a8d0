package qlrouter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlplatform"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"go.uber.org/zap"
)

const (
	// _watchTimeout is how long a watcher's call may wait for a change.
	_watchTimeout = 20 * time.Second
	// _pollPeriod is the pause of a router that is not a watcher after a read, whether
	// or not it returned a newer value.
	_pollPeriod = 60 * time.Second
	// _retryPause is the pause after a read that failed, or that returned no newer
	// value although it was to wait for one or the router is not ready.
	_retryPause = time.Second
	// _startupPollPeriod is the pause after a read that returned a newer value,
	// until the router is ready.
	_startupPollPeriod = 200 * time.Millisecond
)

// errOlderRevision is returned by a read whose answer is not newer than the value
// in force or, of a configuration, than the revision that was refused last. It
// ends a read without a wait that finds no change, and a read from a service that
// answers with an old value instead of waiting for a change.
const errOlderRevision = errors.ConstError("the service serves an older revision")

// watchPlatform keeps the configuration and the VM list current. A few routers
// of each availability zone, the watchers, watch the platform's service; the
// others receive changes from peers and read the service without waiting for a
// change; readPause returns the pauses between their reads.
func (r *Router) watchPlatform(ctx context.Context) {
	go r.watchValue(ctx, "vms", r.readVMs)
	r.watchValue(ctx, "configuration", r.readConfiguration)
}

func (r *Router) watchValue(ctx context.Context, name string, read func(context.Context, time.Duration) error) {
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if r.isWatcher.Load() && r.ready.Load() {
			wait = _watchTimeout
		}
		err := read(ctx, wait)
		if err != nil && !errors.Is(err, qlplatform.ErrUnchanged) && !errors.Is(err, errOlderRevision) {
			r.log.Warn("platform-read-failed", zap.String("value", name), zap.String("cause", err.Error()))
		}
		sleep(ctx, r.readPause(err, wait))
	}
}

// readPause returns how long to wait before the next read, after one that ended
// with the error and was allowed to wait for a change.
func (r *Router) readPause(err error, wait time.Duration) time.Duration {
	foundNothingNew := errors.Is(err, errOlderRevision) && wait == 0
	switch {
	case foundNothingNew && r.ready.Load() && !r.isWatcher.Load():
		return jitter(_pollPeriod)
	case err != nil && !errors.Is(err, qlplatform.ErrUnchanged):
		return jitter(_retryPause)
	case wait > 0:
		return 0
	case !r.ready.Load():
		return jitter(_startupPollPeriod)
	case r.isWatcher.Load():
		return 0
	}
	return jitter(_pollPeriod)
}

// jitter returns a random duration of at least 0.5 d and less than 1.5 d, so that
// the calls of routers spread out in time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *Router) readVMs(ctx context.Context, wait time.Duration) error {
	after := uint64(0)
	if list := r.vmList.Load(); list != nil {
		after = list.revision
	}
	list, text, err := r.platform.VMs(ctx, after, wait)
	if err != nil {
		return errors.Trace(err)
	}
	if list.Revision <= after {
		return errOlderRevision
	}
	r.adoptList(list, text)
	return nil
}

func (r *Router) adoptList(list *qlplatform.VMs, text []byte) {
	converted := list.CoreList()
	r.post(func(now time.Duration) {
		if current := r.vmList.Load(); current != nil && current.revision >= list.Revision {
			return
		}
		addresses := make(map[string]string, len(converted.Routers))
		for _, router := range converted.Routers {
			addresses[router.ID] = router.Address
		}
		r.vmList.Store(&vmListSnapshot{
			revision:  list.Revision,
			text:      text,
			addresses: addresses,
		})
		if r.core.AdoptList(now, converted) {
			r.log.Info("vm-list-adopted", zap.Uint64("revision", list.Revision), zap.Int("routers", len(addresses)))
		}
	})
}

func (r *Router) readConfiguration(ctx context.Context, wait time.Duration) error {
	current := r.snapshot.Load()
	after := r.refusedRevision.Load()
	if current != nil {
		after = max(after, current.Revision())
	}
	index, err := r.platform.Index(ctx, after, wait)
	if err != nil {
		return errors.Trace(err)
	}
	if index.Revision <= after {
		return errOlderRevision
	}
	builder := qlconfig.Builder{
		Previous: current,
	}
	parts := make(map[string][]byte)
	for _, hash := range builder.Missing(index) {
		part, err := r.platform.Part(ctx, hash)
		if err != nil {
			return errors.Trace(err)
		}
		parts[hash] = part
	}
	return r.buildAndAdopt(builder, index, parts, "platform")
}

// buildAndAdopt checks a whole configuration and puts it in force. A
// configuration with any error is refused as a whole; the one in force stays.
func (r *Router) buildAndAdopt(builder qlconfig.Builder, index qlconfig.Index, parts map[string][]byte, source string) error {
	next, err := builder.Build(index, parts)
	if err != nil {
		r.rejectedConfigurations.Add(1)
		r.refusedRevision.Store(index.Revision)
		return errors.Annotatef(err, "revision %d refused, %s stays in force", index.Revision, revisionText(builder.Previous))
	}
	r.post(func(now time.Duration) {
		if !r.core.AdoptConfiguration(now, next) {
			return
		}
		r.snapshot.Store(next)
		r.history.add(builder.Previous, next)
		r.adoptions.Add(1)
		r.configurationSource.Store(source)
		r.log.Info("configuration-adopted", zap.Uint64("revision", next.Revision()), zap.String("source", source))
	})
	return nil
}

func revisionText(c *qlconfig.Configuration) string {
	if c == nil {
		return "no revision"
	}
	return "revision " + uintText(c.Revision())
}
