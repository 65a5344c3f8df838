package lease

import (
	"net/http"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// retryAfter is when a caller that was refused for want of a lease may ask again.
const retryAfter = time.Second

// Keeper says whether an entry may take new work.
type Keeper interface {
	// Check returns nil when the entry may take new work at now, else a verdict.Error that says not-run; serveWithoutQuorum is that setting in the entry's newest copy.
	Check(now time.Time, serveWithoutQuorum bool) error
	// Confirm takes a proof and returns whether it gives or extends the lease.
	Confirm(p Proof) bool
}

type keeper struct {
	proof atomic.Pointer[Proof]
}

// NewKeeper returns a Keeper without a lease.
func NewKeeper() Keeper {
	return &keeper{}
}

// Check implements Keeper.
//
// An entry that is cut off silently notices nothing: its callers still reach
// it, and it would serve them under settings that an operator has replaced.
// Without a recent proof it therefore takes no new work.
func (k *keeper) Check(now time.Time, serveWithoutQuorum bool) error {
	p := k.proof.Load()
	if p != nil && (serveWithoutQuorum || !p.Expired(now)) {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no-settings-lease", "this entry can't prove that its settings are in force").WithRetryAfter(retryAfter)
}

// Confirm implements Keeper.
//
// Answers may cross. One that was asked for earlier would shorten the lease,
// and one for an older revision would stand for settings that the entry no
// longer has; neither is taken.
func (k *keeper) Confirm(p Proof) bool {
	if p.Applied != p.Confirmed {
		return false
	}
	for {
		old := k.proof.Load()
		if old != nil && (p.Applied < old.Applied || !p.SentAt.After(old.SentAt)) {
			return false
		}
		if k.proof.CompareAndSwap(old, &p) {
			return true
		}
	}
}
