package qlrouter

import (
	"sync"

	"github.com/quetzallane/quetzallane/pkg/qlconfig"
)

const (
	// _maxIndexes is how many indexes of the latest revisions are kept.
	_maxIndexes = 64
	// _maxReplacedParts is how many parts that are no longer in force are kept.
	_maxReplacedParts = 16
)

// history keeps the indexes of the latest configurations and the parts that
// were replaced last, so that a peer with an older revision is sent only the
// difference.
type history struct {
	mu       sync.Mutex
	indexes  []qlconfig.Index
	replaced []replacedPart
}

type replacedPart struct {
	hash string
	text []byte
}

// add records that the current configuration replaced the previous one, which
// is nil for the first.
func (h *history) add(previous, current *qlconfig.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.indexes = append(h.indexes, current.Index())
	if len(h.indexes) > _maxIndexes {
		h.indexes = h.indexes[1:]
	}
	if previous == nil {
		return
	}
	for _, hash := range previous.Index().Parts {
		if current.RawPart(hash) == nil {
			h.replaced = append(h.replaced, replacedPart{
				hash: hash,
				text: previous.RawPart(hash),
			})
		}
	}
	// Copied, since a slice of the same array would keep dropped parts in memory.
	drop := max(0, len(h.replaced)-_maxReplacedParts)
	h.replaced = append([]replacedPart(nil), h.replaced[drop:]...)
}

// index returns the index of a revision, if it is still kept.
func (h *history) index(revision uint64) (qlconfig.Index, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, index := range h.indexes {
		if index.Revision == revision {
			return index, true
		}
	}
	return qlconfig.Index{}, false
}

// part returns the text of a replaced part, or nil if it is not kept.
func (h *history) part(hash string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, part := range h.replaced {
		if part.hash == hash {
			return part.text
		}
	}
	return nil
}
