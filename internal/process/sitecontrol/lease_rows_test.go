package sitecontrol

import (
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
)

// Guards against a fetch of a part that was withdrawn under the present lease, because a goroutine of an earlier one, which
// stood still, shows it again.
func TestRowOfAnEarlierLeaseReplacesNone(t *testing.T) {
	table := rowtable.New(1)
	sf := &storeFollower{process: &process{table: table}}
	part := stores.Part{Salt: "m/1", ID: "p"}
	following := func(fencing uint64, held map[stores.Part]int) *followedStore {
		x := &followedStore{fencing: fencing, inventory: stores.NewStoreInventory("1:1", 1000), cancel: func() {}}
		x.inventory.ApplyListing(stores.Listing{Epoch: 1, Held: held}, time.Now())
		return x
	}
	earlier, present := following(4, map[stores.Part]int{part: 300}), following(6, nil)
	sf.showParts(earlier, []stores.Part{part})
	revision := sf.showParts(present, []stores.Part{part})
	sf.showParts(earlier, []stores.Part{part})
	sf.showStoreState(earlier, nil)
	rows, last := table.Since(0)
	if len(rows) != 1 || last != revision {
		t.Fatalf("got %d rows up to revision %d, want the one of revision %d", len(rows), last, revision)
	}
	l, err := codec.Unmarshal[topic.Leased[int]](rows[0].Value)
	if err != nil || l.Fencing != 6 || l.Value != 0 {
		t.Errorf("the row holds %+v (%v), want the withdrawal under lease 6", l, err)
	}
}

// Guards against parts that are freed soon after the lease was lost for a moment: entries may use the list of the expired
// lease, which withdrawals under the present one don't change, until all stores have been listed again.
func TestRegrantedHolderWaitsBeforeItFrees(t *testing.T) {
	l := newLeaseLog()
	h := l.leaseHolder("a")
	h.fencing, h.grantedAt = 1, 0
	l.now = l.now.Add(time.Hour)
	h.renew(t.Context())
	l.now = l.now.Add(2 * leaseDuration)
	h.renew(t.Context())
	if h.fencingNumber() < 2 {
		t.Fatalf("the lease wasn't granted again: fencing number %d", h.fencingNumber())
	}
	if h.heldFor(stores.StaleAfter + stores.FetchWindow) {
		t.Error("parts may be freed at once")
	}
}

// Guards against a fetch of a withdrawn part whose row has kept its revision from before a list that shows the part.
func TestWithdrawalIsShownAfterTheList(t *testing.T) {
	table := rowtable.New(1)
	sf := &storeFollower{process: &process{table: table}}
	part := stores.Part{Salt: "m/1", ID: "p"}
	x := &followedStore{fencing: 4, inventory: stores.NewStoreInventory("1:1", 1000), cancel: func() {}}
	sf.showParts(x, []stores.Part{part})
	x.inventory.ApplyListing(stores.Listing{Epoch: 1, Held: map[stores.Part]int{part: 300}}, time.Now())
	sf.showStoreParts(x, "short", false, []stores.Part{part})
	_, listed := table.Since(0)
	x.inventory.Withdraw(func(stores.Part) bool { return true }, 1, time.Now())
	if revision := sf.showParts(x, []stores.Part{part}); revision <= listed {
		t.Errorf("the withdrawal has revision %d, the list %d", revision, listed)
	}
}
