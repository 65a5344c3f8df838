package dial

import (
	"context"
	"errors"
	"syscall"
	"time"

	"hornbeamwood/internal/node/tunnel"
	"hornbeamwood/internal/policy/reach"
)

const (
	// checkTunnelAfter is how long the direct attempt of a check may take before a tunnel is tried.
	checkTunnelAfter = 50 * time.Millisecond
	// forgetCheckAfter is how long the outcome of a check is kept.
	forgetCheckAfter = time.Minute
)

// State is how a server can be reached.
type State uint8

const (
	// Reached means that the server can be reached directly.
	Reached State = iota
	// Lost means that the server is gone, or was and has been replaced at its address.
	Lost
	// Hangs means that the server is reached in a tunnel, and direct connections bring nothing.
	Hangs
	// Refuses means that the server is reached in a tunnel, and new direct connections are refused. Older ones may
	// live on.
	Refuses
	// Unknown means that this entry may be cut off without a tunnel.
	Unknown
)

// check is an attempt to find out how a server can be reached.
type check struct {
	began time.Time
	done  chan struct{}
	state State
}

// Check implements Dialer.
func (d *dialer) Check(server, address string, since time.Time) State {
	d.mu.Lock()
	c, ok := d.checks[address]
	if !ok || !c.began.After(since) {
		c = &check{began: time.Now(), done: make(chan struct{})}
		d.forgetChecks(c.began)
		d.checks[address] = c
		go func() {
			c.state = d.newRace(server, address).check()
			close(c.done)
		}()
	}
	d.mu.Unlock()
	<-c.done
	return c.state
}

// forgetChecks removes old checks. The caller holds the lock.
func (d *dialer) forgetChecks(now time.Time) {
	for address, c := range d.checks {
		if now.Sub(c.began) > forgetCheckAfter {
			delete(d.checks, address)
		}
	}
}

// check tries the direct path to its end and, if it fails or takes long, a tunnel.
func (r *race) check() State {
	defer func() { go r.closeRest() }()
	ctx := context.Background()
	r.start(ctx, reach.Direct)
	other := time.NewTimer(checkTunnelAfter)
	defer other.Stop()
	tunnelled := false
	for r.running > 0 {
		select {
		case <-other.C:
			r.start(ctx, reach.Tunnel)
		case x := <-r.results:
			r.running--
			if x.err != nil {
				r.failed[x.path] = x.err
				r.start(ctx, reach.Tunnel)
				continue
			}
			_ = x.conn.Close()
			if x.path == reach.Direct {
				return Reached
			}
			tunnelled = true
		}
	}
	if s := r.state(tunnelled); s != Refuses || !r.restarted(ctx) {
		return s
	}
	return Lost
}

// restarted returns whether the server accepts direct connections now. If it refused them before, it wasn't listening
// then, and the tunnel reached its successor.
func (r *race) restarted(ctx context.Context) bool {
	delete(r.started, reach.Direct)
	r.start(ctx, reach.Direct)
	x := <-r.results
	r.running--
	if x.err != nil {
		return false
	}
	_ = x.conn.Close()
	return true
}

// state returns the state of a server whose direct path failed.
func (r *race) state(tunnelled bool) State {
	refused := errors.Is(r.failed[reach.Direct], syscall.ECONNREFUSED)
	switch {
	case tunnelled && refused:
		return Refuses
	case tunnelled:
		return Hangs
	case errors.Is(r.failure(tunnel.ErrNoPeer), ErrNoPath):
		return Unknown
	}
	return Lost
}
