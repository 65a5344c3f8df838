package reaper

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/ledger"
	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/settings/lease"
)

const (
	// interval is the time between two checks.
	interval = 2 * time.Second
	// misses is the number of consecutive checks without a lease after which an owner counts as dead.
	misses = 2
)

// Leader confirms the leadership of this replica.
type Leader interface {
	// Confirm returns the term in which a quorum confirmed this replica as the leader after the call began.
	Confirm(ctx context.Context) (uint64, error)
}

// Leases provides the settings leases.
type Leases interface {
	// InForce is true for revision 0 once every lease of an earlier term has expired.
	InForce(term, revision uint64) lease.InForceStatus
	// Live returns the entries whose lease has not expired.
	Live() []protocol.HolderRevision
}

// Ledger provides the record of non-idempotent calls.
type Ledger interface {
	// Owners returns the owners of live claims.
	Owners(ctx context.Context) ([]ledger.Owner, error)
	// Abandon makes the claims of a dead owner unknown.
	Abandon(ctx context.Context, o ledger.Owner) error
}

// Config holds the dependencies of a Reaper.
type Config struct {
	// Leader, Leases and Ledger belong to this replica.
	Leader Leader
	Leases Leases
	Ledger Ledger
	// Logger receives the events.
	Logger log.Interface
}

// Reaper abandons the claims of dead owners.
type Reaper interface {
	// Run checks for dead owners at a fixed interval until ctx ends.
	Run(ctx context.Context)
	// Check abandons the claims of the owners that count as dead at this check.
	Check(ctx context.Context)
}

type reaper struct {
	Config
	term   uint64
	missed map[ledger.Owner]int
}

// New returns a Reaper without any recorded misses.
func New(c Config) Reaper {
	return &reaper{Config: c, missed: make(map[ledger.Owner]int)}
}

// Run implements Reaper.
func (r *reaper) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.Check(ctx)
		}
	}
}

// Check implements Reaper.
//
// Only the leader knows the lease holders, and a new leader knows them only after
// all leases of earlier terms have expired. If a live owner is abandoned by
// mistake, its open calls become unknown, but their outcomes are still accepted
// when they arrive, and no call is dispatched a second time.
func (r *reaper) Check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	term, err := r.Leader.Confirm(ctx)
	if err != nil || term != r.term {
		clear(r.missed)
		r.term = term
	}
	if err != nil || !r.Leases.InForce(term, 0).InForce {
		return
	}
	owners, err := r.Ledger.Owners(ctx)
	if err != nil {
		return
	}
	for _, o := range r.dead(owners) {
		if err := r.Ledger.Abandon(ctx, o); err == nil {
			event.ClaimsAbandoned.Write(r.Logger, log.Fields{"entry": o.Entry, "incarnation": o.Incarnation})
		}
	}
}

// dead returns the owners that had no lease at each of the last checks.
func (r *reaper) dead(owners []ledger.Owner) []ledger.Owner {
	live := make(map[string]bool)
	for _, h := range r.Leases.Live() {
		live[h.Holder.Name] = true
	}
	missed := make(map[ledger.Owner]int)
	var dead []ledger.Owner
	for _, o := range owners {
		if live[o.Entry] {
			continue
		}
		missed[o] = r.missed[o] + 1
		if missed[o] >= misses {
			dead = append(dead, o)
		}
	}
	r.missed = missed
	return dead
}
