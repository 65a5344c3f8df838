package siteentry

import (
	"testing"
	"time"

	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

// relayedState returns a relay's mirror of a lease holder that reports one complete part.
func relayedState(t *testing.T, position watch.Position, age time.Duration) watch.HolderState {
	return watch.HolderState{Address: "holder", Epoch: 1, Fencing: 4, Age: age, Position: position, Rows: []rowtable.Row{
		storeUp(t, 4, "1:1", 7),
		leased(t, 4, topic.StoreSummaries, "1:1/long", storeSummary(true, map[string]int{"q": 400})),
		leased(t, 4, topic.Busy, "engine", true),
	}}
}

// newRelayedSite returns the site of an entry behind a relay after the relay's first answer.
func newRelayedSite(t *testing.T) *site {
	t.Helper()
	s := newSiteWithStore(t)
	s.applyDocument(s.Table().Document(), "", nil)
	s.setRelayed(true)
	s.applyMirroredState(relayedState(t, watch.Position{Epoch: 7, Revision: 3}, 0), time.Now(), nil)
	return s
}

func holdsPart(s *site, id string) bool { return len(s.Copies("m/1", id, 300)) == 1 }

// Guards against an entry behind a relay fetching nothing from stores or sending to engines that load weights.
func TestRelayedStateIsUsed(t *testing.T) {
	s := newRelayedSite(t)
	if !holdsPart(s, "q") || !s.Busy("engine") {
		t.Error("the holder's state isn't used")
	}
	if s.holderAddress() != "holder" {
		t.Errorf("used parts are reported to %q", s.holderAddress())
	}
	if p := s.mirrorPositions()["holder"]; p != (watch.Position{Epoch: 7, Revision: 3}) {
		t.Errorf("the relay is polled from position %+v", p)
	}
}

// Guards against fetches of parts that were freed since, by the state from a relay that is cut off from the
// holder.
func TestStaleRelayedStateIsIgnored(t *testing.T) {
	s := newRelayedSite(t)
	s.applyMirroredState(relayedState(t, watch.Position{Epoch: 7, Revision: 3}, stores.StaleAfter), time.Now(), nil)
	if holdsPart(s, "q") {
		t.Error("a part is fetched by a stale state")
	}
	s.applyMirroredState(watch.HolderState{Address: "holder", Epoch: 1, Fencing: 4, Position: watch.Position{Epoch: 7, Revision: 3}}, time.Now().Add(-stores.StaleAfter), nil)
	if holdsPart(s, "q") {
		t.Error("the age of a state is counted from the receipt of the answer, not from the sending of the poll")
	}
}

// Guards against parts of an earlier mirror being fetched after another relay has started a new one.
func TestNewMirrorReplacesTheEarlierOne(t *testing.T) {
	s := newRelayedSite(t)
	state := relayedState(t, watch.Position{Epoch: 8, Revision: 2}, 0)
	state.Rows = state.Rows[:1]
	s.applyMirroredState(state, time.Now(), nil)
	if holdsPart(s, "q") || s.Busy("engine") {
		t.Error("rows of the earlier mirror are still used")
	}
}

// Guards against rows that came over one path being used after a switch to the other, when changes of them are
// no longer sent.
func TestDirectAndRelayedStatesAreExclusive(t *testing.T) {
	s := newRelayedSite(t)
	direct := watch.Answer{Epoch: 1, Fencing: 5, Rows: []rowtable.Row{
		storeUp(t, 5, "1:1", 7),
		leased(t, 5, topic.StoreSummaries, "1:1/long", storeSummary(true, map[string]int{"r": 400})),
	}}
	s.apply("holder", direct)
	if holdsPart(s, "r") || !holdsPart(s, "q") {
		t.Error("a replica's direct state is used besides the mirrored one")
	}
	s.setRelayed(false)
	for _, id := range []string{"p", "q", "r"} {
		if holdsPart(s, id) {
			t.Errorf("part %s is used though it was not reported since the switch of paths", id)
		}
	}
	s.apply("holder", direct)
	if !holdsPart(s, "r") {
		t.Error("the holder's direct state isn't used")
	}
	s.applyMirroredState(relayedState(t, watch.Position{Epoch: 7, Revision: 9}, 0), time.Now(), nil)
	if holdsPart(s, "q") {
		t.Error("a late answer of the relay is used")
	}
	s.setRelayed(true)
	if holdsPart(s, "q") || holdsPart(s, "r") || len(s.mirrorPositions()) > 0 {
		t.Error("state from before the last switch of paths is used again")
	}
}
