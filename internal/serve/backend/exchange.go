package backend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/boottime"
	"hornbeamwood/internal/node/dial"
)

// maxStale is how many responses to earlier requests are skipped before the connection is
// closed.
const maxStale = 2

// maxStaleBytes bounds the body of a skipped response.
const maxStaleBytes = 64 << 10

// Exchange is one request with its response.
type Exchange struct {
	// Response is the head of the response; its body is read through Read.
	Response *http.Response

	client      *client
	target      Target
	conn        *conn
	method      string
	attempt     string
	timing      Timing
	stopWatch   func() bool
	bodyWritten chan error
	ended       bool
	complete    bool
	// awaited is the state of the wait for the head of the response.
	awaited atomic.Int32
	// sentAt is when the request was sent, by the boot clock, readAt when the last part of the response was read.
	sentAt time.Duration
	readAt time.Time
	// ending is the end of a response that ends with its connection, nil for other responses.
	ending *ending
	// overdue is set from the time of a check until it is made.
	overdue bool
}

// start writes the request and reads the head of the response. It returns true if the
// connection turned out to be dead before any byte was written, so that another connection may
// carry the request.
func (x *Exchange) start(m Message) (bool, error) {
	if err := x.conn.SetDeadline(x.timing.Deadline); err != nil {
		return false, &Error{Verdict: verdict.NotRun, Reason: Broken, Cause: err}
	}
	x.CheckAt(x.timing.CheckAt)
	x.conn.onTimeout = x.continues
	x.bodyWritten = make(chan error, 1)
	first, rest := m.split()
	x.sentAt = boottime.Now()
	n, err := x.conn.Write(first)
	if err != nil {
		if n == 0 {
			return x.conn.reused, &Error{Verdict: verdict.NotRun, Reason: reasonOf(err), Cause: err}
		}
		return false, &Error{Verdict: verdict.MayHaveRun, Reason: reasonOf(err), Cause: err}
	}
	x.writeRest(rest)
	if err := x.readHead(); err != nil {
		return false, err
	}
	return false, nil
}

// writeRest writes the rest of a long body while the response is read, because a server may
// respond before it has read the whole body.
func (x *Exchange) writeRest(rest []byte) {
	if len(rest) == 0 {
		x.bodyWritten <- nil
		return
	}
	go func() {
		_, err := x.conn.Write(rest)
		x.bodyWritten <- err
	}()
}

func (x *Exchange) readHead() error {
	q := &http.Request{Method: x.method}
	for range maxStale + 1 {
		r, err := x.conn.readHead(q)
		if err != nil {
			return readError(err)
		}
		if x.client.config.Belongs(x.attempt, r.Header) {
			x.Response, x.readAt = r, time.Now()
			x.client.recordResponse(x.target, x.conn, x.sentAt)
			x.attendEnd()
			return nil
		}
		// The response belongs to an earlier request that timed out.
		if _, err := io.CopyN(io.Discard, r.Body, maxStaleBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return &Error{Verdict: verdict.MayHaveRun, Reason: Malformed, Cause: fmt.Errorf("the response belongs to another request")}
}

// readError classifies an error while reading the response: anything but a timeout or a closed
// connection is a malformed response.
func readError(err error) error {
	e := &Error{Verdict: verdict.MayHaveRun, Reason: reasonOf(err), Cause: err}
	if !timedOut(err) && !disconnected(err) && !PathLost(err) && !errors.Is(err, syscall.ETIMEDOUT) {
		e.Reason = Malformed
	}
	return e
}

func reasonOf(err error) Reason {
	switch {
	case timedOut(err):
		return TimedOut
	case PathLost(err):
		return CutOff
	}
	return Broken
}

// Read reads the body of the response; io.EOF means that it is complete, if Prove confirms the end.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.Response.Body.Read(b)
	ended := errors.Is(err, io.EOF)
	if n > 0 || ended {
		x.readAt = time.Now()
	}
	if ended {
		x.complete = true
	}
	return n, err
}

// Silence returns how long ago the last part of the response was read.
func (x *Exchange) Silence() time.Duration {
	return time.Since(x.readAt)
}

// Via returns the address of the entry through which the connection leads, empty if it is direct.
func (x *Exchange) Via() string {
	return dial.Via(x.conn.Conn)
}

// Buffered returns whether more of the response has already arrived.
func (x *Exchange) Buffered() bool {
	return x.conn.reader.Buffered() > 0
}

// Close ends the exchange. The connection is kept if the response is complete and nothing else
// arrived.
func (x *Exchange) Close() {
	if !x.reusable() {
		x.Abort()
		return
	}
	if x.ended {
		return
	}
	x.ended = true
	if !x.stopWatch() {
		x.client.discard(x.target, x.conn)
		return
	}
	x.conn.reused, x.conn.onTimeout = true, nil
	x.conn.setIdleTimeout(x.Response.Header, time.Now())
	x.client.put(x.target, x.conn)
}

// reusable returns whether the next request can use the connection.
//
// Bytes after the response would be read as the next one, and only a direct connection shows
// whether some have come. A server that responded before it
// had read the whole body would take the next request for the rest of it.
func (x *Exchange) reusable() bool {
	if !x.complete || x.conn.tunnelled || x.Response.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-x.bodyWritten:
		return err == nil
	default:
		return false
	}
}

// Abort closes the connection; most servers then stop working on the request.
func (x *Exchange) Abort() {
	if x.ended {
		return
	}
	x.ended = true
	x.stopWatch()
	if x.ending != nil {
		x.client.forget(x.target, x.ending)
	}
	x.client.discard(x.target, x.conn)
}
