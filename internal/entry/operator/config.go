package operator

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/follower"
)

// Log is the part of the control log that operator requests use. Errors of type verdict.Error are returned unchanged.
type Log interface {
	// Propose commits a command to a section and returns its result.
	Propose(ctx context.Context, section string, body []byte) ([]byte, error)
	// Read returns the answer of a section. The answer reflects all edits accepted before the call.
	Read(ctx context.Context, section string, body []byte) ([]byte, error)
}

// Settings is the entry's copy of the settings tree.
type Settings interface {
	// View returns the newest copy.
	View() follower.View
}

// Lease checks the entry's settings lease.
type Lease interface {
	// Check returns a verdict.Error when the entry can't prove that its copy of the settings is in force.
	Check() error
}

// InForceWaiter waits for revisions to be in force at every entry.
type InForceWaiter interface {
	// Wait returns nil once the revision is in force at every entry, or the error of ctx.
	Wait(ctx context.Context, revision uint64) error
}

// Default values of Config.
const (
	defaultMaxBody   = 4 << 20
	defaultTimeout   = 5 * time.Second
	defaultWaitLimit = 30 * time.Second
)

// Config configures the HTTP interface for operators.
type Config struct {
	// Log is the control log; required.
	Log Log
	// Settings is the entry's copy of the settings, used to authenticate operators and to validate edits early; required.
	Settings Settings
	// Lease is checked before a request is authenticated; required.
	Lease Lease
	// InForce serves "?wait=in-force"; required.
	InForce InForceWaiter
	// Actions are additional operator requests.
	Actions []Action
	// BootstrapKeyDigest is the digest of the key that may edit while the tree has no operators; zero for none.
	BootstrapKeyDigest digest.Digest
	// Logger receives events; nil disables logging.
	Logger log.Interface
	// Now returns the wall clock time recorded as an edit's time of intent; time.Now when nil.
	Now func() time.Time
	// MaxBody is the maximum body size of an edit in bytes; 4 MiB when zero.
	MaxBody int64
	// Timeout bounds a call to the control log; 5 s when zero.
	Timeout time.Duration
	// WaitLimit bounds how long "?wait=in-force" waits; 30 s when zero.
	WaitLimit time.Duration
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.MaxBody == 0 {
		c.MaxBody = defaultMaxBody
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.WaitLimit == 0 {
		c.WaitLimit = defaultWaitLimit
	}
	return c
}
