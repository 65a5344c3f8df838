package quarantine

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/entry/completion"
	"hornbeamwood/internal/policy/suspicion"
)

const (
	defaultInterval = time.Second
	defaultLease    = 2 * time.Minute
	logTimeout      = 2 * time.Second
	attemptBytes    = 16
	// objectionTime is how long entries have to refute the quarantine of a part before it is in force.
	objectionTime = 300 * time.Millisecond
	// maxOwners bounds the number of recorded request owners.
	maxOwners = 8192
)

// Log is the control log.
type Log interface {
	// Propose commits a command to a section and returns its result.
	Propose(ctx context.Context, section string, body []byte) ([]byte, error)
	// Read answers a section's query.
	Read(ctx context.Context, section string, body []byte) ([]byte, error)
}

// Limits are the fleet-wide thresholds for quarantine.
type Limits struct {
	// Servers is the number of distinct lost servers that quarantines a request; default 2.
	Servers int
	// Window is the time window in which losses are counted; default 10 min.
	Window time.Duration
}

// Config configures a Guard.
type Config struct {
	// Log is the control log.
	Log Log
	// Limits returns the limits in force.
	Limits func() Limits
	// Incarnation returns a server's last known incarnation; nil means 0 for all.
	Incarnation func(server string) uint64
	// ReportSuspect reports a suspect to the other entries and returns once they have received the report; nil disables it.
	ReportSuspect func(ctx context.Context, f completion.Fingerprint)
	// Interval is the polling interval of the quarantine record; default 1 s.
	Interval time.Duration
	// Lease bounds how long a suspect's slot stays held after this entry crashes; default 2 min.
	Lease time.Duration
	// NewAttempt returns a globally unique ID that is never reused; default 128 random bits.
	NewAttempt func() string
	// Logger receives events; nil disables logging.
	Logger log.Interface
}

func (c Config) withDefaults() Config {
	if c.Limits == nil {
		c.Limits = func() Limits { return Limits{} }
	}
	if c.Incarnation == nil {
		c.Incarnation = func(string) uint64 { return 0 }
	}
	if c.ReportSuspect == nil {
		c.ReportSuspect = func(context.Context, completion.Fingerprint) {}
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

// limits returns the limits in force with defaults applied.
func (c Config) limits() Limits {
	l := c.Limits()
	if l.Servers <= 0 {
		l.Servers = suspicion.DefaultServers
	}
	if l.Window <= 0 {
		l.Window = suspicion.DefaultWindow
	}
	return l
}

func newAttempt() string {
	var b [attemptBytes]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
