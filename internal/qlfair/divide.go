package qlfair

// A customer's bound on requests in flight is divided over the fleet in two. A
// part of it is free: each dispatcher may use its share of that without asking
// anyone, so that service goes on when the customer's usage home cannot be
// reached. The rest is lent by the home to those that need it. The shares of all
// dispatchers and the rest add up to the bound.
const (
	// _plenty is how many times the number of dispatchers a bound must be to
	// be worth dividing in halves. Of a lower one most shares would lie idle,
	// so little of it is free.
	_plenty     = 4
	_freeHalf   = 2
	_freeEighth = 8
)

// free returns the part of the bound that dispatchers may use without asking.
func free(bound, dispatchers int) int {
	if bound >= _plenty*dispatchers {
		return bound / _freeHalf
	}
	return bound / _freeEighth
}

// FreeShare returns what the dispatcher of a rank may use without asking; the
// ranks begin at 0.
func FreeShare(bound, rank, dispatchers int) int {
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

// Lendable returns what the customer's usage home may lend.
func Lendable(bound, dispatchers int) int {
	if dispatchers <= 0 {
		return 0
	}
	return bound - free(bound, dispatchers)
}
