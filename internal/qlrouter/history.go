package qlrouter

import (
	"sync"

	"github.com/quetzallane/quetzallane/pkg/qlconfig"
)

const (
	// _historyLength bounds the indexes that are remembered, and
	// _replacedParts the parts that are no longer in force.
	_historyLength = 64
	_replacedParts = 16
)

// history remembers the last indexes and the parts that were replaced last, so
// that a peer that is behind is sent only what changed.
type history struct {
	mu       sync.Mutex
	indexes  []qlconfig.Index
	replaced []replacedPart
}

type replacedPart struct {
	hash string
	text []byte
}

// add notes that a configuration came into force after another, which is nil
// for the first.
func (h *history) add(before, now *qlconfig.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.indexes = append(h.indexes, now.Index())
	if len(h.indexes) > _historyLength {
		h.indexes = h.indexes[1:]
	}
	if before == nil {
		return
	}
	for _, hash := range before.Index().Parts {
		if now.RawPart(hash) == nil {
			h.replaced = append(h.replaced, replacedPart{
				hash: hash,
				text: before.RawPart(hash),
			})
		}
	}
	// A copy, so that what was dropped is freed.
	drop := max(0, len(h.replaced)-_replacedParts)
	h.replaced = append([]replacedPart(nil), h.replaced[drop:]...)
}

// index returns the index of a revision.
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

// part returns a part that was replaced not long ago, or nil.
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
