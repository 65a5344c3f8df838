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
	inForce   bool
	live      []protocol.HolderRevision
	owners    []ledger.Owner
	abandoned []ledger.Owner
}

func (f *fakeControl) Confirm(context.Context) (uint64, error) { return f.term, f.err }
func (f *fakeControl) InForce(uint64, uint64) lease.InForceStatus {
	return lease.InForceStatus{InForce: f.inForce}
}
func (f *fakeControl) Live() []protocol.HolderRevision                { return f.live }
func (f *fakeControl) Owners(context.Context) ([]ledger.Owner, error) { return f.owners, nil }
func (f *fakeControl) Abandon(_ context.Context, o ledger.Owner) error {
	f.abandoned = append(f.abandoned, o)
	return nil
}

// An entry's VM is lost for good with a call dispatched. A user who resends the
// call must soon get an unknown outcome. The claims of a live entry, or of one seen
// without a lease only around a change of the leader, must not be abandoned.
func TestOnlyClaimsOfDeadEntriesAreAbandoned(t *testing.T) {
	dead, alive := ledger.Owner{Entry: "entry-1", Incarnation: 4}, ledger.Owner{Entry: "entry-2", Incarnation: 5}
	f := &fakeControl{term: 1, live: []protocol.HolderRevision{{Holder: lease.Holder{Name: "entry-2", Incarnation: 5}}}, owners: []ledger.Owner{dead, alive}}
	r := New(Config{Leader: f, Leases: f, Ledger: f})
	check := func() { r.Check(context.Background()) }

	check()
	check()
	check()
	if len(f.abandoned) != 0 {
		t.Fatal("claims were abandoned before the leases of earlier terms had expired")
	}
	f.inForce = true
	check()
	if len(f.abandoned) != 0 {
		t.Fatal("claims were abandoned after one check")
	}
	f.term = 2
	check()
	f.err = errors.New("no quorum")
	check()
	f.err = nil
	check()
	if len(f.abandoned) != 0 {
		t.Fatal("checks of two terms were counted together")
	}
	check()
	if !slices.Equal(f.abandoned, []ledger.Owner{dead}) {
		t.Fatalf("abandoned %v", f.abandoned)
	}
}
