package section

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/settings/tree"
)

func fleetEdit(id string, base uint64, key string, v tree.Value) Edit {
	return Edit{ID: id, Base: base, Operator: "ana", Changes: []tree.Change{set("/fleet", key, v)}}
}

// An operator makes the lease shorter and then the leader fails. A new leader
// must still wait for entries that have not received the shorter lease, even if
// its state was restored from a snapshot.
func TestTermsIncludeLongerPreviousLease(t *testing.T) {
	s := newSection(t)
	apply(t, s, fleetEdit("long", 1, "settings-lease", tree.DurationValue(12*time.Second)))
	apply(t, s, fleetEdit("short", 2, "settings-lease", tree.DurationValue(2*time.Second)))
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(b); err != nil {
		t.Fatal(err)
	}
	if got := s.Terms(); got.Lease != 2*time.Second || got.Longest != 12*time.Second || got.Revision != 3 || got.LeaseRequiredFrom != 0 {
		t.Errorf("got %+v", got)
	}
	s.Apply(now.Add(2*longestLeaseRetention), encode(t, priorityEdit("later", "ana", 3, 1)))
	if got := s.Terms(); got.Longest != 2*time.Second {
		t.Errorf("an hour later: %+v", got)
	}
}

func TestTermsAfterServingWithoutQuorum(t *testing.T) {
	s := newSection(t)
	for i, c := range []struct {
		on   bool
		want uint64
	}{{true, 3}, {true, 4}, {false, 4}, {false, 4}} {
		apply(t, s, fleetEdit(fmt.Sprint("e-", i), uint64(i)+1, "serve-without-quorum", tree.BoolValue(c.on)))
		if got := s.Terms().LeaseRequiredFrom; got != c.want {
			t.Errorf("edit %d: got %d, want %d", i, got, c.want)
		}
	}
}
