package renewal

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/settings/follower"
	"hornbeamwood/internal/settings/lease"
	"hornbeamwood/internal/settings/section"
)

// Log is the control log as renewals need it.
type Log interface {
	// Renew has the leader note r, then a quorum confirm the leader, and returns what lies above revision known in a state that holds all edits accepted before the confirmation.
	Renew(ctx context.Context, r lease.Renewal, known uint64) (section.Changes, error)
}

// Config holds what a Renewer is made of.
type Config struct {
	// Log is the control log; required.
	Log Log
	// Follower is the entry's copy of the settings; required.
	Follower follower.Follower
	// Keeper takes the proofs; required.
	Keeper lease.Keeper
	// Holder is this start of the entry.
	Holder lease.Holder
	// Applied is called after each newer revision, before the next renewal; nil for nothing.
	Applied func(follower.View)
	// Logger takes the events; nil for none.
	Logger log.Interface
	// Now returns the time; time.Now when nil.
	Now func() time.Time
}
