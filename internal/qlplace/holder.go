package qlplace

import "math/bits"

const _wordBits = bits.UintSize

// cacheIndex stores which engines of a pool cache each shared segment, as one
// bit for each engine. A decision looks a segment up once instead of once for
// each engine.
type cacheIndex struct {
	wordsPerSegment int
	bySegment       map[uint64][]uint
}

func newCacheIndex(engines int) *cacheIndex {
	return &cacheIndex{
		wordsPerSegment: (engines + _wordBits - 1) / _wordBits,
		bySegment:       make(map[uint64][]uint),
	}
}

// set records whether an engine caches a segment. Segments that no engine
// caches are removed.
func (c *cacheIndex) set(segment uint64, engine int, held bool) {
	words := c.bySegment[segment]
	if words == nil {
		if !held {
			return
		}
		words = make([]uint, c.wordsPerSegment)
		c.bySegment[segment] = words
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
	delete(c.bySegment, segment)
}

// held reports whether an engine's bit is set; words may be nil.
func held(words []uint, engine int) bool {
	return words != nil && words[engine/_wordBits]>>(engine%_wordBits)&1 == 1
}
