package qloffload

import "time"

// _delayWindow is for how long the least difference of two clocks is kept. Their drift is small
// meanwhile.
const _delayWindow = 30 * time.Second

// delayMeter estimates how long frames wait on a link beyond the time of the path: in queues,
// in sockets, and in a process that does not run. The clocks at its ends differ by a time that
// nobody knows; the frame with the least difference has not waited.
type delayMeter struct {
	begun bool
	// current is the least difference since rotatedAt, previous that of the window before.
	current   time.Duration
	previous  time.Duration
	rotatedAt time.Duration
}

// observe returns how long a frame has waited that was sent at a time of the sender's clock and
// comes now.
func (m *delayMeter) observe(now, sentAt time.Duration) time.Duration {
	difference := now - sentAt
	switch {
	case !m.begun:
		m.begun, m.rotatedAt = true, now
		m.current, m.previous = difference, difference
	case now-m.rotatedAt >= _delayWindow:
		m.previous, m.current, m.rotatedAt = m.current, difference, now
	default:
		m.current = min(m.current, difference)
	}
	return max(difference-min(m.current, m.previous), 0)
}
