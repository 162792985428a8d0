package qledge

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlroute"
)

// ErrHistoryLost is returned by a watch that the store cannot continue: the
// documents have to be read whole.
const ErrHistoryLost = errors.ConstError("history lost")

// ErrNoDocument is returned when the store holds no such document yet.
const ErrNoDocument = errors.ConstError("no such document")

// Item is one document of the store, or its removal.
type Item struct {
	// ID is an upstream's id; it means nothing for the configuration.
	ID       string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Source reads the platform's documents. All revisions are the store's.
type Source struct {
	ReadConfiguration func(ctx context.Context) (item Item, revision uint64, err error)
	ReadUpstreams     func(ctx context.Context) (items []Item, revision uint64, err error)
	// WatchConfiguration and WatchUpstreams return what changed after the
	// revision, as soon as something has or the wait is over.
	WatchConfiguration  func(ctx context.Context, after uint64, wait time.Duration) (items []Item, revision uint64, err error)
	WatchUpstreams      func(ctx context.Context, after uint64, wait time.Duration) (items []Item, revision uint64, err error)
	DecodeConfiguration func(data []byte) (*qlroute.Document, error)
	DecodeUpstream      func(id string, data []byte) (qlcatalog.Entry, error)
	// Calls returns how many calls were made.
	Calls func() int64
}
