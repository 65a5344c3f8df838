package service

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/policy/outage"
)

const (
	maxHeaderBytes = 64 << 10
	maxIdleConns   = 16
	idleTimeout    = 30 * time.Second
	attemptBytes   = 16
)

// Config configures a Client.
type Config struct {
	// Log is the control log.
	Log Log
	// Picker chooses servers.
	Picker Picker
	// Backoffs are the servers that requested a backoff of this entry; default none.
	Backoffs backoff.Backoffs
	// Outages are the servers at which this entry's calls have failed; default none.
	Outages outage.Outages
	// Guard refuses calls that crash their servers; nil refuses none.
	Guard Guard
	// Budget limits retries on other servers; nil allows none.
	Budget Budget
	// Entry is this entry's identity.
	Entry string
	// Incarnation is a number that increases with each start of this entry, at least 1.
	Incarnation uint64
	// CallTimeout is the deadline of calls whose rules set none; default 30 s.
	CallTimeout time.Duration
	// Dial connects to a server; default a TCP connection that is set up within DialTimeout.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds the setup of a connection; default 2 s.
	DialTimeout time.Duration
	// DispatchTimeout bounds a dispatch, which continues after its caller has disconnected; default 5 min.
	DispatchTimeout time.Duration
	// DispatchWindow is the maximum age of a claim at its dispatch; default 10 s.
	DispatchWindow time.Duration
	// ClaimTimeout is how long a claim is retried while the log does not answer; default 5 s.
	ClaimTimeout time.Duration
	// OutcomeWait is how long an answer is held back until its outcome is recorded; default 5 s.
	OutcomeWait time.Duration
	// LogTimeout bounds one request to the log; default 2 s.
	LogTimeout time.Duration
	// MaxAnswer is the maximum size in bytes of an answer to an idempotent call; default 8 MiB.
	MaxAnswer int64
	// NewAttempt returns a globally unique attempt ID; default 128 random bits.
	NewAttempt func() string
	// NewIncarnation returns a number larger than all earlier incarnations of this entry; default the wall clock in nanoseconds.
	NewIncarnation func() uint64
	// Now returns the time on a monotonic clock; default time.Now.
	Now func() time.Time
	// Wait returns after d or when ctx ends; default a timer.
	Wait func(ctx context.Context, d time.Duration) error
	// Logger receives the events; nil disables logging.
	Logger log.Interface
}

func (c Config) withDefaults() Config {
	c.CallTimeout = orDefault(c.CallTimeout, 30*time.Second)
	c.DialTimeout = orDefault(c.DialTimeout, 2*time.Second)
	c.DispatchTimeout = orDefault(c.DispatchTimeout, 5*time.Minute)
	c.DispatchWindow = orDefault(c.DispatchWindow, 10*time.Second)
	c.ClaimTimeout = orDefault(c.ClaimTimeout, 5*time.Second)
	c.OutcomeWait = orDefault(c.OutcomeWait, 5*time.Second)
	c.LogTimeout = orDefault(c.LogTimeout, 2*time.Second)
	c.MaxAnswer = orDefault(c.MaxAnswer, 8<<20)
	if c.Dial == nil {
		d := &net.Dialer{Timeout: c.DialTimeout}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	if c.Backoffs == nil {
		c.Backoffs = backoff.New()
	}
	if c.Outages == nil {
		c.Outages = outage.New()
	}
	if c.Guard == nil {
		c.Guard = noGuard{}
	}
	if c.NewAttempt == nil {
		c.NewAttempt = newAttempt
	}
	if c.NewIncarnation == nil {
		c.NewIncarnation = func() uint64 { return uint64(time.Now().UnixNano()) }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Wait == nil {
		c.Wait = wait
	}
	return c
}

func orDefault[T time.Duration | int64](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}

func newAttempt() string {
	var b [attemptBytes]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
