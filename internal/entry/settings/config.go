package settings

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/settings/follower"
	"hornbeamwood/internal/settings/lease"
)

// Log is the control log.
type Log interface {
	// ReadAll answers queries from one state and renews the settings lease of the entry that r speaks for.
	ReadAll(ctx context.Context, r *protocol.Report, queries ...state.Query) (protocol.Answers, error)
	// InForce returns whether a settings revision is in force everywhere.
	InForce(ctx context.Context, revision uint64) (lease.Force, error)
}

// Feed is a part of the replicated state that an entry follows beside the settings.
type Feed interface {
	// Query returns what is asked for.
	Query() (state.Query, error)
	// Take takes the answer.
	Take(answer []byte) error
}

// Config is what a Keeper needs.
type Config struct {
	// Log is the control log.
	Log Log
	// Holder is this entry.
	Holder lease.Holder
	// Follower is the entry's copy of the tree.
	Follower follower.Follower
	// Feeds are followed with the settings.
	Feeds []Feed
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
	// Logger takes the events.
	Logger log.Interface
}
