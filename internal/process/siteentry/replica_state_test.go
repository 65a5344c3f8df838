package siteentry

import (
	"testing"
	"time"

	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

// storeDown returns the row of a store that isn't used.
func storeDown(t *testing.T, fencing uint64, store string) rowtable.Row {
	return leased(t, fencing, topic.StoreStates, store, topic.StoreState{})
}

// Guards against fetches by the list of an earlier lease once its holder gets the lease again: the store has restarted in
// between, and the part is being written anew, has broken off, or was freed.
func TestRowsOfAnEarlierLeaseAreNotUsed(t *testing.T) {
	s := newSiteWithStore(t)
	expect := func(want bool, when string) {
		t.Helper()
		if got := holdsPart(s, "p"); got != want {
			t.Errorf("%s: fetched %v, want %v", when, got, want)
		}
	}
	expect(true, "listed under the first lease")
	s.apply("other", watch.Answer{Epoch: 1, Fencing: 5, CaughtUp: true, Rows: []rowtable.Row{storeUp(t, 5, "1:1", 8)}})
	expect(false, "the next holder has listed the store without it")
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 6, CaughtUp: true})
	expect(false, "the first holder has the lease again and has listed nothing yet")
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 6, Rows: []rowtable.Row{leased(t, 4, topic.Parts, partKey("p", "1:1"), 300)}})
	expect(false, "a late row of the first lease")
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 6, Rows: []rowtable.Row{
		row(t, topic.StoreEpochs, "1:1", int64(8)), storeUp(t, 6, "1:1", 8), leased(t, 6, topic.Parts, partKey("p", "1:1"), 300),
	}})
	expect(true, "listed under the present lease")
}

// Guards against the same behind a relay, whose mirror keeps the rows of a replica over all its leases.
func TestRelayedRowsOfAnEarlierLeaseAreNotUsed(t *testing.T) {
	s := newRelayedSite(t)
	relayed := func(address string, fencing, revision uint64, rows ...rowtable.Row) {
		s.applyMirroredState(watch.HolderState{
			Address: address, Epoch: 1, Fencing: fencing, Position: watch.Position{Epoch: 7, Revision: revision}, Rows: rows,
		}, time.Now(), nil)
	}
	relayed("other", 5, 1, storeUp(t, 5, "1:1", 8))
	relayed("holder", 6, 3)
	if holdsPart(s, "q") || s.Busy("engine") {
		t.Error("rows of the first lease are used under the third")
	}
	s.apply("old", watch.Answer{Epoch: 1, Rows: []rowtable.Row{row(t, topic.StoreEpochs, "1:1", int64(8))}})
	relayed("holder", 6, 5, storeUp(t, 6, "1:1", 8), leased(t, 6, topic.Parts, partKey("q", "1:1"), 400))
	if !holdsPart(s, "q") {
		t.Error("rows of the present lease aren't used")
	}
}

// Guards against all parts being prefilled again because a holder has lost its lease for a moment: its earlier list is
// used until the new one is complete, unless the store has restarted.
func TestEarlierLeaseOfTheSameHolderIsUsedUntilTheNextIsComplete(t *testing.T) {
	s := newSiteWithStore(t)
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 5, CaughtUp: true})
	if !holdsPart(s, "p") {
		t.Error("the list of the lease before isn't used")
	}
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 5, Rows: []rowtable.Row{row(t, topic.StoreEpochs, "1:1", int64(8))}})
	if holdsPart(s, "p") {
		t.Error("the list of the lease before is used though the store has restarted")
	}
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 5, Rows: []rowtable.Row{storeDown(t, 5, "1:1")}})
	if holdsPart(s, "p") {
		t.Error("the list of the lease before is used though that of the present one is complete")
	}
}

// Guards against a list of a store's earlier incarnation being used because its holder sees by now that the store has
// restarted and hasn't listed it again.
func TestListIsOfTheStoresIncarnation(t *testing.T) {
	s := newSiteWithStore(t)
	s.apply("other", watch.Answer{Epoch: 1, Rows: []rowtable.Row{row(t, topic.StoreEpochs, "1:1", int64(0))}})
	if !holdsPart(s, "p") {
		t.Error("the list isn't used because another replica doesn't reach the store")
	}
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 4, Rows: []rowtable.Row{row(t, topic.StoreEpochs, "1:1", int64(8))}})
	if holdsPart(s, "p") {
		t.Error("the list of an earlier incarnation is used")
	}
}
