package qlposition

import "testing"

// TestPositionsAreOrderedByEraFirst guards against a revision that counts as later although
// the store has been restored since.
func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	at := func(era, revision uint64) Position {
		return Position{
			Era:      era,
			Revision: revision,
		}
	}
	ordered := []Position{{}, at(0, 7), at(1, 0), at(1, 9), at(2, 1), at(2, 9), at(3, 0)}
	for i, p := range ordered {
		for j, other := range ordered {
			if got, want := p.Before(other), i < j; got != want {
				t.Errorf("%v before %v: got %v, want %v", p, other, got, want)
			}
			if got, want := p.After(other), i > j; got != want {
				t.Errorf("%v after %v: got %v, want %v", p, other, got, want)
			}
			if got, want := p.Max(other), ordered[max(i, j)]; got != want {
				t.Errorf("later of %v and %v: got %v, want %v", p, other, got, want)
			}
		}
	}
}
