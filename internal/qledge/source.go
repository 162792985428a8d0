package qledge

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlroute"
)

// ErrHistoryLost is returned by a watch when the store no longer has all
// changes after the position: all documents have to be read.
const ErrHistoryLost = errors.ConstError("history lost")

// Item is one document of the store, or its removal: the configuration, an upstream's
// entry, or the operator's order to evacuate a zone.
type Item struct {
	// ID is an upstream's id; it is empty for the configuration and for orders.
	ID            string
	Configuration bool
	// Zone is the availability zone of an order to evacuate it, and empty otherwise. Such an
	// item needs no value, so it is valid whatever its Fault.
	Zone     string
	Value    []byte
	Position qlposition.Position
	Deleted  bool
	// Fault is why an item of the store cannot be read. Its value is then unknown, and its
	// id and position are as far as they can be read.
	Fault error
}

// Source reads the platform's documents. All positions are the store's. A call
// fails if it makes no progress for some time beyond its wait.
type Source struct {
	// Read returns all documents, which are of one era, and the position from which to
	// watch. The answer may take longer than usual to begin, by up to the wait.
	Read func(ctx context.Context, wait time.Duration) (items []Item, position qlposition.Position, err error)
	// Watch returns the changes after the position as soon as there are any, or
	// none when the wait is over. The items and the position that it returns are of the
	// era in which the store has answered, which may be another one than asked for.
	Watch               func(ctx context.Context, after qlposition.Position, wait time.Duration) (items []Item, position qlposition.Position, err error)
	DecodeConfiguration func(data []byte) (*qlroute.Document, error)
	DecodeUpstream      func(id string, data []byte) (qlcatalog.Entry, error)
	// Calls returns the number of calls made so far.
	Calls func() int64
}

// withoutPanics returns a source whose calls return an error instead of panicking. A
// document that meets a fault is then one that cannot be read; it must not end the
// requests of the whole process.
func (s Source) withoutPanics() Source {
	guarded := s
	guarded.Read = func(ctx context.Context, wait time.Duration) (items []Item, position qlposition.Position, err error) {
		defer recoverError("read", &err)
		return s.Read(ctx, wait)
	}
	guarded.Watch = func(ctx context.Context, after qlposition.Position, wait time.Duration) (items []Item, position qlposition.Position, err error) {
		defer recoverError("watch", &err)
		return s.Watch(ctx, after, wait)
	}
	guarded.DecodeConfiguration = func(data []byte) (document *qlroute.Document, err error) {
		defer recoverError("decode configuration", &err)
		return s.DecodeConfiguration(data)
	}
	guarded.DecodeUpstream = func(id string, data []byte) (entry qlcatalog.Entry, err error) {
		defer recoverError("decode upstream", &err)
		return s.DecodeUpstream(id, data)
	}
	return guarded
}

// recoverError turns a panic into an error. It must be deferred directly.
func recoverError(call string, err *error) {
	if cause := recover(); cause != nil {
		*err = errors.Errorf("%s panicked: %v, at %s", call, cause, debug.Stack())
	}
}
