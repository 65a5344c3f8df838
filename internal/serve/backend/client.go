package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/dial"
	"hornbeamwood/internal/policy/reach"
)

const (
	// maxIdleConnections bounds the idle connections to one server.
	maxIdleConnections = 64
	// sweepInterval is the interval at which connections that have been idle for too long are
	// closed.
	sweepInterval = time.Second
	// checkDelay is how long after a connection broke the server is checked. A process that ends
	// may still accept connections for a moment.
	checkDelay = 20 * time.Millisecond
)

// Dialer connects to servers.
type Dialer interface {
	// Dial connects to a server. Its errors wrap those of package dial.
	Dial(ctx context.Context, server, address string) (net.Conn, error)
	// Check returns how the server can be reached, from an attempt that began later than since.
	Check(server, address string, since time.Time) dial.State
}

// Paths holds what is known of the paths to servers.
type Paths interface {
	// Received records that bytes came from the server on a direct connection.
	Received(address string, now time.Time)
	// ReceivedSince returns whether the server has been reached directly since then.
	ReceivedSince(address string, since time.Time) bool
	// Silent records that a direct connection has brought nothing since then, although the server
	// can be reached in a tunnel.
	Silent(address string, since time.Time)
	// Hangs returns whether a direct connection on which nothing came since then hangs.
	Hangs(address string, since time.Time) bool
	// RefusedAt returns when a connection to the server was last refused, zero if that never happened or the server was
	// reached in a tunnel instead.
	RefusedAt(address string) time.Time
	// Trusted returns whether a request may be sent on an idle direct connection on which bytes
	// last came at receivedAt.
	Trusted(address string, receivedAt time.Time) bool
}

// Config is the configuration of a Client.
type Config struct {
	// Belongs returns whether a response belongs to the attempt; one that does not is skipped.
	Belongs func(attempt string, h http.Header) bool
	// OnDial, if set, is called for each new connection.
	OnDial func()
	// Dialer connects to servers; directly if it is nil.
	Dialer Dialer
	// Paths are the paths that the Dialer uses; nil without a Dialer.
	Paths Paths
}

// Client sends requests to servers.
type Client interface {
	// Send writes the message once and returns the head of the response; a failure is an *Error.
	//
	// When ctx ends, the connection is closed, which makes most servers drop the request.
	Send(ctx context.Context, t Target, attempt string, m Message, timing Timing) (*Exchange, error)
	// CutOff returns whether this process, not the server, has lost the connections to the server
	// that broke at lostAt.
	CutOff(t Target, lostAt time.Time) bool
	// Hangs returns whether a direct connection to the server, on which nothing came since then, hangs
	// because this process is cut off.
	Hangs(t Target, since time.Time) bool
	// RefusedAt returns when a connection to the server was last refused, also one that was to prove an end or to check
	// a path; zero if that never happened or only the direct path was refused.
	RefusedAt(t Target) time.Time
	// Close closes the idle connections.
	Close()
}

type client struct {
	config Config
	mu     sync.Mutex
	pools  map[poolKey]*pool
	done   chan struct{}
}

// pool holds the connections to one incarnation of a server.
type pool struct {
	idle []*conn
	// open counts all connections, also those that are being established.
	open int
	// witness is a connection for requests that are to prove that the server lives, nil for none. neededAt
	// is when it was last needed, opening whether it is being established.
	witness  *conn
	neededAt time.Time
	opening  bool
	// endings are the responses that end with their connections and whose ends haven't been proved.
	endings map[*ending]struct{}
	// proof is the last request that was to prove the end of a response, reconnection the last connection that was
	// established to find out whether the server lives; nil for none.
	proof, reconnection *proof
}

// New returns a Client.
func New(c Config) Client {
	if c.Dialer == nil {
		p := reach.New()
		c.Dialer, c.Paths = dial.New(dial.Config{Paths: p}), p
	}
	l := &client{config: c, pools: map[poolKey]*pool{}, done: make(chan struct{})}
	go func() {
		t := time.NewTicker(sweepInterval)
		defer t.Stop()
		for {
			select {
			case <-l.done:
				return
			case <-t.C:
				l.sweep(time.Now())
			}
		}
	}()
	return l
}

// Close implements Client.
func (l *client) Close() {
	close(l.done)
	l.sweep(time.Now().Add(time.Hour))
}

// sweep closes connections that the server may close soon.
func (l *client) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, p := range l.pools {
		valid := p.idle[:0]
		for _, c := range p.idle {
			if now.Before(c.reusableUntil) && l.config.Paths.Trusted(c.address, c.heardAt) {
				valid = append(valid, c)
				continue
			}
			p.remove(c)
		}
		p.idle = valid
		if p.witness != nil && !(p.needsWitness(now) && p.witness.quiet()) {
			p.remove(p.witness)
			p.witness = nil
		}
		if p.open == 0 && len(p.endings) == 0 {
			delete(l.pools, k)
		}
	}
}

// Send implements Client.
func (l *client) Send(ctx context.Context, t Target, attempt string, m Message, timing Timing) (*Exchange, error) {
	for {
		c, err := l.acquire(ctx, t, timing.Deadline)
		if err != nil {
			return nil, err
		}
		if m.MaySend != nil && !m.MaySend() {
			l.discard(t, c)
			return nil, &Error{Verdict: verdict.NotRun, Reason: Withheld, Cause: errors.New("the message isn't to be sent any more")}
		}
		l.renewWitness(t, timing.Deadline)
		x := &Exchange{client: l, target: t, conn: c, method: m.Method, attempt: attempt, timing: timing}
		x.stopWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
		retry, err := x.startWatched(m)
		if err == nil {
			return x, nil
		}
		x.Abort()
		if ctx.Err() != nil {
			return nil, &Error{Verdict: verdictOf(err), Reason: Cancelled, Cause: ctx.Err()}
		}
		if !retry {
			return nil, err
		}
	}
}

func verdictOf(err error) verdict.Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return verdict.MayHaveRun
}

// acquire returns an idle connection or a new one.
func (l *client) acquire(ctx context.Context, t Target, deadline time.Time) (*conn, error) {
	for {
		c, err := l.reserve(t)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return l.dial(ctx, t, deadline)
		}
		if l.config.Paths.Trusted(c.address, c.heardAt) && c.clean() {
			return c, nil
		}
		l.discard(t, c)
	}
}

// reserve removes and returns the idle connection that was used last. If there is none, it
// reserves a slot for a new connection and returns nil, or the witness if there is no slot.
func (l *client) reserve(t Target) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(t)
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.occupy(t) {
		return nil, nil
	}
	c := p.witness
	if c == nil {
		return nil, &Error{Verdict: verdict.NotRun, Reason: Saturated, Cause: errors.New("all connections to the server are in use")}
	}
	p.witness = nil
	c.lend()
	return c, nil
}

// pool returns the pool of a server. The caller holds the lock.
func (l *client) pool(t Target) *pool {
	p, ok := l.pools[t.key()]
	if !ok {
		p = &pool{endings: map[*ending]struct{}{}}
		l.pools[t.key()] = p
	}
	return p
}

// occupy reserves a slot for a new connection and returns false if there is none.
func (p *pool) occupy(t Target) bool {
	if t.MaxConnections > 0 && p.open >= t.MaxConnections {
		return false
	}
	p.open++
	return true
}

func (l *client) dial(ctx context.Context, t Target, deadline time.Time) (*conn, error) {
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if l.config.OnDial != nil {
		l.config.OnDial()
	}
	c, err := l.config.Dialer.Dial(dialCtx, t.ID, t.Address)
	if err != nil {
		l.releaseSlot(t)
		reason := dialReason(err)
		if ctx.Err() != nil {
			reason = Cancelled
		}
		return nil, &Error{Verdict: verdict.NotRun, Reason: reason, Cause: err}
	}
	return newConn(c, t.Address, l.config.Paths), nil
}

func dialReason(err error) Reason {
	switch {
	case errors.Is(err, dial.ErrRefused):
		return Refused
	case errors.Is(err, dial.ErrNoPath):
		return NoPath
	}
	return Unreachable
}

// Hangs implements Client.
func (l *client) Hangs(t Target, since time.Time) bool {
	return l.config.Paths.Hangs(t.Address, since)
}

// RefusedAt implements Client.
func (l *client) RefusedAt(t Target) time.Time {
	return l.config.Paths.RefusedAt(t.Address)
}

// CutOff implements Client.
func (l *client) CutOff(t Target, lostAt time.Time) bool {
	time.Sleep(time.Until(lostAt.Add(checkDelay)))
	switch l.config.Dialer.Check(t.ID, t.Address, lostAt) {
	case dial.Hangs, dial.Refuses, dial.Unknown:
		return true
	}
	return false
}

// put returns a connection to the pool after a complete response.
func (l *client) put(t Target, c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pools[t.key()]
	switch {
	case !ok:
		_ = c.Close()
	case p.witness == nil && p.needsWitness(time.Now()):
		p.witness = c
	case len(p.idle) >= maxIdleConnections:
		p.remove(c)
	default:
		p.idle = append(p.idle, c)
	}
}

// discard closes a connection and releases its slot.
func (l *client) discard(t Target, c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.pools[t.key()]; ok {
		p.remove(c)
		return
	}
	_ = c.Close()
}

// remove closes a connection and releases its slot.
func (p *pool) remove(c *conn) {
	_ = c.Close()
	p.open--
}

func (l *client) releaseSlot(t Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.pools[t.key()]; ok {
		p.open--
	}
}
