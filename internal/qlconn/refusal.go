package qlconn

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"
)

func (p *Pool) recordRefusal(address string, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostPool(address).refusedAt = time.Now()
}

// _refusalTimeout is the wait for a refusal. It is above the usual time limit of dials,
// since a VM that lags notices a refusal late.
const _refusalTimeout = time.Second

// Refuses reports whether the upstream at the address refuses connections, as one does
// whose process has ended. It doesn't ask if the upstream has refused one since that time, or
// if this process may open no connection.
// A connection that it accepts instead is kept for the next request.
func (p *Pool) Refuses(ctx context.Context, address string, since time.Time) bool {
	p.mu.Lock()
	host := p.hostPool(address)
	if host.refusedAt.After(since) {
		p.mu.Unlock()
		return true
	}
	reserved := p.reserve(host)
	p.mu.Unlock()
	if !reserved {
		return false
	}
	c, err := p.dial(ctx, address, _refusalTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.putIdle(c)
	return false
}
