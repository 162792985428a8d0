package qlfair

// A customer's limit on requests in flight applies to the whole fleet. The
// customer's usage home leases the limit to the dispatchers that need it. Half of
// a high limit is not leased: each dispatcher may use its allowance of that half
// without asking anyone. This saves asking the home for nearly all requests, and
// service continues while the home cannot be reached. A low limit is leased as a
// whole, because only a few dispatchers would have an unleased allowance of it
// and the others could not use that. The allowances of all dispatchers and the
// leasable rest add up to the limit.

// _minLimitPerDispatcher is the limit per dispatcher from which on half of the
// limit is left unleased.
const _minLimitPerDispatcher = 4

// unleasedTotal returns the part of the limit that all dispatchers together may
// use without asking the usage home.
func unleasedTotal(limit, dispatchers int) int {
	if limit >= _minLimitPerDispatcher*dispatchers {
		return limit / 2
	}
	return 0
}

// UnleasedAllowance returns the part of the limit that the dispatcher of a rank
// may use without asking the usage home. Ranks begin at 0.
func UnleasedAllowance(limit, rank, dispatchers int) int {
	if dispatchers <= 0 {
		return limit
	}
	total := unleasedTotal(limit, dispatchers)
	allowance := total / dispatchers
	if rank < total%dispatchers {
		allowance++
	}
	return allowance
}

// Leasable returns the part of the limit that the customer's usage home may
// lease.
func Leasable(limit, dispatchers int) int {
	if dispatchers <= 0 {
		return 0
	}
	return limit - unleasedTotal(limit, dispatchers)
}
