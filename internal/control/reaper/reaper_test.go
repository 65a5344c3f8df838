package reaper

import (
	"context"
	"errors"
	"slices"
	"testing"

	"hornbeamwood/internal/control/ledger"
	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/settings/lease"
)

type fakeControl struct {
	term      uint64
	err       error
	settled   bool
	live      []protocol.HolderRevision
	owners    []ledger.Owner
	abandoned []ledger.Owner
}

func (f *fakeControl) Confirm(context.Context) (uint64, error)        { return f.term, f.err }
func (f *fakeControl) InForce(uint64, uint64) lease.Force             { return lease.Force{InForce: f.settled} }
func (f *fakeControl) Live() []protocol.HolderRevision                { return f.live }
func (f *fakeControl) Owners(context.Context) ([]ledger.Owner, error) { return f.owners, nil }
func (f *fakeControl) Abandon(_ context.Context, o ledger.Owner) error {
	f.abandoned = append(f.abandoned, o)
	return nil
}

// An entry's VM dies with a call dispatched and never comes back. A user who
// sends the call again must soon be told that its outcome is unknown; but an
// entry that lives, or whose leader has just changed, must not lose its claims.
func TestOnlyClaimsOfDeadEntriesAreAbandoned(t *testing.T) {
	dead, alive := ledger.Owner{Entry: "entry-1", Incarnation: 4}, ledger.Owner{Entry: "entry-2", Incarnation: 5}
	f := &fakeControl{term: 1, live: []protocol.HolderRevision{{Holder: lease.Holder{Name: "entry-2", Incarnation: 5}}}, owners: []ledger.Owner{dead, alive}}
	r := New(Config{Leader: f, Leases: f, Ledger: f})
	look := func() { r.Look(context.Background()) }

	look()
	look()
	look()
	if len(f.abandoned) != 0 {
		t.Fatal("claims were abandoned before the leases of earlier terms had run out")
	}
	f.settled = true
	look()
	if len(f.abandoned) != 0 {
		t.Fatal("claims were abandoned after one look")
	}
	f.term = 2
	look()
	f.err = errors.New("no quorum")
	look()
	f.err = nil
	look()
	if len(f.abandoned) != 0 {
		t.Fatal("looks of two terms were counted together")
	}
	look()
	if !slices.Equal(f.abandoned, []ledger.Owner{dead}) {
		t.Fatalf("abandoned %v", f.abandoned)
	}
}
