package engine

import (
	"io"
	"time"
)

// awake reads a body and holds off the timer that hangs up on a silent engine.
type awake struct {
	body    io.Reader
	silence *time.Timer
	limit   time.Duration
}

// Read implements io.Reader. The timer runs only while a read waits: a caller
// that takes its time must not look like an engine that is silent.
func (a awake) Read(b []byte) (int, error) {
	a.silence.Reset(a.limit)
	n, err := a.body.Read(b)
	a.silence.Stop()
	return n, err
}
