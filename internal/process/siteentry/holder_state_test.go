package siteentry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/node/boottime"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

func row(t *testing.T, top rowtable.Topic, key string, value any) rowtable.Row {
	t.Helper()
	b, err := codec.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return rowtable.Row{Topic: top, Key: key, Value: b}
}

// leased returns the row of a value that holds under the lease with the fencing number.
func leased[T any](t *testing.T, fencing uint64, top rowtable.Topic, key string, value T) rowtable.Row {
	t.Helper()
	return row(t, top, key, topic.Leased[T]{Fencing: fencing, Value: value})
}

// storeUp returns the row of a store that is used in that epoch.
func storeUp(t *testing.T, fencing uint64, store string, epoch int64) rowtable.Row {
	t.Helper()
	return leased(t, fencing, topic.StoreStates, store, topic.StoreState{Usable: true, Epoch: epoch})
}

// partKey returns the key of a part of the model in a store.
func partKey(id, store string) string {
	return stores.Part{Salt: "m/1", ID: id}.AtStore(store).Key()
}

func newSiteWithStore(t *testing.T) *site {
	s := newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
	s.follow = func() {}
	s.applyDocument(document.Document{Revision: 1, Stores: []document.Store{{Address: "1:1", CapacityTokens: 1000}}}, "", nil)
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 4, CaughtUp: true, Rows: []rowtable.Row{
		leased(t, 4, topic.Parts, partKey("p", "1:1"), 300),
		storeUp(t, 4, "1:1", 7),
		row(t, topic.StoreEpochs, "1:1", int64(7)),
	}})
	return s
}

// The replica that reported the stores is lost. Until another one holds the lease the entry keeps using its
// reports. But a store that restarts in that time is empty, and a part that is being written there again would
// be fetched incomplete.
func TestStoreRestartIsDetectedWithoutTheHolder(t *testing.T) {
	s := newSiteWithStore(t)
	fetchable := func() bool { return len(s.Copies("m/1", "p", 300)) == 1 }
	if !fetchable() {
		t.Fatal("the part isn't known")
	}
	s.mu.Lock()
	s.directStates["old"].lease(4).lastContact = time.Now().Add(-storeEpochTTL - time.Second)
	s.mu.Unlock()
	if fetchable() {
		t.Error("the part is used though no replica confirms that the store still runs")
	}
	s.apply("other", watch.Answer{Epoch: 1, Rows: []rowtable.Row{row(t, topic.StoreEpochs, "1:1", int64(7))}})
	if !fetchable() {
		t.Error("the part is not used though another replica confirms the store's incarnation")
	}
	s.apply("other", watch.Answer{Epoch: 1, Rows: []rowtable.Row{row(t, topic.StoreEpochs, "1:1", int64(8))}})
	if fetchable() {
		t.Error("the part is used though the store has restarted")
	}
}

// Two replicas claim the lease; one of them has been superseded and doesn't know.
func TestHigherFencingNumberCounts(t *testing.T) {
	s := newSiteWithStore(t)
	s.apply("new", watch.Answer{Epoch: 1, Fencing: 5, Rows: []rowtable.Row{storeUp(t, 5, "1:1", 7), row(t, topic.StoreEpochs, "1:1", int64(7))}})
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 4})
	if len(s.Copies("m/1", "p", 300)) != 0 {
		t.Error("the superseded holder's state is used")
	}
}

// tieredStores returns two small fast stores and two large slow ones with slower links.
func tieredStores() []document.Store {
	const fast, slow = 140e9 / 8, 86e9 / 8
	return []document.Store{
		{Address: "fast-1", CapacityTokens: 300_000, LinkRate: fast, Latency: 500 * time.Microsecond},
		{Address: "fast-2", CapacityTokens: 300_000, LinkRate: fast, Latency: 500 * time.Microsecond},
		{Address: "slow-1", CapacityTokens: 900_000, LinkRate: slow, Latency: 6 * time.Millisecond},
		{Address: "slow-2", CapacityTokens: 900_000, LinkRate: slow, Latency: 6 * time.Millisecond},
	}
}

// Many long prompts are sent again at once and their parts are in stores. If all long parts were in the large
// slow stores, two links would carry all transfers, and their callers would wait while two faster links are
// idle. The pattern: thousands of long parts of 13,000 tokens, two tiers whose link rates differ by a factor of
// 1.6.
func TestLongPartsSpreadByLink(t *testing.T) {
	first := map[string]int{}
	const parts = 2000
	for i := range parts {
		p := stores.Part{Salt: "m/1", ID: fmt.Sprint("p", i)}
		first[placement(tieredStores(), p, 13_000)[0].Address]++
		if s := placement(tieredStores(), p, 300)[0]; s.Latency > fastStoreLatency {
			t.Fatalf("a short part goes to %s", s.Address)
		}
	}
	for _, s := range tieredStores() {
		want := parts * s.LinkRate / (2 * (140e9 + 86e9) / 8)
		if got := float64(first[s.Address]); got < 0.9*want || got > 1.1*want {
			t.Errorf("%s gets %.0f of %d parts, want %.0f by its link rate", s.Address, got, parts, want)
		}
	}
}

// Long parts must leave capacity on the fast stores for the short ones, which are fetched ten times as often and
// for which a slow store's latency is most of the time.
func TestLongPartsLeaveCapacityForShortOnes(t *testing.T) {
	s := newSiteWithStore(t)
	s.applyDocument(document.Document{Revision: 2, Stores: tieredStores()}, "", nil)
	var rows []rowtable.Row
	for _, x := range tieredStores() {
		rows = append(rows, storeUp(t, 4, x.Address, 7))
		if x.Latency <= fastStoreLatency {
			rows = append(rows, leased(t, 4, topic.Parts, partKey("old", x.Address), int(maxLongPartFillShare*float64(x.CapacityTokens))))
		}
	}
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 4, Rows: rows})
	for i := range 50 {
		id := fmt.Sprint("p", i)
		if at := s.SaveTarget("m/1", id+"long", 13_000); !strings.HasPrefix(at, "slow") {
			t.Errorf("a long part goes to %q", at)
		}
		if at := s.SaveTarget("m/1", id, 300); !strings.HasPrefix(at, "fast") {
			t.Errorf("a short part goes to %q", at)
		}
	}
}

// The lease holder is lost and the next one lists the stores one after the other. If its state were used from
// the first store on, all prompts whose parts are in the other stores would be prefilled again. A store that it
// found empty must not bring back the previous holder's state either.
func TestNextHolderCountsOnceItHasListedAllStores(t *testing.T) {
	s := newSiteWithStore(t)
	s.applyDocument(document.Document{Revision: 2, Stores: []document.Store{{Address: "1:1", CapacityTokens: 1000}, {Address: "2:2", CapacityTokens: 1000}}}, "", nil)
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 4, Rows: []rowtable.Row{
		storeUp(t, 4, "2:2", 7),
	}})
	fetchable := func() bool { return len(s.Copies("m/1", "p", 300)) == 1 }
	if !fetchable() {
		t.Fatal("the part isn't known")
	}
	s.apply("new", watch.Answer{Epoch: 1, Fencing: 5, Rows: []rowtable.Row{storeUp(t, 5, "2:2", 7)}})
	if !fetchable() {
		t.Error("the part is dropped before the new holder has listed its store")
	}
	if state := s.holder(); state != s.directStates["new"].lease(5) {
		t.Error("used parts are still reported to the earlier holder")
	}
	if relay := s.chooseRelay("z", "e", time.Now()); relay != "new" {
		t.Error("loads and prefills are still reported to the earlier holder")
	}
	s.apply("new", watch.Answer{Epoch: 1, Fencing: 5, Rows: []rowtable.Row{storeUp(t, 5, "1:1", 7)}})
	if fetchable() {
		t.Error("the part is used though the new holder has listed the store without it")
	}
}

// Guards against a part being fetched from a store that has restarted, because the first pieces of an answer
// refresh the state.
func TestPartialAnswerIsNotFresh(t *testing.T) {
	s := newSiteWithStore(t)
	fetchable := func() bool { return len(s.Copies("m/1", "p", 300)) == 1 }
	s.mu.Lock()
	s.directStates["old"].lease(4).lastContact = time.Now().Add(-storeEpochTTL - time.Second)
	s.mu.Unlock()
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 4, More: true})
	if fetchable() {
		t.Error("a partial answer made the store's old state fresh")
	}
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 4})
	if !fetchable() {
		t.Error("a complete answer doesn't make the state fresh")
	}
}

// Guards against a resumed entry having parts fetched that were freed while it was suspended.
func TestStateAgesWhileProcessIsSuspended(t *testing.T) {
	s := newSiteWithStore(t)
	fetchable := func() bool { return len(s.Copies("m/1", "p", 300)) == 1 }
	s.suspension.lastRun.Store(int64(boottime.Now() - stores.StaleAfter))
	s.AwaitFreshState(t.Context())
	if fetchable() {
		t.Error("a state from before the suspension counts as fresh")
	}
	s.apply("old", watch.Answer{Epoch: 1, Fencing: 4})
	if !fetchable() {
		t.Error("an answer after the suspension doesn't make the state fresh")
	}
}

// A site has engines and no store. Entries that don't learn of each other's loads there all send to the same
// engine, and also to engines that load new weights.
func TestSiteWithoutStores(t *testing.T) {
	s := newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
	s.follow = func() {}
	aggregator := share.NewAggregator()
	aggregator.Add(share.Report{Entry: "o", Sequence: 1, Loads: share.Loads{"i-1": {InFlight: 3}}}, time.Now())
	s.applyDocument(document.Document{Revision: 1}, "", nil)
	s.apply("a", watch.Answer{Epoch: 1, Fencing: 4, Rows: []rowtable.Row{
		leased(t, 4, topic.Busy, "i-2", true),
	}})
	if err := s.applyHint(row(t, topic.Loads, "", aggregator.Sum(time.Now()))); err != nil {
		t.Fatal(err)
	}
	if l := s.peerLoads.Load("i-1", time.Now()); l.InFlight != 3 {
		t.Errorf("the peer load is %d requests, want 3", l.InFlight)
	}
	if !s.Busy("i-2") {
		t.Error("an engine that loads new weights isn't busy")
	}
	if s.chooseRelay("z", "e", time.Now()) != "a" {
		t.Error("no relay is chosen for this entry's loads")
	}
	if s.holderAddress() != "a" {
		t.Error("no replica is chosen for the report of used parts")
	}
}
