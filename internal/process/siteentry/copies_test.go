package siteentry

import (
	"testing"
	"time"

	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

// relayedLead is a holder of the lease that shows one whole part, as a relay tells of it.
func relayedLead(t *testing.T, copied watch.Position, age time.Duration) watch.HolderState {
	return watch.HolderState{Address: "holder", Epoch: 1, Fencing: 4, Age: age, Position: copied, Rows: []rowtable.Row{
		row(t, topic.StoresUp, "1:1", true),
		row(t, topic.StoreSummaries, "1:1/long", shelfOf(true, map[string]int{"q": 400})),
		row(t, topic.Busy, "engine", true),
	}}
}

// relayedSite returns what an entry behind a relay knows after the relay's first word.
func relayedSite(t *testing.T) *site {
	t.Helper()
	s := siteWithStore(t)
	s.takeDocument(s.Table().Document(), nil)
	s.setRelayed(true)
	s.takeLead(relayedLead(t, watch.Position{Epoch: 7, Revision: 3}, 0), time.Now(), nil)
	return s
}

func holdsPart(s *site, id string) bool { return len(s.Copies("m/1", id, 300)) == 1 }

// Guards against an entry behind a relay fetching nothing from stores or sending to engines that load weights.
func TestRelayedWordCounts(t *testing.T) {
	s := relayedSite(t)
	if !holdsPart(s, "q") || !s.Busy("engine") {
		t.Error("the holder's word doesn't count")
	}
	if s.leader() != "holder" {
		t.Errorf("uses of parts are told to %q", s.leader())
	}
	if p := s.positions()["holder"]; p != (watch.Position{Epoch: 7, Revision: 3}) {
		t.Errorf("the relay is asked for what comes after %+v", p)
	}
}

// Guards against fetches of parts that were freed since, by the word of a relay that is cut off from the holder.
func TestOldRelayedWordIsNotBelieved(t *testing.T) {
	s := relayedSite(t)
	s.takeLead(relayedLead(t, watch.Position{Epoch: 7, Revision: 3}, stores.StaleAfter), time.Now(), nil)
	if holdsPart(s, "q") {
		t.Error("a part is fetched by a word that is too old")
	}
	s.takeLead(watch.HolderState{Address: "holder", Epoch: 1, Fencing: 4, Position: watch.Position{Epoch: 7, Revision: 3}}, time.Now().Add(-stores.StaleAfter), nil)
	if holdsPart(s, "q") {
		t.Error("the age of a word begins when its answer comes, not when it was asked for")
	}
}

// Guards against parts of an earlier copy being fetched after another relay has begun a new one.
func TestNewCopyReplacesTheEarlierOne(t *testing.T) {
	s := relayedSite(t)
	l := relayedLead(t, watch.Position{Epoch: 8, Revision: 2}, 0)
	l.Rows = l.Rows[:1]
	s.takeLead(l, time.Now(), nil)
	if holdsPart(s, "q") || s.Busy("engine") {
		t.Error("rows of the earlier copy still count")
	}
}

// Guards against rows that came by one way counting once the other is used, when nobody tells of their changes.
func TestOneWayCountsAtATime(t *testing.T) {
	s := relayedSite(t)
	direct := watch.Answer{Epoch: 1, Fencing: 5, Rows: []rowtable.Row{
		row(t, topic.StoresUp, "1:1", true),
		row(t, topic.StoreSummaries, "1:1/long", shelfOf(true, map[string]int{"r": 400})),
	}}
	s.take("holder", direct)
	if holdsPart(s, "r") || !holdsPart(s, "q") {
		t.Error("a replica's direct word counts beside the relay's")
	}
	s.setRelayed(false)
	for _, id := range []string{"p", "q", "r"} {
		if holdsPart(s, id) {
			t.Errorf("part %s counts, of which nobody has told since the way changed", id)
		}
	}
	s.take("holder", direct)
	if !holdsPart(s, "r") {
		t.Error("the holder's direct word doesn't count")
	}
	s.takeLead(relayedLead(t, watch.Position{Epoch: 7, Revision: 9}, 0), time.Now(), nil)
	if holdsPart(s, "q") {
		t.Error("an answer of the relay that came late counts")
	}
	s.setRelayed(true)
	if holdsPart(s, "q") || holdsPart(s, "r") || len(s.positions()) > 0 {
		t.Error("what was told before the way changed twice counts again")
	}
}
