package qladmission_test

import (
	"math/rand/v2"
	"slices"
	"time"
)

// modelClock runs events in the order of their times. What happens depends on the seed only.
type modelClock struct {
	now    time.Duration
	random *rand.Rand
	events eventHeap
	// added numbers events, so that those of the same time run in the order of their planning.
	added uint64
}

// modelEvent is what happens at a time.
type modelEvent struct {
	at     time.Duration
	number uint64
	run    func()
}

func newModelClock(seed uint64) *modelClock {
	return &modelClock{
		random: rand.New(rand.NewPCG(seed, 37)),
	}
}

// after plans an event.
func (c *modelClock) after(delay time.Duration, run func()) {
	c.added++
	c.events.push(modelEvent{
		at:     c.now + max(delay, 0),
		number: c.added,
		run:    run,
	})
}

// every runs an event at each multiple of the interval, from a random phase on.
func (c *modelClock) every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		c.after(interval, again)
	}
	c.after(time.Duration(c.random.Float64()*float64(interval)), again)
}

// runUntil runs all events up to the time.
func (c *modelClock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		event := c.events.pop()
		c.now = event.at
		event.run()
	}
	c.now = end
}

// between returns a random time from the first to the last one.
func (c *modelClock) between(first, last time.Duration) time.Duration {
	return first + time.Duration(c.random.Float64()*float64(last-first))
}

// eventHeap is a binary heap: an event is before those at twice its index plus 1 and 2.
type eventHeap []modelEvent

func (h eventHeap) isBefore(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
}

func (h *eventHeap) push(event modelEvent) {
	*h = append(*h, event)
	events := *h
	for i := len(events) - 1; i > 0 && events.isBefore(i, (i-1)/2); i = (i - 1) / 2 {
		events[i], events[(i-1)/2] = events[(i-1)/2], events[i]
	}
}

func (h *eventHeap) pop() modelEvent {
	events := *h
	first, last := events[0], len(events)-1
	events[0] = events[last]
	events[last] = modelEvent{}
	events = events[:last]
	*h = events
	for i := 0; 2*i+1 < last; {
		next := 2*i + 1
		if next+1 < last && events.isBefore(next+1, next) {
			next++
		}
		if !events.isBefore(next, i) {
			break
		}
		events[i], events[next] = events[next], events[i]
		i = next
	}
	return first
}

// modelProcessor does work in the order of its arrival, one thing at a time.
type modelProcessor struct {
	clock *modelClock
	// cores is its capacity: work takes its time of a core, divided by it.
	cores   float64
	queue   []modelWork
	working bool
}

// modelWork is work that takes a time of a core.
type modelWork struct {
	time time.Duration
	done func()
}

// do queues work.
func (p *modelProcessor) do(work time.Duration, done func()) {
	p.queue = append(p.queue, modelWork{
		time: work,
		done: done,
	})
	if !p.working {
		p.next()
	}
}

// doNext puts work before what is queued. It is called by work that has just been done.
func (p *modelProcessor) doNext(work time.Duration, done func()) {
	p.queue = slices.Insert(p.queue, 0, modelWork{
		time: work,
		done: done,
	})
}

func (p *modelProcessor) next() {
	if p.working = len(p.queue) > 0; !p.working {
		p.queue = nil
		return
	}
	work := p.queue[0]
	p.queue[0] = modelWork{}
	p.queue = p.queue[1:]
	p.clock.after(time.Duration(float64(work.time)/p.cores), func() {
		work.done()
		p.next()
	})
}
