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
	// interval is the time between two looks.
	interval = 2 * time.Second
	// misses is the number of looks in a row at which an owner must be without a lease.
	misses = 2
)

// Leader is this replica while it leads.
type Leader interface {
	// Confirm returns the term in which a quorum confirmed this replica as the leader after the call began.
	Confirm(ctx context.Context) (uint64, error)
}

// Leases is the account of settings leases.
type Leases interface {
	// InForce is true for revision 0 once every lease of an earlier term has run out.
	InForce(term, revision uint64) lease.Force
	// Live returns the entries whose lease has not run out.
	Live() []protocol.HolderRevision
}

// Ledger is the record of calls.
type Ledger interface {
	// Owners returns who holds live claims.
	Owners(ctx context.Context) ([]ledger.Owner, error)
	// Abandon makes the claims of a dead owner unknown.
	Abandon(ctx context.Context, o ledger.Owner) error
}

// Config is what a Reaper needs.
type Config struct {
	// Leader, Leases and Ledger are those of this replica.
	Leader Leader
	Leases Leases
	Ledger Ledger
	// Logger takes the events.
	Logger log.Interface
}

// Reaper looks for dead owners of claims.
type Reaper interface {
	// Run looks until ctx ends.
	Run(ctx context.Context)
	// Look looks once.
	Look(ctx context.Context)
}

type reaper struct {
	Config
	term   uint64
	missed map[ledger.Owner]int
}

// New returns a Reaper that has missed nobody yet.
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
			r.Look(ctx)
		}
	}
}

// Look implements Reaper.
//
// Only the leader knows who holds a lease, and a new one only after all leases
// of earlier terms have run out. An owner that is wrongly taken for dead loses
// nothing but the certainty of its open calls: their outcomes still count when
// they come, and no call is dispatched a second time.
func (r *reaper) Look(ctx context.Context) {
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

// dead returns the owners that were without a lease at each of the last looks.
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
