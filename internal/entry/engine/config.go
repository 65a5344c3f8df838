package engine

import (
	"net/http"
	"time"

	"github.com/apex/log"
)

const (
	maxIdleConns   = 64
	idleConns      = 30 * time.Second
	maxHeaderBytes = 64 << 10
	maxRefusal     = 64 << 10
	maxRetryAfter  = time.Hour
	drainBytes     = 1 << 10
	drainTime      = 100 * time.Millisecond
)

// Config holds what a Client needs.
type Config struct {
	// Transport carries the requests; nil makes one with kept connections.
	Transport http.RoundTripper
	// DialTimeout bounds the connection's set-up; default 2 s.
	DialTimeout time.Duration
	// IdleTimeout is how long a stream may be silent, comments counted, before it is resumed; default 2 min.
	IdleTimeout time.Duration
	// CancelTimeout bounds a cancel; default 2 s.
	CancelTimeout time.Duration
	// Resumes is the largest number of resumes of one stream; default 3, negative for none.
	Resumes int
	// ResumeWait is the wait before the second resume of one fault, doubled for each further one; default 100 ms.
	ResumeWait time.Duration
	// Logger gets the events; nil logs nothing.
	Logger log.Interface
}

func (c Config) withDefaults() Config {
	if c.DialTimeout <= 0 {
		c.DialTimeout = 2 * time.Second
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 2 * time.Minute
	}
	if c.CancelTimeout <= 0 {
		c.CancelTimeout = 2 * time.Second
	}
	if c.ResumeWait <= 0 {
		c.ResumeWait = 100 * time.Millisecond
	}
	if c.Resumes == 0 {
		c.Resumes = 3
	}
	return c
}
