package backend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// maxStale is how many answers to earlier requests are passed over before the connection is given up.
const maxStale = 2

// maxStaleBytes bounds the body of an answer that is passed over.
const maxStaleBytes = 64 << 10

// Exchange is one request with its answer.
type Exchange struct {
	// Response is the answer's head; its body is read through Read.
	Response *http.Response

	client  *client
	target  Target
	conn    *conn
	method  string
	attempt string
	stop    func() bool
	written chan error
	ended   bool
	whole   bool
}

// begin writes the request and reads the answer's head. It returns true when
// the connection turned out to be dead before any byte was taken, so that
// another one may carry the request.
func (x *Exchange) begin(m Message, deadline time.Time) (bool, error) {
	if err := x.conn.SetDeadline(deadline); err != nil {
		return false, &Error{Verdict: verdict.NotRun, Reason: Broken, Cause: err}
	}
	x.written = make(chan error, 1)
	first, rest := m.split()
	n, err := x.conn.Write(first)
	if err != nil {
		if n == 0 {
			return x.conn.used, &Error{Verdict: verdict.NotRun, Reason: reasonOf(err), Cause: err}
		}
		return false, &Error{Verdict: verdict.MayHaveRun, Reason: reasonOf(err), Cause: err}
	}
	x.writeRest(rest)
	if err := x.readHead(); err != nil {
		return false, err
	}
	return false, nil
}

// writeRest writes the rest of a long body beside the reading of the answer,
// which a server may give before it has read all of it.
func (x *Exchange) writeRest(rest []byte) {
	if len(rest) == 0 {
		x.written <- nil
		return
	}
	go func() {
		_, err := x.conn.Write(rest)
		x.written <- err
	}()
}

func (x *Exchange) readHead() error {
	q := &http.Request{Method: x.method}
	for range maxStale + 1 {
		r, err := http.ReadResponse(x.conn.reader, q)
		if err != nil {
			return readError(err)
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		if x.client.config.Belongs(x.attempt, r.Header) {
			x.Response = r
			return nil
		}
		// The answer of an earlier request whose time had run out.
		if _, err := io.CopyN(io.Discard, r.Body, maxStaleBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return &Error{Verdict: verdict.MayHaveRun, Reason: Malformed, Cause: fmt.Errorf("the answer belongs to another request")}
}

// readError classifies what ended the wait for an answer: what isn't the end of
// time or of the connection is no answer at all.
func readError(err error) error {
	e := &Error{Verdict: verdict.MayHaveRun, Reason: reasonOf(err), Cause: err}
	if !timedOut(err) && !brokeOff(err) {
		e.Reason = Malformed
	}
	return e
}

func reasonOf(err error) Reason {
	if timedOut(err) {
		return TimedOut
	}
	return Broken
}

// Read reads the answer's body; io.EOF means that it is complete.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.Response.Body.Read(b)
	if errors.Is(err, io.EOF) {
		x.whole = true
	}
	return n, err
}

// Buffered returns whether more of the answer has arrived already.
func (x *Exchange) Buffered() bool {
	return x.conn.reader.Buffered() > 0
}

// SetDeadline moves the end of the exchange.
func (x *Exchange) SetDeadline(t time.Time) {
	// A connection that can't take a deadline is closed; the next read says so.
	_ = x.conn.SetDeadline(t)
}

// Close ends the exchange: the connection is kept if the answer is complete and nothing else came.
func (x *Exchange) Close() {
	if !x.reusable() {
		x.Abort()
		return
	}
	if x.ended {
		return
	}
	x.ended = true
	if !x.stop() {
		x.client.drop(x.target, x.conn)
		return
	}
	x.conn.used = true
	x.conn.keep(x.Response.Header, time.Now())
	x.client.put(x.target, x.conn)
}

// reusable returns whether the next request can use the connection.
//
// Bytes behind the answer would be read as the next one's. A server that
// answered before it had the whole body takes what comes next for the rest of it.
func (x *Exchange) reusable() bool {
	if !x.whole || x.Response.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// Abort closes the connection; a server that is still at work most often stops.
func (x *Exchange) Abort() {
	if x.ended {
		return
	}
	x.ended = true
	x.stop()
	x.client.drop(x.target, x.conn)
}
