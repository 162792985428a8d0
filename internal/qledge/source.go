package qledge

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlroute"
)

// ErrHistoryLost is returned by a watch when the store no longer has all
// changes after the revision: all documents have to be read.
const ErrHistoryLost = errors.ConstError("history lost")

// Item is one document of the store, or its removal.
type Item struct {
	// ID is an upstream's id; it is empty for the configuration.
	ID            string
	Configuration bool
	Value         []byte
	Revision      uint64
	Deleted       bool
}

// Source reads the platform's documents. All revisions are the store's. A call
// fails if it makes no progress for some time beyond its wait.
type Source struct {
	// Read returns all documents and the revision from which to watch. The
	// answer may take longer than usual to begin, by up to the wait.
	Read func(ctx context.Context, wait time.Duration) (items []Item, revision uint64, err error)
	// Watch returns the changes after the revision as soon as there are any, or
	// none when the wait is over.
	Watch               func(ctx context.Context, after uint64, wait time.Duration) (items []Item, revision uint64, err error)
	DecodeConfiguration func(data []byte) (*qlroute.Document, error)
	DecodeUpstream      func(id string, data []byte) (qlcatalog.Entry, error)
	// Calls returns the number of calls made so far.
	Calls func() int64
}
