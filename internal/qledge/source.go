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

// Item is one document of the store, or its removal.
type Item struct {
	// ID is an upstream's id, empty for the configuration.
	ID            string
	Configuration bool
	Value         []byte
	Revision      uint64
	Deleted       bool
}

// Source reads the platform's documents. All revisions are the store's. A call
// that makes no progress for a while beside its wait fails.
type Source struct {
	// Read returns all documents and the revision to watch from. Its answer may
	// take the wait to begin.
	Read func(ctx context.Context, wait time.Duration) (items []Item, revision uint64, err error)
	// Watch returns what changed after the revision, as soon as something has
	// or the wait is over.
	Watch               func(ctx context.Context, after uint64, wait time.Duration) (items []Item, revision uint64, err error)
	DecodeConfiguration func(data []byte) (*qlroute.Document, error)
	DecodeUpstream      func(id string, data []byte) (qlcatalog.Entry, error)
	// Calls returns how many calls were made.
	Calls func() int64
}
