package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
)

const (
	maxIdleConns    = 64
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	maxRefusal      = 64 << 10
	maxRetryAfter   = time.Hour
	drainBytes      = 1 << 10
	drainTimeout    = 100 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	// Transport sends the requests; nil for one with persistent connections.
	Transport http.RoundTripper
	// Dial connects to an engine; default a TCP connection that is set up within DialTimeout.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds the setup of a connection; default 2 s.
	DialTimeout time.Duration
	// IdleTimeout is how long a stream may send nothing, not even comments, before it is resumed; default 2 min.
	IdleTimeout time.Duration
	// CancelTimeout bounds a cancel request; default 2 s.
	CancelTimeout time.Duration
	// ResumeLimit is the maximum number of resumes per stream; default 3, negative for none.
	ResumeLimit int
	// ResumeWait is the backoff before the second resume after a fault, doubled for each further one; default 100 ms.
	ResumeWait time.Duration
	// Logger receives the events; nil disables logging.
	Logger log.Interface
}

func (c Config) withDefaults() Config {
	if c.DialTimeout <= 0 {
		c.DialTimeout = 2 * time.Second
	}
	if c.Dial == nil {
		d := &net.Dialer{Timeout: c.DialTimeout}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
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
	if c.ResumeLimit == 0 {
		c.ResumeLimit = 3
	}
	return c
}
