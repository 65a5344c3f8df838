package inbound

import (
	"net"
	"sync"
	"time"
)

// phase is the state of a connection.
type phase int

const (
	// phaseIdle connections wait for the first byte of a request.
	phaseIdle phase = iota
	// phaseHeader connections have received a part of a request's head.
	phaseHeader
	// phaseBody connections have a request whose body is being read.
	phaseBody
	// phaseServing connections have a request whose response isn't complete.
	phaseServing
	// phaseRefused connections have a response to a request whose head or body isn't read whole.
	phaseRefused
)

const (
	// progressBytes is how many bytes a client must move within Bounds.StallTime to count as making progress.
	progressBytes = 4 << 10
	// pieceBytes is the size of the pieces in which an answer is written, each of which is progress.
	pieceBytes = 16 << 10
)

// conn is a connection of a client.
//
// The HTTP server regards a connection as idle until it has read all headers of a request. If idle connections
// are closed while headers are being read, that request is still handled, but its caller never gets the
// response. Here the first byte decides: a connection is either closed and never read again, or it stays open.
type conn struct {
	net.Conn
	server *server
	// held is what is reserved for the connection, guarded by the lock of the account.
	held int64

	mu    sync.Mutex
	phase phase
	// since is when the phase began, unless the connection is served.
	since time.Time
	// acceptedAt is when the connection was accepted. asked is set once the head of its first request has been read.
	acceptedAt time.Time
	asked      bool
	// progressAt is when progressBytes had been moved last, moved what was moved since.
	progressAt time.Time
	moved      int
	// writingSince is when the client last took a piece of the answer that is being written, zero if none is.
	writingSince time.Time
	// waiting is set while the connection waits for memory. It isn't read then.
	waiting bool
	closed  bool
	// interrupted is why no more of the body is read.
	interrupted error
	// bodyDeadline is when the body that is being read must have arrived. bodyHandled is set once the handler has read or
	// refused the body, bodyRefused once it has refused it.
	bodyDeadline time.Time
	bodyHandled  bool
	bodyRefused  bool
	// head is the head that is being read.
	head head
}

// enter records that the connection waits for its client in another phase.
func (c *conn) enter(p phase) {
	now := time.Now()
	c.phase, c.since, c.progressAt, c.moved = p, now, now, 0
}

func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(phaseIdle)
}

// setServing records that a request's head has been read.
func (c *conn) setServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.asked, c.bodyHandled, c.bodyRefused = phaseServing, true, false, false
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	large, cost := false, int64(0)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.progress(n)
		if c.phase == phaseHeader {
			cost = c.head.add(b[:n])
			large = c.head.exceeds(c.server.config.Limits)
		}
	}
	c.mu.Unlock()
	if large {
		c.refuseHead()
		return 0, net.ErrClosed
	}
	if cost > 0 && c.server.account.reserve(c, cost, time.Now().Add(headMemoryTime)) != nil {
		c.close()
		return 0, net.ErrClosed
	}
	return n, err
}

// progress records that bytes were moved.
func (c *conn) progress(n int) {
	if c.phase == phaseIdle {
		c.enter(phaseHeader)
		c.head = head{}
	}
	if c.moved += n; c.moved >= progressBytes {
		c.moved, c.progressAt = 0, time.Now()
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	defer c.endWriting()
	for {
		c.setWriting(time.Now())
		n, err := c.Conn.Write(b[written:min(len(b), written+pieceBytes)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *conn) setWriting(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = t
}

func (c *conn) endWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Time{}
	if c.bodyRefused && c.phase == phaseServing {
		c.enter(phaseRefused)
	}
}

// CloseWrite closes the connection for writing, so that a client reads an answer before the connection is closed. The HTTP
// server sleeps then, which no close of the connection ends.
func (c *conn) CloseWrite() error {
	c.endRefused()
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. Reading that was interrupted stays so.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) setHeadRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(phaseRefused)
}

func (c *conn) endRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRefused {
		c.phase = phaseServing
	}
}

func (c *conn) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
	c.progressAt, c.moved = time.Now(), 0
}

// beginBody records that a body is read until the deadline.
func (c *conn) beginBody(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(phaseBody)
	c.bodyDeadline, c.bodyHandled = deadline, true
}

// endBody records that no more of a body is read. It returns why, nil if it wasn't interrupted.
func (c *conn) endBody() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseServing
	return c.interrupted
}

func (c *conn) isBodyHandled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodyHandled
}

func (c *conn) setBodyRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyHandled, c.bodyRefused = true, true
}

// stalled returns for how long the client has made no progress, zero unless the process waits for it during a request.
func (c *conn) stalled(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed, c.interrupted != nil, c.waiting:
		return 0
	case c.phase == phaseHeader, c.phase == phaseBody:
		return now.Sub(c.progressAt)
	case c.phase == phaseServing && !c.writingSince.IsZero():
		return now.Sub(c.writingSince)
	}
	return 0
}

// isEnding returns whether the connection is about to release what it holds.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.interrupted != nil
}

// isReceiving returns whether a request is being read.
func (c *conn) isReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.interrupted == nil && !c.waiting && (c.phase == phaseHeader || c.phase == phaseBody)
}

// interrupt ends what the client makes the process hold: a body that is being read is refused, any other connection
// closed.
func (c *conn) interrupt(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseBody {
		c.closeLocked()
		return
	}
	c.interruptLocked(reason)
}

// interruptBody interrupts the reading of a body, and returns whether one was being read.
func (c *conn) interruptBody(reason error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.phase != phaseBody || c.interrupted != nil {
		return false
	}
	c.interruptLocked(reason)
	return true
}

// expireBody interrupts the reading of a body whose deadline has passed, and returns whether there was one.
func (c *conn) expireBody(now time.Time) bool {
	c.mu.Lock()
	late := c.phase == phaseBody && now.After(c.bodyDeadline)
	c.mu.Unlock()
	return late && c.interruptBody(ErrTimeout)
}

func (c *conn) interruptLocked(reason error) {
	c.interrupted = reason
	now := time.Now()
	_ = c.Conn.SetReadDeadline(now)
	_ = c.Conn.SetWriteDeadline(now.Add(lingerTime))
}

// idleSince returns since when the connection has been idle, and false if it isn't.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.phase == phaseIdle && !c.closed
}

// unservedSince returns since when the connection is open without a request, or with one that was refused. It returns false if it
// has or had a request that is served, or a head for which memory is reserved.
func (c *conn) unservedSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return time.Time{}, false
	case c.phase == phaseRefused:
		return c.since, true
	}
	return c.acceptedAt, !c.asked && c.head.reserved == 0
}

func (c *conn) closeIdle() {
	c.closeAfter(phaseIdle, time.Now())
}

// closeAfter closes the connection if it has been in phase p since the given time or longer, and returns whether it did.
func (c *conn) closeAfter(p phase, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.phase != p || c.since.After(since) {
		return false
	}
	c.closeLocked()
	return true
}

// closeUnread closes the connection if its client has taken nothing of an answer since the given time.
func (c *conn) closeUnread(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.writingSince.IsZero() || c.writingSince.After(since) {
		return false
	}
	c.closeLocked()
	return true
}

func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *conn) closeLocked() {
	c.closed = true
	// The client opens another connection, so the error doesn't matter.
	_ = c.Conn.Close()
}
