package qlplace

import "math/bits"

const _wordBits = bits.UintSize

// holders tells for each shared part which of a pool's engines hold it, one
// bit for each engine, so that a decision looks a part up once and not at
// every engine.
type holders struct {
	words  int
	byPart map[uint64][]uint
}

func newHolders(engines int) *holders {
	return &holders{
		words:  (engines + _wordBits - 1) / _wordBits,
		byPart: make(map[uint64][]uint),
	}
}

// set says whether an engine holds a part.
func (h *holders) set(part uint64, engine int, held bool) {
	words := h.byPart[part]
	if words == nil {
		if !held {
			return
		}
		words = make([]uint, h.words)
		h.byPart[part] = words
	}
	bit := uint(1) << (engine % _wordBits)
	if held {
		words[engine/_wordBits] |= bit
		return
	}
	words[engine/_wordBits] &^= bit
	for _, word := range words {
		if word != 0 {
			return
		}
	}
	delete(h.byPart, part)
}

// held reports whether an engine's bit is set; words may be nil.
func held(words []uint, engine int) bool {
	return words != nil && words[engine/_wordBits]>>(engine%_wordBits)&1 == 1
}
