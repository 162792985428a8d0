// Package qlprefix prices the prefix cache when a request is placed on an
// engine.
//
// It handles prompts that begin with parts that other requests share. An engine
// that still caches them answers sooner, but only while it has room. Reading a
// part again on another engine takes prefill time from the requests waiting
// there, lengthens the pauses of the streams there and may evict other parts. It
// pays off when the part is requested often enough: the next requests find it on
// both engines. A cached part may also be evicted before the request arrives.
//
// All prices are times to add to the predicted time to the first event, so that
// they can be compared with a wait. See docs/design/prefix-value.md for the
// alternatives.
//
// # Usage
//
//	price := qlprefix.Worth(qlprefix.Candidate{
//		Read:       recomputed,
//		Cached:     cached,
//		Wait:       wait,
//		FirstEvent: firstEvent,
//		Goal:       objective,
//		Load:       load,
//		Interval:   interval,
//		Holders:    holders,
//	})
package qlprefix

import "time"

const (
	// _ownWeight is the part of the price that is not spread over later requests: a
	// single request that waits somewhat longer must not bring about another copy.
	// _baseWeight is the part that is always spread. At 60 requests a second for one
	// part (TestHotPrefixSpreadsWithLoad), 5 of 8 engines come to cache it; it was 7
	// without _ownWeight, and 3 with an _ownWeight of 2, at which parts of 6,300
	// tokens are hardly ever read on a second engine.
	_ownWeight  = 0.5
	_baseWeight = 1.5
	// _busyWeight is what a millisecond of prefill costs the requests behind it on an
	// engine that is never idle. 3 served 4% more requests of a simulated overload
	// with 60 equally hot parts, but up to 12% fewer long prompts with unequal ones.
	_busyWeight = 2.0
	// _fullLoad is the load from which an engine counts as busy all the time. Learned
	// speeds include pauses between steps, so saturated engines showed 0.6 to 0.65 in
	// TestOverloadWithWeighedPrefixes.
	_fullLoad = 0.6
	// _streamWeight is what a millisecond of prefill costs the streams of an engine
	// all of whose slots are taken.
	_streamWeight = 1.0
	// _evictionWeight is what a millisecond of prefill costs when other parts are
	// evicted for it: about half of them are requested again.
	_evictionWeight = 0.5
	// _retention is the longest time for which a part is expected to be requested
	// as often as now. Peaks of demand last a few seconds.
	_retention = 4 * time.Second
	// _fullRelief is the difference in load from which every later request is taken
	// to profit from one more holder.
	_fullRelief = 0.5
	// _evictionMargin is the uncertainty about the place of a part in an engine's
	// eviction order, as a fraction of all its cached tokens.
	_evictionMargin = 0.15
)

// Candidate describes an engine that a request may be placed on, and the shared
// parts at the beginning of its prompt.
type Candidate struct {
	// Read is the prefill time of the parts that this engine would read again
	// while another one caches them.
	Read time.Duration
	// Cached is the prefill time of the parts that this engine is taken to cache.
	Cached time.Duration
	// Wait is the time until the engine starts to prefill the prompt, FirstEvent
	// the predicted time to the first event if the engine caches what it is taken
	// to, and Goal the objective for it.
	Wait       time.Duration
	FirstEvent time.Duration
	Goal       time.Duration
	// Load is the fraction of its time that the engine prefills, or the mean of all
	// engines if that is higher: then an idle moment of one is soon used by others.
	Load float64
	// HolderLoad is the lowest load of the engines that cache the parts.
	HolderLoad float64
	// Streams is the number of running streams, and Slots the highest number
	// possible; 0 when unknown.
	Streams int
	Slots   int
	// Room is the memory that running requests leave for cached parts, in tokens,
	// and Held what the engine is taken to cache. No memory limit is known if
	// Capacity, the whole memory, is 0.
	Room     int
	Held     int
	Capacity int
	// Age is the time since the parts' last use on this engine, and Turnover that
	// since the last use of what is evicted next.
	Age      time.Duration
	Turnover time.Duration
	// Lost is the fraction of the tokens taken to be cached that the engine has
	// turned out to lack.
	Lost float64
	// Interval is the mean time between requests for the parts at all engines, 0
	// when they were not requested before, and Holders the number of engines that
	// cache them.
	Interval time.Duration
	Holders  int
}

// Worth returns what is to be added to the predicted time to the first event for
// parts that the engine reads again and for cached ones that may be gone. It is 0
// for an engine that certainly caches all that any other one caches.
func Worth(c Candidate) time.Duration {
	weight := _ownWeight + c.weight()/(1+c.Uses())
	worth := weight * float64(c.Read)
	if c.Cached > 0 {
		risk := c.Risk()
		// The request itself waits for what is gone, too; its prediction
		// doesn't include that.
		worth += risk * (1 + weight) * float64(c.Cached)
		worth += risk * float64(max(c.Cached-max(c.Goal-c.FirstEvent, 0), 0))
	}
	return time.Duration(worth)
}

// MinWeight returns a lower bound of the price of reading parts, relative to the
// prefill time, at any engine if the mean load is at least this.
func MinWeight(meanLoad float64, interval time.Duration, holders int) float64 {
	c := Candidate{
		Load:       meanLoad,
		HolderLoad: meanLoad + _fullRelief,
		Interval:   interval,
		Holders:    holders,
	}
	return _ownWeight + c.weight()/(1+c.Uses())
}

// weight returns the cost of reading parts that is spread over the later requests
// for them, relative to the prefill time: that of the engine's time, and of the delay
// to the other requests and streams on the engine.
func (c *Candidate) weight() float64 {
	busy := c.Load
	if c.Goal > 0 {
		// The load follows a peak with a delay; the wait shows it at once.
		busy = max(busy, float64(c.Wait)/float64(c.Goal))
	}
	weight := _baseWeight + _busyWeight*min(max(busy/_fullLoad, 0), 1)
	if c.Slots > 0 {
		weight += _streamWeight * min(float64(c.Streams)/float64(c.Slots), 1)
	}
	if c.full() {
		weight += _evictionWeight
	}
	return weight
}

// full reports whether other parts are evicted for what is read.
func (c *Candidate) full() bool {
	return c.Capacity > 0 && c.Held >= c.Room
}

// remaining returns the fraction of the tokens taken to be cached for which a full
// engine has room.
func (c *Candidate) remaining() float64 {
	return float64(max(c.Room, 0)) / float64(max(c.Held, 1))
}

// Uses returns how many later requests are expected to profit from the parts on
// this engine if it reads them now.
func (c *Candidate) Uses() float64 {
	if c.Interval <= 0 {
		return 0
	}
	lifetime := _retention
	if c.full() {
		lifetime = min(lifetime, time.Duration(c.remaining()*float64(c.Turnover)))
	}
	// The requests divide between all engines that then cache the parts.
	interval := c.Interval * time.Duration(c.Holders+1)
	if interval >= lifetime {
		return 0
	}
	return c.relief() * float64(lifetime) / float64(interval)
}

// relief returns how far later requests profit from one more holder, from 0 to 1.
// They do only where the present ones are busier than this engine, and where it has
// time left: when all are at their limit, moving requests serves none more, and the
// prefill is lost. An engine at half of _fullLoad or less has enough time.
func (c *Candidate) relief() float64 {
	difference := (c.HolderLoad - c.Load) / _fullRelief
	return min(max(min(difference, 2*(1-c.Load/_fullLoad)), 0), 1)
}

// Risk returns the probability that the parts taken to be cached are gone.
func (c *Candidate) Risk() float64 {
	risk := min(max(c.Lost, 0), 1)
	if !c.full() || c.Held <= 0 || c.Turnover <= 0 {
		return risk
	}
	// What exceeds the room has been evicted, least recently used first.
	position := float64(c.Age) / float64(c.Turnover)
	gone := (position-c.remaining())/(2*_evictionMargin) + 0.5
	return max(risk, min(max(gone, 0), 1))
}
