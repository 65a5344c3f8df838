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
	// ReadAll answers queries from one state and renews the settings lease of the entry that sends r.
	ReadAll(ctx context.Context, r *protocol.Report, queries ...state.Query) (protocol.ReadResponse, error)
	// InForce returns whether a settings revision is in force everywhere.
	InForce(ctx context.Context, revision uint64) (lease.InForceStatus, error)
}

// Feed is a part of the replicated state that an entry follows in addition to the settings.
type Feed interface {
	// Query returns the query for the newest changes.
	Query() (state.Query, error)
	// Apply applies the answer to the query.
	Apply(answer []byte) error
}

// Config configures a LeasedSettings.
type Config struct {
	// Log is the control log.
	Log Log
	// Holder identifies this entry as a lease holder.
	Holder lease.Holder
	// Follower is the entry's copy of the settings tree.
	Follower follower.Follower
	// Feeds are updated along with the settings.
	Feeds []Feed
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
	// Logger receives events.
	Logger log.Interface
}
