package dial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/node/tcp"
	"hornbeamwood/internal/node/tunnel"
	"hornbeamwood/internal/policy/reach"
)

// timeout bounds the establishment of a connection. A handshake takes milliseconds; if a packet is lost it is resent
// after a second, when another server has already responded.
const timeout = 400 * time.Millisecond

var (
	// ErrRefused means that no process listens at the server's address.
	ErrRefused = errors.New("dial: the connection was refused")
	// ErrUnreachable means that the server can't be reached.
	ErrUnreachable = errors.New("dial: the server is unreachable")
	// ErrNoPath means that this entry may be cut off, so that the failure says nothing about the server.
	ErrNoPath = errors.New("dial: no path leads to the server")
)

// Tunnel connects through another entry. Its errors wrap those of package tunnel.
type Tunnel interface {
	// Dial connects to a server.
	Dial(ctx context.Context, server, address string) (net.Conn, error)
}

// Config is the configuration of a Dialer.
type Config struct {
	// Direct connects to a server directly; tcp.Dial if it is nil.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Tunnel connects through another entry; nil for none.
	Tunnel Tunnel
	// Paths holds what is known of the paths.
	Paths reach.Paths
	// Logger receives the log events; nil disables them.
	Logger log.Interface
}

// Dialer connects to servers.
type Dialer interface {
	// Dial connects to a server. Its errors wrap ErrRefused, ErrUnreachable or ErrNoPath.
	Dial(ctx context.Context, server, address string) (net.Conn, error)
	// Check returns how the server can be reached after a connection to it has failed or brought nothing. Calls for
	// the same server share an attempt that began later than since.
	Check(server, address string, since time.Time) State
	// Close ends the probes of servers that are cut off. Connections stay open.
	Close()
}

type dialer struct {
	Config
	mu     sync.Mutex
	checks map[string]*check
	stop   context.CancelFunc
	probes sync.WaitGroup
}

// New returns a Dialer.
func New(c Config) Dialer {
	if c.Direct == nil {
		c.Direct = tcp.Dial
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &dialer{Config: c, checks: map[string]*check{}, stop: stop}
	if c.Tunnel != nil {
		// Without tunnels no server counts as cut off.
		d.probes.Go(func() { d.probe(ctx) })
	}
	return d
}

// Close implements Dialer.
func (d *dialer) Close() {
	d.stop()
	d.probes.Wait()
}

// result is the outcome of one attempt.
type result struct {
	path reach.Path
	conn net.Conn
	err  error
}

// race is one connection that is being established.
type race struct {
	*dialer
	server, address string
	results         chan result
	// started and failed are the paths that were tried, and the errors of those that failed. running counts the
	// attempts whose results weren't received.
	started map[reach.Path]bool
	failed  map[reach.Path]error
	running int
}

// Dial implements Dialer.
func (d *dialer) Dial(ctx context.Context, server, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	plan := d.Paths.Plan(address, time.Now())
	r := d.newRace(server, address)
	c, err := r.run(ctx, plan)
	go r.closeRest()
	return c, err
}

func (d *dialer) newRace(server, address string) *race {
	return &race{dialer: d, server: server, address: address, results: make(chan result, 2), started: map[reach.Path]bool{}, failed: map[reach.Path]error{}}
}

// run tries the paths until one has connected or both have failed.
func (r *race) run(ctx context.Context, plan reach.Plan) (net.Conn, error) {
	if r.Tunnel == nil {
		plan = reach.Plan{First: reach.Direct, Other: timeout}
	}
	r.start(ctx, plan.First)
	other := time.NewTimer(plan.Other)
	defer other.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, r.failure(ctx.Err())
		case <-other.C:
			r.start(ctx, otherPath(plan.First))
		case x := <-r.results:
			r.running--
			if x.err == nil {
				return x.conn, nil
			}
			r.failed[x.path] = x.err
			r.start(ctx, otherPath(x.path))
			if r.running == 0 {
				return nil, r.failure(x.err)
			}
		}
	}
}

func otherPath(p reach.Path) reach.Path {
	if p == reach.Direct {
		return reach.Tunnel
	}
	return reach.Direct
}

// start tries a path, once. The attempt isn't cancelled when the other path has connected, because its outcome
// tells whether this entry is cut off.
func (r *race) start(ctx context.Context, p reach.Path) {
	if r.started[p] || p == reach.Tunnel && r.Tunnel == nil {
		return
	}
	r.started[p] = true
	r.running++
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	go func() {
		defer cancel()
		began := time.Now()
		x := result{path: p}
		if p == reach.Direct {
			x.conn, x.err = r.Direct(ctx, r.address)
		} else {
			x.conn, x.err = r.Tunnel.Dial(ctx, r.server, r.address)
		}
		r.record(reach.Attempt{Server: r.server, Address: r.address, Path: p, Outcome: outcomeOf(x), Began: began, Ended: time.Now()})
		r.results <- x
	}()
}

// outcomeOf classifies the result. Another entry that doesn't answer in time is no other entry to ask.
func outcomeOf(x result) reach.Outcome {
	switch {
	case x.err == nil:
		return reach.Connected
	case errors.Is(x.err, syscall.ECONNREFUSED), errors.Is(x.err, tunnel.ErrRefused):
		return reach.Refused
	case x.path == reach.Direct, errors.Is(x.err, tunnel.ErrUnreachable):
		return reach.Failed
	}
	return reach.NoPeer
}

func (d *dialer) record(a reach.Attempt) {
	f := log.Fields{"server": a.Server, "address": a.Address}
	switch d.Paths.Record(a) {
	case reach.CutOff:
		event.ServerCutOff.Write(d.Logger, f)
	case reach.Regained:
		event.ServerRegained.Write(d.Logger, f)
	}
}

// failure returns the error for what the paths have shown.
func (r *race) failure(cause error) error {
	direct, tunnelled := r.failed[reach.Direct], r.failed[reach.Tunnel]
	reason := ErrUnreachable
	switch {
	case errors.Is(tunnelled, tunnel.ErrRefused):
		reason = ErrRefused
	case errors.Is(tunnelled, tunnel.ErrUnreachable):
	case r.Tunnel != nil && !r.Paths.OnlyOne(r.address, time.Now()):
		reason = ErrNoPath
	case errors.Is(direct, syscall.ECONNREFUSED):
		reason = ErrRefused
	}
	return fmt.Errorf("%w: %w", reason, cause)
}

// closeRest closes the connections that are established too late.
func (r *race) closeRest() {
	for range r.running {
		if x := <-r.results; x.conn != nil {
			_ = x.conn.Close()
		}
	}
}

// Via returns the address of the entry through which the connection leads, empty if it is direct.
func Via(c net.Conn) string {
	if t, ok := c.(interface{ Via() string }); ok {
		return t.Via()
	}
	return ""
}
