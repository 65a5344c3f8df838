package inbound

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// FreeBodyBytes is the size of a body that is part of what a connection takes by itself.
	FreeBodyBytes = 8 << 10
	// keptBodyBytes is the largest announced body that is read after a refusal to keep its connection.
	keptBodyBytes = 64 << 10
)

func hasBody(q *http.Request) bool {
	return q.Body != nil && q.Body != http.NoBody
}

// ReadBody reads the body of a request until the deadline, limit bytes at most. A zero deadline stands for the listener's time
// for bodies. What it allocates is reserved until the request has ended. After an error the connection is closed with the
// response.
func ReadBody(w http.ResponseWriter, q *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if !hasBody(q) {
		return nil, nil
	}
	if q.ContentLength > limit {
		RefuseBody(w, q)
		return nil, ErrTooLarge
	}
	r := bodyReader{body: q.Body, conn: connOf(q.Context()), length: q.ContentLength, limit: limit, deadline: deadline}
	b, err := r.readUntil(w)
	if err != nil {
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
		return nil, err
	}
	return b, nil
}

// RefuseBody prepares the response to a request whose body isn't read: the client can't delay the response with the rest of
// its body, nor hold the connection.
func RefuseBody(w http.ResponseWriter, q *http.Request) {
	if !hasBody(q) {
		return
	}
	if c := connOf(q.Context()); c != nil {
		c.setBodyRefused()
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
	if q.ContentLength > keptBodyBytes {
		w.Header().Set("Connection", "close")
	}
}

// bodyReader reads one body into a buffer that grows as the body arrives.
type bodyReader struct {
	body io.Reader
	conn *conn
	// length is the announced length, negative if there is none.
	length, limit int64
	deadline      time.Time
	// reserved is what is reserved for the buffer.
	reserved int64
}

// readUntil reads the body until its deadline. The checks of the listener end the reading: a timer for each body would cost
// more.
func (r *bodyReader) readUntil(w http.ResponseWriter) ([]byte, error) {
	if r.conn == nil {
		return r.readUnaccounted(w)
	}
	if r.deadline.IsZero() {
		r.deadline = time.Now().Add(r.conn.server.account.bounds().BodyTimeout)
	}
	if !r.conn.server.config.ReadsBodies {
		_ = r.conn.SetReadDeadline(time.Time{})
	}
	r.conn.beginBody(r.deadline)
	b, err := r.read()
	if reason := r.conn.endBody(); err != nil && reason != nil {
		err = reason
	}
	if err != nil {
		_ = r.reserve(0)
	}
	return b, err
}

// readUnaccounted is readUntil for a request that another server than a Server serves.
func (r *bodyReader) readUnaccounted(w http.ResponseWriter) ([]byte, error) {
	if r.deadline.IsZero() {
		r.deadline = time.Now().Add(defaultBodyTimeout)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(r.deadline)
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	return r.read()
}

func (r *bodyReader) read() ([]byte, error) {
	most := r.limit
	if r.length >= 0 {
		most = r.length
	}
	b := make([]byte, 0, min(most, FreeBodyBytes))
	for {
		if int64(len(b)) == most {
			return r.finish(b)
		}
		if len(b) == cap(b) {
			var err error
			if b, err = r.grow(b, most); err != nil {
				return nil, err
			}
		}
		n, err := r.body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF) && (r.length < 0 || int64(len(b)) == r.length):
			return b, nil
		case err != nil:
			return nil, readError(err)
		}
	}
}

// finish checks that a body which fills its buffer ends there.
func (r *bodyReader) finish(b []byte) ([]byte, error) {
	var rest [1]byte
	_, err := io.ReadFull(r.body, rest[:])
	switch {
	case err == nil:
		return nil, ErrTooLarge
	case errors.Is(err, io.EOF):
		return b, nil
	}
	return nil, readError(err)
}

// grow returns a copy of a full buffer with twice its size, most at most.
func (r *bodyReader) grow(b []byte, most int64) ([]byte, error) {
	size := min(2*int64(cap(b)), most)
	// Both buffers are held until the old one is copied.
	if err := r.reserve(r.reserved + size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(b), size)
	copy(grown, b)
	return grown, r.reserve(size)
}

// reserve changes what is reserved for the buffer to n bytes.
func (r *bodyReader) reserve(n int64) error {
	if r.conn == nil {
		return nil
	}
	a := r.conn.server.account
	switch {
	case n > r.reserved:
		if err := a.reserve(r.conn, n-r.reserved, r.deadline); err != nil {
			return err
		}
	case n < r.reserved:
		a.release(r.conn, r.reserved-n)
	}
	r.reserved = n
	return nil
}

// readError returns the error for a failed read.
func readError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrTimeout
	}
	return ErrBroken
}
