package lease

import (
	"net/http"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// retryAfter is the Retry-After time of requests that are refused for lack of a lease.
const retryAfter = time.Second

// EntryLease holds the settings lease of an entry, which allows it to accept new work.
type EntryLease interface {
	// Check returns nil if the entry may accept new work at now, else a verdict.Error with NotRun. serveWithoutQuorum is the value of that setting in the entry's newest copy.
	Check(now time.Time, serveWithoutQuorum bool) error
	// Confirm applies a proof and reports whether it starts or extends the lease.
	Confirm(p Proof) bool
}

type entryLease struct {
	proof atomic.Pointer[Proof]
}

// NewEntryLease returns an EntryLease that holds no lease yet.
func NewEntryLease() EntryLease {
	return &entryLease{}
}

// Check implements EntryLease.
//
// An entry can't detect a silent network partition while its callers still reach
// it, and would serve them under settings that an operator has replaced. Without
// a recent proof it therefore accepts no new work.
func (l *entryLease) Check(now time.Time, serveWithoutQuorum bool) error {
	p := l.proof.Load()
	if p != nil && (serveWithoutQuorum || !p.Expired(now)) {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no-settings-lease", "this entry can't prove that its settings are in force").WithRetryAfter(retryAfter)
}

// Confirm implements EntryLease.
//
// Answers may arrive out of order. The answer to an earlier report would shorten
// the lease, and one for an older revision would not apply to the current
// settings; both are ignored.
func (l *entryLease) Confirm(p Proof) bool {
	if p.Applied != p.Confirmed {
		return false
	}
	for {
		old := l.proof.Load()
		if old != nil && (p.Applied < old.Applied || !p.SentAt.After(old.SentAt)) {
			return false
		}
		if l.proof.CompareAndSwap(old, &p) {
			return true
		}
	}
}
