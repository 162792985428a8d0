package qlfair

// A customer's bound on requests in flight is lent by its usage home to the
// dispatchers that need it. Half of a large bound is free instead: each
// dispatcher may use its share of that without asking anyone, which saves the
// question for nearly all requests and lets service go on when the home cannot
// be reached. Of a low bound only a few dispatchers would have a share, and the
// others could not use it, so it is lent whole. The shares of all dispatchers
// and the rest add up to the bound.

// _plenty is how many times the number of dispatchers a bound must be for half
// of it to be free.
const _plenty = 4

// free returns what of the bound dispatchers may use without asking.
func free(bound, dispatchers int) int {
	if bound >= _plenty*dispatchers {
		return bound / 2
	}
	return 0
}

// UnleasedAllowance returns what the dispatcher of a rank may use without asking; the
// ranks begin at 0.
func UnleasedAllowance(bound, rank, dispatchers int) int {
	if dispatchers <= 0 {
		return bound
	}
	whole := free(bound, dispatchers)
	share := whole / dispatchers
	if rank < whole%dispatchers {
		share++
	}
	return share
}

// Leasable returns what the customer's usage home may lend.
func Leasable(bound, dispatchers int) int {
	if dispatchers <= 0 {
		return 0
	}
	return bound - free(bound, dispatchers)
}
