package qllog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// _queuedLines is how many lines wait for a reader that is slow; those
	// beyond are dropped and counted.
	_queuedLines = 2048
	// _firstLines of an event in each second are written, then one in
	// _thereafter.
	_firstLines = 40
	_thereafter = 25
)

// Bounded is a logger that never blocks and writes a bounded volume.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	sampled atomic.Int64
	ended   chan struct{}
	once    sync.Once
	writer  io.Writer
}

// NewBounded returns a logger at the level that writes in the background.
// Close writes what is queued.
func NewBounded(w io.Writer, level string) (*zap.Logger, *Bounded, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.NotValidf("log level %q (write debug, info, warn or error)", level)
	}
	b := &Bounded{
		lines:  make(chan []byte, _queuedLines),
		ended:  make(chan struct{}),
		writer: w,
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), b, parsed)
	sampler := zapcore.NewSamplerWithOptions(core, time.Second, _firstLines, _thereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				b.sampled.Add(1)
			}
		}))
	go b.run()
	return zap.New(sampler), b, nil
}

// Write queues a line.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written in the background.
func (b *Bounded) Sync() error {
	return nil
}

// Dropped returns how many lines a slow reader has cost.
func (b *Bounded) Dropped() int64 {
	return b.dropped.Load()
}

// SampledOut returns how many lines were left out to bound the volume.
func (b *Bounded) SampledOut() int64 {
	return b.sampled.Load()
}

func (b *Bounded) run() {
	defer close(b.ended)
	for line := range b.lines {
		if _, err := b.writer.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}

// _closeWait bounds the wait for a reader that is slow.
const _closeWait = 200 * time.Millisecond

// Close writes what is queued, as far as the reader takes it. Nothing may be
// logged after it.
func (b *Bounded) Close() {
	b.once.Do(func() { close(b.lines) })
	select {
	case <-b.ended:
	case <-time.After(_closeWait):
	}
}
