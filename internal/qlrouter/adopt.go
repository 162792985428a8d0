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
	_watchWait = 20 * time.Second
	// _slowRead is how often routers that do not watch read for themselves.
	_slowRead = 60 * time.Second
	// _readRetry is the pause after a failed read, and between watches.
	_readRetry = time.Second
	_startRead = 200 * time.Millisecond
)

// errOlder is returned by a read of a stale service: it answered at once with
// what is older than the value in use.
const errOlder = errors.ConstError("the service serves an older revision")

// watchPlatform reads the configuration and the VM list. A few routers of
// each zone watch; the others hear from peers and read rarely themselves.
func (r *Router) watchPlatform(ctx context.Context) {
	go r.watchValue(ctx, "vms", r.readVMs)
	r.watchValue(ctx, "configuration", r.readConfiguration)
}

func (r *Router) watchValue(ctx context.Context, name string, read func(context.Context, time.Duration) error) {
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if r.watches.Load() && r.ready.Load() {
			wait = _watchWait
		}
		err := read(ctx, wait)
		if err != nil && !errors.Is(err, qlplatform.ErrUnchanged) && !errors.Is(err, errOlder) {
			r.log.Warn("platform-read-failed", zap.String("value", name), zap.String("cause", err.Error()))
		}
		sleep(ctx, r.readPause(err, wait))
	}
}

func (r *Router) readPause(err error, wait time.Duration) time.Duration {
	switch {
	case err != nil && !errors.Is(err, qlplatform.ErrUnchanged):
		return jitter(_readRetry)
	case wait > 0:
		return 0
	case !r.ready.Load():
		return jitter(_startRead)
	case r.watches.Load():
		return 0
	}
	return jitter(_slowRead)
}

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
	if list := r.list.Load(); list != nil {
		after = list.revision
	}
	list, text, err := r.platform.VMs(ctx, after, wait)
	if err != nil {
		return errors.Trace(err)
	}
	if list.Revision <= after {
		return errOlder
	}
	r.adoptList(list, text)
	return nil
}

func (r *Router) adoptList(list *qlplatform.VMs, text []byte) {
	converted := list.CoreList()
	r.post(func(now time.Duration) {
		if current := r.list.Load(); current != nil && current.revision >= list.Revision {
			return
		}
		addresses := make(map[string]string, len(converted.Routers))
		for _, router := range converted.Routers {
			addresses[router.ID] = router.Address
		}
		r.list.Store(&listSnapshot{
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
	after := r.refused.Load()
	if current != nil {
		after = max(after, current.Revision())
	}
	index, err := r.platform.Index(ctx, after, wait)
	if err != nil {
		return errors.Trace(err)
	}
	if index.Revision <= after {
		return errOlder
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
	return r.build(builder, index, parts, "platform")
}

// build checks a configuration whole and adopts it, or refuses it whole and
// leaves the one in force.
func (r *Router) build(builder qlconfig.Builder, index qlconfig.Index, parts map[string][]byte, source string) error {
	next, err := builder.Build(index, parts)
	if err != nil {
		r.rejected.Add(1)
		r.refused.Store(index.Revision)
		return errors.Annotatef(err, "revision %d refused, %s stays in force", index.Revision, revisionOf(builder.Previous))
	}
	r.post(func(now time.Duration) {
		if !r.core.AdoptConfiguration(now, next) {
			return
		}
		r.snapshot.Store(next)
		r.history.add(builder.Previous, next)
		r.adoptions.Add(1)
		r.source.Store(source)
		r.log.Info("configuration-adopted", zap.Uint64("revision", next.Revision()), zap.String("source", source))
	})
	return nil
}

func revisionOf(c *qlconfig.Configuration) string {
	if c == nil {
		return "no revision"
	}
	return "revision " + uintText(c.Revision())
}
