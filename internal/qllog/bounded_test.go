package qllog

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// lockedBuffer can be written by the logger while the test reads.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) lines() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buffer.String(), "\n")
}

func TestVolumeIsBounded(t *testing.T) {
	var out lockedBuffer
	log, bounded, err := NewBounded(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	const events = 1000
	for range events {
		log.Info("request-answered")
	}
	log.Info("request-ended")
	bounded.Close()
	got := out.lines()
	if most := _firstLines + events/_thereafter + 2; got > 2*most {
		t.Errorf("lines of %d events: got %d, want about %d", events, got, most)
	}
	if got+int(bounded.SampledOut()) != events+1 {
		t.Errorf("written %d and left out %d, want %d together", got, bounded.SampledOut(), events+1)
	}
	if !strings.Contains(out.buffer.String(), "event=request-ended") {
		t.Error("a rare event was left out because of a frequent one")
	}
}

// TestFullPipeBlocksNobody logs into a pipe that nobody reads.
func TestFullPipeBlocksNobody(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	log, bounded, err := NewBounded(writer, "info")
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for i := range 3 * _queuedLines {
		// Names differ, so that nothing is sampled.
		log.Info("event", zap.Int("n", i))
		log.Info("event-" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)))
	}
	bounded.Close()
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("logging took %v, want it not to wait for a reader", took)
	}
	if bounded.Dropped() == 0 {
		t.Error("no line was counted as dropped")
	}
}
