package qledge

import (
	"sync/atomic"

	"github.com/quetzallane/quetzallane/internal/qlplace"
	"go.uber.org/zap"
)

// prefixCounters are the metrics of cached prefixes, for all groups of engines that
// this router decides about. The control goroutine sets them once a second.
type prefixCounters struct {
	saved      atomic.Int64
	readAgain  atomic.Int64
	copies     atomic.Int64
	hotHolders atomic.Int64
}

// countPrefixes sets the metrics, and logs a line for each group, if prefixes are
// weighed.
func (e *Edge) countPrefixes(pools []qlplace.PoolState) {
	var saved, readAgain, copies uint64
	holders := 0
	for i := range pools {
		prefixes := pools[i].Prefixes
		if prefixes == nil {
			continue
		}
		saved += prefixes.CachedTokens
		readAgain += pools[i].RecomputedTokens
		copies += prefixes.Copies
		holders += prefixes.HotHolders
		e.log.Info("prefix-state", zap.String("service", pools[i].Service), zap.Int("group", pools[i].Group),
			zap.Uint64("tokens-saved", prefixes.CachedTokens), zap.Uint64("tokens-read-again", pools[i].RecomputedTokens),
			zap.Uint64("copies-read", prefixes.Copies), zap.Int("hot-parts", prefixes.HotSegments), zap.Int("hot-part-holders", prefixes.HotHolders))
	}
	e.prefixes.saved.Store(int64(saved))
	e.prefixes.readAgain.Store(int64(readAgain))
	e.prefixes.copies.Store(int64(copies))
	e.prefixes.hotHolders.Store(int64(holders))
}
