package quic

import (
	"cmp"
	"slices"
	"time"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/settings/lease"
)

// Leases tracks the settings leases at the leader.
type Leases interface {
	// Renew records an entry's report in the given term. It is called before a quorum confirms the leader for the reply.
	Renew(term uint64, r protocol.Report)
	// InForce returns whether a revision is in force everywhere. It is called after a quorum confirmed the leader of the term.
	InForce(term, revision uint64) lease.InForceStatus
	// Live returns the entries whose lease has not expired, with the revisions that they have applied.
	Live() []protocol.HolderRevision
}

// Terms provides the lease terms from the settings.
type Terms interface {
	// Terms returns the lease terms of the newest applied revision.
	Terms() lease.Terms
}

type leases struct {
	holders lease.Holders
	terms   Terms
	now     func() time.Time
}

// NewLeases returns Leases backed by h.
func NewLeases(h lease.Holders, t Terms, now func() time.Time) Leases {
	return &leases{holders: h, terms: t, now: now}
}

// Renew implements Leases.
func (l *leases) Renew(term uint64, r protocol.Report) {
	l.holders.Renew(l.now(), term, r.Renewal(), l.terms.Terms())
}

// InForce implements Leases.
func (l *leases) InForce(term, revision uint64) lease.InForceStatus {
	return l.holders.InForce(l.now(), term, revision, l.terms.Terms())
}

// Live implements Leases.
func (l *leases) Live() []protocol.HolderRevision {
	var all []protocol.HolderRevision
	for h, n := range l.holders.Applied(l.now()) {
		all = append(all, protocol.HolderRevision{Holder: h, Revision: n})
	}
	slices.SortFunc(all, func(a, b protocol.HolderRevision) int { return cmp.Compare(a.Holder.Name, b.Holder.Name) })
	return all
}
