package qlplace

// ShareRefusals counts the refusals of a customer above its fair share, by the limit that
// the best engine exceeded.
type ShareRefusals struct {
	// Load: no engine was below the load limit.
	Load int
	// Wait: the wait for other requests was too long.
	Wait int
	// Recompute: the wait was too long only with the penalty for shared tokens that
	// engines would have to prefill again.
	Recompute int
}

// TakeShareRefusals returns the refusals of customers above their share since the last
// call, by customer.
func (p *Placer) TakeShareRefusals() map[string]ShareRefusals {
	refusals := p.shareRefusals
	p.shareRefusals = make(map[string]ShareRefusals)
	return refusals
}

func (p *Placer) countShareRefusal(customer string, best *candidate, limits *limits) {
	refusals := p.shareRefusals[customer]
	switch {
	case best.forecast.Load > limits.maxLoad:
		refusals.Load++
	case best.forecast.Wait > limits.maxWait(&best.forecast):
		refusals.Wait++
	default:
		refusals.Recompute++
	}
	p.shareRefusals[customer] = refusals
}
