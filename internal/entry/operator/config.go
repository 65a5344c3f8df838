package operator

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/follower"
)

// Log is the control log as operators' requests need it; errors of verdict.Error are passed on as they are.
type Log interface {
	// Propose commits a command of a section and returns its result.
	Propose(ctx context.Context, section string, body []byte) ([]byte, error)
	// Read returns the answer of a section that holds all edits accepted before the call.
	Read(ctx context.Context, section string, body []byte) ([]byte, error)
}

// Settings is the entry's copy of the settings tree.
type Settings interface {
	// View returns the newest copy.
	View() follower.View
}

// Lease says whether the entry's copy is in force.
type Lease interface {
	// Check returns a verdict.Error when the entry can't prove that its copy is in force.
	Check() error
}

// Force knows which revisions are in force everywhere.
type Force interface {
	// Wait returns nil once the revision is in force at every entry, or the error of ctx.
	Wait(ctx context.Context, revision uint64) error
}

// Defaults of Config.
const (
	defaultMaxBody = 4 << 20
	defaultTimeout = 5 * time.Second
	defaultWait    = 30 * time.Second
)

// Config holds what the operators' interface is made of.
type Config struct {
	// Log is the control log; required.
	Log Log
	// Settings is the entry's copy, by which operators are known and edits are checked first; required.
	Settings Settings
	// Lease is asked before anybody is let in; required.
	Lease Lease
	// Force answers "?wait=in-force"; required.
	Force Force
	// Actions are further requests for operators.
	Actions []Action
	// BootstrapKeyDigest is the digest of the key that may edit while the tree has no operators; zero for none.
	BootstrapKeyDigest digest.Digest
	// Logger takes the events; nil for none.
	Logger log.Interface
	// Now returns the wall clock that is noted as an edit's time of intent; time.Now when nil.
	Now func() time.Time
	// MaxBody is the largest body of an edit in bytes, 4 MiB when zero.
	MaxBody int64
	// Timeout is how long an answer of the control log may take, 5 s when zero.
	Timeout time.Duration
	// WaitLimit is how long "?wait=in-force" waits, 30 s when zero.
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
		c.WaitLimit = defaultWait
	}
	return c
}
