package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hornbeamwood/internal/node/boottime"
	"hornbeamwood/internal/node/dial"
)

const (
	// replaceTime is the least time from the end of a process to connections to another one at its address.
	replaceTime = 100 * time.Millisecond
	// proofTimeout bounds the time in which the end of a response is to be proved. A server that is full queues the
	// request that is to prove it.
	proofTimeout = time.Second
	// slowProof is the time after which another connection is tried as well: the end of one may be lost on its way.
	slowProof = 50 * time.Millisecond
	// witnessTimeout is how long a witness is kept after it was last needed.
	witnessTimeout = time.Minute
	// anyResource is the target of an OPTIONS request that asks about the server itself.
	anyResource = "*"
	// maxProofBytes bounds the body of a response to a request that was to prove an end.
	maxProofBytes = 64 << 10
)

var (
	// ErrUnproved means that a response without a length ended with its connection, and that its server isn't known to
	// have lived on.
	ErrUnproved = fmt.Errorf("the end of the response isn't proved: %w", io.ErrUnexpectedEOF)
	// ErrGone is the ErrUnproved of a server that refuses connections.
	ErrGone = fmt.Errorf("the server refuses connections: %w", ErrUnproved)
	// ErrUnrelated is the ErrUnproved of a response without another connection that is known to lead to its process.
	ErrUnrelated = fmt.Errorf("no other connection is known to lead to the server's process: %w", ErrUnproved)
	// ErrSilent is the ErrUnproved of a server that doesn't answer on the other connections to its process.
	ErrSilent = fmt.Errorf("the server doesn't answer on another connection: %w", ErrUnproved)
)

// What ends the body of a response, as Framing returns it.
const (
	ByLength     = "length"
	ByChunks     = "chunked"
	ByConnection = "connection"
)

// Framing returns what ends the body of the response: its length, the last chunk, or the end of its connection.
func (x *Exchange) Framing() string {
	switch {
	case x.Response.ContentLength >= 0, x.Response.Body == http.NoBody:
		return ByLength
	case len(x.Response.TransferEncoding) > 0:
		return ByChunks
	}
	return ByConnection
}

// Prove returns an error unless the end of the response, which has been read, is proved: by its length, the last chunk,
// or an answer of its process to a request that was sent afterwards. The exchange ends.
//
// The kernel ends the connections of a killed process in order too, and this process may read such an end much later.
func (x *Exchange) Prove(ctx context.Context) error {
	if x.Framing() != ByConnection {
		return nil
	}
	e := x.ending
	x.ending = nil
	if e == nil {
		return ErrUnproved
	}
	x.Abort()
	return x.client.proveEnd(ctx, x.target, e)
}

// attendEnd prepares for a response that ends with its connection.
func (x *Exchange) attendEnd() {
	if x.Framing() != ByConnection {
		return
	}
	x.ending = &ending{relatedUntil: x.sentAt, proved: make(chan struct{})}
	x.client.attend(x.target, x.ending)
	x.client.keepWitness(x.target, x.timing.Deadline)
}

// ending is a response that ends with its connection. Its times are those of the boot clock. They are guarded by the lock of
// the client.
type ending struct {
	// relatedUntil is a time at which the process that responds was known to live, because it has answered a request
	// that was sent then.
	relatedUntil time.Duration
	// readAt is when the end was read, zero before.
	readAt time.Duration
	proved chan struct{}
}

// related returns whether the connection leads to the process that responds: it was established while that process lived,
// or before another one could have its address.
func (e *ending) related(c *conn) bool {
	return c.openedAt < e.relatedUntil+replaceTime
}

// isProved returns whether the process has answered a request that was sent after the end was read.
func (e *ending) isProved() bool {
	select {
	case <-e.proved:
		return true
	default:
		return false
	}
}

// proof is an attempt to find out whether a server lives: a request on an open connection, or a new connection.
type proof struct {
	began time.Duration
	done  chan struct{}
	// err is why it failed, valid once done is closed.
	err error
}

// running returns whether the attempt has not ended.
func (p *proof) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// finish waits until the connection of the attempt can be used again, unless that takes long.
func (p *proof) finish() {
	timer := time.NewTimer(slowProof)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
	}
}

// slow returns whether the attempt takes so long that another connection is tried as well.
func (p *proof) slow() bool {
	return boottime.Now()-p.began > slowProof
}

// attend adds a response that ends with its connection.
func (l *client) attend(t Target, e *ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool(t).endings[e] = struct{}{}
}

// forget removes a response that ends with its connection.
func (l *client) forget(t Target, e *ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.pools[t.key()]; ok {
		delete(p.endings, e)
	}
}

// recordResponse records that the server has responded on the connection to a request that was sent at that time.
func (l *client) recordResponse(t Target, c *conn, sentAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(t)
	for e := range p.endings {
		switch {
		case !e.related(c):
		case e.readAt != 0 && sentAt >= e.readAt:
			close(e.proved)
			delete(p.endings, e)
		default:
			e.relatedUntil = max(e.relatedUntil, sentAt)
		}
	}
}

// proveEnd returns an error unless the process of a response, whose end has been read, answers a request that is sent now.
func (l *client) proveEnd(ctx context.Context, t Target, e *ending) error {
	readAt := boottime.Now()
	l.mu.Lock()
	e.readAt = readAt
	l.mu.Unlock()
	defer l.forget(t, e)
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	for connected := false; ; {
		p := l.ask(t, e)
		if !connected && (p == nil || p.slow()) {
			connected = true
			if r, ok := l.reconnect(t, readAt); ok {
				p = r
			}
		}
		if p == nil {
			return e.awaitOthers(ctx)
		}
		if err := e.await(ctx, p); e.isProved() {
			p.finish()
			return nil
		} else if err != nil {
			return err
		}
	}
}

// await waits until the end is proved, or the attempt has ended or is slow. It returns an error if the end can't be proved.
func (e *ending) await(ctx context.Context, p *proof) error {
	timer := time.NewTimer(slowProof)
	defer timer.Stop()
	select {
	case <-e.proved:
	case <-timer.C:
	case <-ctx.Done():
		return ErrSilent
	case <-p.done:
		if errors.Is(p.err, dial.ErrRefused) {
			return ErrGone
		}
	}
	return nil
}

// awaitOthers waits for answers to requests of callers while no connection is free to prove the end.
func (e *ending) awaitOthers(ctx context.Context) error {
	timer := time.NewTimer(replaceTime)
	defer timer.Stop()
	select {
	case <-e.proved:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return ErrUnrelated
}

// ask sends a request on an open connection to the process of the response, unless one is under way that isn't slow. It returns
// the last one that is under way, nil if there is none. The ends of many responses share attempts.
func (l *client) ask(t Target, e *ending) *proof {
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.pool(t)
	last := pool.proof
	if last != nil && !last.running() {
		last = nil
	}
	if last != nil && !last.slow() {
		return last
	}
	c := pool.takeRelated(e)
	if c == nil {
		return last
	}
	p := &proof{began: boottime.Now(), done: make(chan struct{})}
	pool.proof = p
	go func() {
		defer close(p.done)
		p.err = l.probe(t, c)
	}()
	return p
}

// takeRelated removes and returns an open connection without a request that leads to the process of the response, nil if there
// is none. The caller holds the lock.
func (p *pool) takeRelated(e *ending) *conn {
	if c := p.witness; c != nil && e.related(c) {
		p.witness = nil
		if c.quiet() {
			return c
		}
		p.remove(c)
	}
	for i := 0; i < len(p.idle); {
		c := p.idle[i]
		if !e.related(c) {
			i++
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		if c.quiet() {
			return c
		}
		p.remove(c)
	}
	return nil
}

// probe sends a request that costs the server no work and reads its response.
func (l *client) probe(t Target, c *conn) error {
	m := Message{Method: http.MethodGet, Target: t.ProbePath, Host: t.Address, Header: http.Header{}}
	if t.ProbePath == "" {
		m.Method, m.Target = http.MethodOptions, anyResource
	}
	x := &Exchange{client: l, target: t, conn: c, method: m.Method, timing: Timing{Deadline: time.Now().Add(proofTimeout)}, stopWatch: func() bool { return true }}
	defer x.Close()
	if _, err := x.start(m); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, x, maxProofBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// reconnect returns the last attempt to connect that began after the end was read, and makes it if there is none. It returns
// false if there is no slot for it. A process that ends may still accept connections for a moment.
func (l *client) reconnect(t Target, readAt time.Duration) (*proof, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.pool(t)
	if p := pool.reconnection; p != nil && p.began >= readAt {
		return p, true
	}
	if !pool.occupy(t) {
		return nil, false
	}
	p := &proof{began: boottime.Now() + checkDelay, done: make(chan struct{})}
	pool.reconnection = p
	go func() {
		defer close(p.done)
		time.Sleep(checkDelay)
		p.err = l.connect(t, time.Now().Add(proofTimeout))
	}()
	return p, true
}

// keepWitness establishes a witness of the server if there is none.
func (l *client) keepWitness(t Target, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(t)
	p.neededAt = time.Now()
	l.ensureWitness(t, p, deadline)
}

// renewWitness is keepWitness for a server that has needed one lately.
func (l *client) renewWitness(t Target, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.pool(t); p.needsWitness(time.Now()) {
		l.ensureWitness(t, p, deadline)
	}
}

// ensureWitness establishes a witness if there is none that is open. The caller holds the lock.
func (l *client) ensureWitness(t Target, p *pool, deadline time.Time) {
	if p.witness != nil && !p.witness.quiet() {
		p.remove(p.witness)
		p.witness = nil
	}
	// The last slot is left for requests.
	spare := t.MaxConnections == 0 || p.open+1 < t.MaxConnections
	if p.witness == nil && !p.opening && spare && p.occupy(t) {
		p.opening = true
		go func() {
			// Without a witness fewer ends are proved.
			_ = l.connect(t, deadline)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.pool(t).opening = false
		}()
	}
}

// needsWitness returns whether a response that ended with its connection was lately read.
func (p *pool) needsWitness(now time.Time) bool {
	return now.Sub(p.neededAt) < witnessTimeout
}

// connect establishes a connection in a slot that is reserved, as the witness or for the next request.
func (l *client) connect(t Target, deadline time.Time) error {
	c, err := l.dial(context.Background(), t, deadline)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(t)
	switch {
	case p.witness == nil:
		p.witness = c
	case c.tunnelled, len(p.idle) >= maxIdleConnections:
		p.remove(c)
	default:
		c.lend()
		p.idle = append(p.idle, c)
	}
	return nil
}
