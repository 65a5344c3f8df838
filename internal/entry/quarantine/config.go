package quarantine

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/entry/completion"
)

const (
	defaultInterval = time.Second
	defaultLease    = 2 * time.Minute
	defaultLimit    = 2
	defaultWindow   = 10 * time.Minute
	logTimeout      = 2 * time.Second
	attemptBytes    = 16
	// maxNames bounds what is remembered of whose requests run.
	maxNames = 8192
)

// Log is the control log.
type Log interface {
	// Propose commits a section's command and returns its result.
	Propose(ctx context.Context, section string, body []byte) ([]byte, error)
	// Read answers a section's query.
	Read(ctx context.Context, section string, body []byte) ([]byte, error)
}

// Limits are the fleet's rules for quarantine.
type Limits struct {
	// Servers is the number of different servers lost that quarantines; default 2.
	Servers int
	// Window is the time within which losses count; default 10 min.
	Window time.Duration
}

// Config holds what a Guard needs.
type Config struct {
	// Log is the control log.
	Log Log
	// Limits returns the rules in force.
	Limits func() Limits
	// Incarnation returns a server's last known incarnation; nil means 0 for all.
	Incarnation func(server string) uint64
	// Tell tells the other entries of a suspect and returns when they know; nil tells nobody.
	Tell func(ctx context.Context, f completion.Fingerprint)
	// Interval is the time between two looks at the record; default 1 s.
	Interval time.Duration
	// Lease bounds how long a suspect holds its slot when this entry dies; default 2 min.
	Lease time.Duration
	// NewAttempt returns an id that is unique for ever; default 128 random bits.
	NewAttempt func() string
	// Logger gets the events; nil logs nothing.
	Logger log.Interface
}

func (c Config) withDefaults() Config {
	if c.Limits == nil {
		c.Limits = func() Limits { return Limits{} }
	}
	if c.Incarnation == nil {
		c.Incarnation = func(string) uint64 { return 0 }
	}
	if c.Tell == nil {
		c.Tell = func(context.Context, completion.Fingerprint) {}
	}
	if c.Interval <= 0 {
		c.Interval = defaultInterval
	}
	if c.Lease <= 0 {
		c.Lease = defaultLease
	}
	if c.NewAttempt == nil {
		c.NewAttempt = newAttempt
	}
	return c
}

// limits returns the rules in force with their defaults.
func (c Config) limits() Limits {
	l := c.Limits()
	if l.Servers <= 0 {
		l.Servers = defaultLimit
	}
	if l.Window <= 0 {
		l.Window = defaultWindow
	}
	return l
}

func newAttempt() string {
	var b [attemptBytes]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
