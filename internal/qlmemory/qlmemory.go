// Package qlmemory accounts for the bytes that a process holds for all of its connections.
//
// A limit on each connection's bytes does not bound their sum: hundreds of connections that each
// stay just below their own limit use up a small VM's memory. What is held beyond a small
// allowance is reserved from an account, which bounds the sum.
//
// # Usage
//
//	account := qlmemory.NewAccount(28 << 20)
//	holding := account.NewHolding(16 << 10)
//	defer holding.Release()
//	err := holding.Set(len(received)) // ErrUsedUp if the account has no room for it
package qlmemory

import (
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrUsedUp is returned if the account has no room for further bytes.
const ErrUsedUp = errors.ConstError("the memory for this is used up")

// Account bounds the bytes of all of its holdings. It is safe for concurrent use.
type Account struct {
	limit int64
	used  atomic.Int64
}

// NewAccount returns an account for at most so many bytes; 0 means no limit.
func NewAccount(limit int64) *Account {
	return &Account{
		limit: limit,
	}
}

// Used returns the reserved bytes.
func (a *Account) Used() int64 {
	return a.used.Load()
}

// reserve reserves bytes and reports false if there is no room for them.
func (a *Account) reserve(bytes int64) bool {
	if a.used.Add(bytes) > a.limit && a.limit > 0 {
		a.used.Add(-bytes)
		return false
	}
	return true
}

// NewHolding returns a holding of which the first bytes, up to the allowance, are not reserved.
func (a *Account) NewHolding(allowance int) *Holding {
	return &Holding{
		account:   a,
		allowance: int64(allowance),
	}
}

// Holding is what one user holds. It is for one goroutine.
type Holding struct {
	account   *Account
	allowance int64
	held      int64
	reserved  int64
}

// Set sets the bytes that are held. If the account has no room for them, it returns ErrUsedUp and
// changes nothing.
func (h *Holding) Set(bytes int) error {
	reserved := max(int64(bytes)-h.allowance, 0)
	more := reserved - h.reserved
	switch {
	case more > 0 && !h.account.reserve(more):
		return errors.Trace(ErrUsedUp)
	case more < 0:
		h.account.used.Add(more)
	}
	h.held, h.reserved = int64(bytes), reserved
	return nil
}

// Add changes the bytes that are held, as Set.
func (h *Holding) Add(bytes int) error {
	return h.Set(int(h.held) + bytes)
}

// Release gives all bytes back.
func (h *Holding) Release() {
	h.account.used.Add(-h.reserved)
	h.held, h.reserved = 0, 0
}
