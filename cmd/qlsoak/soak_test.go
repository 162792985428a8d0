package main

import "testing"

// TestSoaksSideBySideShareNoAddresses guards against callers of one run that reach the
// routers of another one.
func TestSoaksSideBySideShareNoAddresses(t *testing.T) {
	blocks := make(map[int]bool)
	for range 8 {
		block, claim, err := claimBlock()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = claim.Close() }()
		if blocks[block] {
			t.Errorf("block %d was claimed twice", block)
		}
		blocks[block] = true
	}
}
