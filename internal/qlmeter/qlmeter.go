// Package qlmeter bounds the memory and the processor time that callers' connections use before
// a request is known.
//
// A parsed header field uses many times the memory of a short field's bytes, and each line, of a
// head or of a chunked body, costs processor time whatever its length. The limits on a head's
// and a body's bytes bound neither. The memory of heads is reserved from an account for all
// connections, and a connection with very short lines waits its turn, so that all such
// connections together read no more than a fixed number of bytes a second.
//
// # Usage
//
//	meter := qlmeter.New(qlmeter.Config{MaxHeadBytes: 16 << 20, ShortLineRate: 8 << 20, Clock: clock, Sleep: time.Sleep})
//	reading := meter.NewReading()
//	err := reading.Record(p[:n]) // data that the server reads; ErrUsedUp: close the connection
//	reading.EndHead(chunked)     // the handler begins
//	reading.BeginHead()          // the answer is written
//	reading.Release()            // the connection has ended
package qlmeter

import (
	"bytes"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlmemory"
)

const (
	// _fieldBytes is the memory of a parsed header field besides its bytes: its part of a map
	// that is up to half empty, and its value's slice.
	_fieldBytes = 192
	// _headAllowance is the memory of a head that is not reserved, in bytes. The estimate for a
	// connection contains it, and usual heads stay below.
	_headAllowance = 8 << 10
	// _shortLineBytes is the mean length of lines below which they count as short, in bytes.
	// Fields of browsers and chunks of a few bytes are longer.
	_shortLineBytes = 12
	// _freeShortBytes are the bytes of short lines of each request that never wait, so that a
	// small request does not wait behind those of a crowd.
	_freeShortBytes = 1 << 10
	// _burstTime is for how long of the rate short lines may be read at once.
	_burstTime = 100 * time.Millisecond
)

// Config configures a Meter.
type Config struct {
	// MaxHeadBytes bounds the memory of all heads; 0 for no limit.
	MaxHeadBytes int64
	// ShortLineRate is how many bytes of short lines are read a second; 0 for no limit.
	ShortLineRate float64
	Clock         func() time.Duration
	// Sleep waits for the time.
	Sleep func(time.Duration)
}

// Meter has the sums of all connections. It is safe for concurrent use.
type Meter struct {
	config Config
	heads  *qlmemory.Account

	mu sync.Mutex
	// free is when the bytes that were read so far are worth their time at the rate.
	free time.Duration
}

// New returns a meter with the given configuration.
func New(config Config) *Meter {
	return &Meter{
		config: config,
		heads:  qlmemory.NewAccount(config.MaxHeadBytes),
	}
}

// HeadBytes returns the memory of heads that is reserved.
func (m *Meter) HeadBytes() int64 {
	return m.heads.Used()
}

// awaitTurn waits until further short lines may be read.
func (m *Meter) awaitTurn(count int) {
	if m.config.ShortLineRate <= 0 {
		return
	}
	m.mu.Lock()
	now := m.config.Clock()
	m.free = max(m.free, now-_burstTime) + time.Duration(float64(count)/m.config.ShortLineRate*float64(time.Second))
	delay := m.free - now
	m.mu.Unlock()
	if delay > 0 {
		m.config.Sleep(delay)
	}
}

// NewReading returns the state of a new connection, which begins with a head.
func (m *Meter) NewReading() *Reading {
	return &Reading{
		meter:   m,
		holding: m.heads.NewHolding(_headAllowance),
		inHead:  true,
	}
}

// Reading is what is read of one connection. It is safe for concurrent use.
type Reading struct {
	meter *Meter

	mu      sync.Mutex
	holding *qlmemory.Holding
	// inHead is set while the server reads a head, and chunked while it reads a body whose
	// length was not stated.
	inHead  bool
	chunked bool
	// shortBytes are those of short lines in this request.
	shortBytes int
	// carried is the memory of short lines that were read last, of which the server may have
	// kept some for the next head.
	carried  int
	released bool
}

// Record records data that the server is about to get. It waits if there are many short lines,
// and returns ErrUsedUp if the memory of all heads is used up.
func (r *Reading) Record(data []byte) error {
	wait, err := r.record(data)
	if wait > 0 {
		r.meter.awaitTurn(wait)
	}
	return err
}

func (r *Reading) record(data []byte) (wait int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carried = 0
	if !r.inHead && !r.chunked || r.released {
		return 0, nil
	}
	lines := bytes.Count(data, []byte("\n"))
	memory := len(data) + lines*_fieldBytes
	if lines*_shortLineBytes > len(data) {
		r.carried = memory
		r.shortBytes += len(data)
		if r.shortBytes > _freeShortBytes {
			wait = len(data)
		}
	}
	if r.inHead {
		err = errors.Trace(r.holding.Add(memory))
	}
	return wait, err
}

// EndHead is called when the head has been read. chunked is set if a body without a stated
// length follows. The head's memory stays reserved.
func (r *Reading) EndHead(chunked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inHead, r.chunked = false, chunked
}

// BeginHead is called when the server awaits the next head.
func (r *Reading) BeginHead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inHead, r.chunked, r.shortBytes = true, false, 0
	r.holding.Release()
	if r.carried > 0 && !r.released {
		// Without room the next data of the head finds none, either.
		_ = r.holding.Set(r.carried)
	}
}

// Release gives the memory back once the connection has ended.
func (r *Reading) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	r.holding.Release()
}
