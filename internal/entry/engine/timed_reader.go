package engine

import (
	"io"
	"time"
)

// timedReader reads a body under the idle timer, which closes the connection to a silent engine.
type timedReader struct {
	body      io.Reader
	idleTimer *time.Timer
	limit     time.Duration
}

// Read implements io.Reader. The timer runs only during a read, so that a slow
// caller is not mistaken for a silent engine.
func (r timedReader) Read(b []byte) (int, error) {
	r.idleTimer.Reset(r.limit)
	n, err := r.body.Read(b)
	r.idleTimer.Stop()
	return n, err
}
