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
	// _maxQueuedLines is how many lines are queued while the reader of the log
	// is slow. Further lines are dropped and counted.
	_maxQueuedLines = 2048
	// In each second, the first _sampleFirst lines of an event are written, and
	// then one in _sampleThereafter.
	_sampleFirst      = 40
	_sampleThereafter = 25
)

// Bounded is the sink of a logger from NewBounded. It never blocks the logger:
// lines are queued for a background goroutine and dropped when the queue is full.
// It counts the lines that were dropped or left out by sampling.
type Bounded struct {
	queue         chan []byte
	dropped       atomic.Int64
	sampledOut    atomic.Int64
	writeLoopDone chan struct{}
	closeOnce     sync.Once
	writer        io.Writer
}

// NewBounded returns a logger that writes to w in the background, and its sink.
// The level is debug, info, warn or error. The caller closes the sink, which
// writes the queued lines.
func NewBounded(w io.Writer, level string) (*zap.Logger, *Bounded, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.NotValidf("log level %q (write debug, info, warn or error)", level)
	}
	b := &Bounded{
		queue:         make(chan []byte, _maxQueuedLines),
		writeLoopDone: make(chan struct{}),
		writer:        w,
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), b, parsed)
	sampler := zapcore.NewSamplerWithOptions(core, time.Second, _sampleFirst, _sampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				b.sampledOut.Add(1)
			}
		}))
	go b.writeLoop()
	return zap.New(sampler), b, nil
}

// Write queues a copy of the line, or counts it as dropped if the queue is full.
// It returns no error.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, since lines are written in the background. It satisfies
// zapcore.WriteSyncer.
func (b *Bounded) Sync() error {
	return nil
}

// Dropped returns how many lines were dropped because the queue was full or the
// writer returned an error.
func (b *Bounded) Dropped() int64 {
	return b.dropped.Load()
}

// SampledOut returns how many lines were left out by sampling.
func (b *Bounded) SampledOut() int64 {
	return b.sampledOut.Load()
}

func (b *Bounded) writeLoop() {
	defer close(b.writeLoopDone)
	for line := range b.queue {
		if _, err := b.writer.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}

// _closeTimeout limits how long Close waits for a slow reader of the log.
const _closeTimeout = 200 * time.Millisecond

// Close waits until the queued lines are written, for at most _closeTimeout. The
// logger must not be used afterwards.
func (b *Bounded) Close() {
	b.closeOnce.Do(func() { close(b.queue) })
	select {
	case <-b.writeLoopDone:
	case <-time.After(_closeTimeout):
	}
}
