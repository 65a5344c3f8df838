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

func siteWithStore(t *testing.T) *site {
	s := newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
	s.follow = func() {}
	s.takeDocument(document.Document{Revision: 1, Stores: []document.Store{{Address: "1:1", CapacityTokens: 1000}}}, nil)
	s.take("old", watch.Answer{Epoch: 1, Fencing: 4, CaughtUp: true, Rows: []rowtable.Row{
		row(t, topic.Parts, stores.Part{Salt: "m/1", ID: "p"}.AtStore("1:1").Key(), 300),
		row(t, topic.StoresUp, "1:1", true),
		row(t, topic.Epochs, "1:1", int64(7)),
	}})
	return s
}

// The replica that told of the stores is lost. Until another one holds the
// lease the entry goes on with what it was told; but a store that restarts in
// that time is empty, and a part that is being written there anew would be
// fetched half.
func TestRestartOfAStoreIsHeardWithoutTheHolder(t *testing.T) {
	s := siteWithStore(t)
	whole := func() bool { return len(s.Copies("m/1", "p", 300)) == 1 }
	if !whole() {
		t.Fatal("the part isn't known")
	}
	s.mu.Lock()
	s.leads["old"].heard = time.Now().Add(-tellsFor - time.Second)
	s.mu.Unlock()
	if whole() {
		t.Error("believed without anybody's word that the store still runs")
	}
	s.take("other", watch.Answer{Epoch: 1, Rows: []rowtable.Row{row(t, topic.Epochs, "1:1", int64(7))}})
	if !whole() {
		t.Error("not believed though another replica sees the same start")
	}
	s.take("other", watch.Answer{Epoch: 1, Rows: []rowtable.Row{row(t, topic.Epochs, "1:1", int64(8))}})
	if whole() {
		t.Error("believed though the store has restarted")
	}
}

// Two replicas claim the lease, one of them has been superseded and doesn't know.
func TestHigherFencingNumberCounts(t *testing.T) {
	s := siteWithStore(t)
	s.take("new", watch.Answer{Epoch: 1, Fencing: 5, Rows: []rowtable.Row{row(t, topic.StoresUp, "1:1", true), row(t, topic.Epochs, "1:1", int64(7))}})
	s.take("old", watch.Answer{Epoch: 1, Fencing: 4})
	if len(s.Copies("m/1", "p", 300)) != 0 {
		t.Error("the superseded holder's word counts")
	}
}

// tieredStores are two small fast stores and two large slow ones with slower links.
func tieredStores() []document.Store {
	const fast, slow = 140e9 / 8, 86e9 / 8
	return []document.Store{
		{Address: "fast-1", CapacityTokens: 300_000, LinkRate: fast, Latency: 500 * time.Microsecond},
		{Address: "fast-2", CapacityTokens: 300_000, LinkRate: fast, Latency: 500 * time.Microsecond},
		{Address: "slow-1", CapacityTokens: 900_000, LinkRate: slow, Latency: 6 * time.Millisecond},
		{Address: "slow-2", CapacityTokens: 900_000, LinkRate: slow, Latency: 6 * time.Millisecond},
	}
}

// Many long prompts come back at once and their parts lie in stores. If all long
// parts were on the large slow stores, two links would carry everything, and the
// callers behind them would wait while two faster links rest. The pattern: long
// parts of 13,000 tokens by the thousand, two tiers whose links differ by 1.6.
func TestLongPartsSpreadByLink(t *testing.T) {
	first := map[string]int{}
	const parts = 2000
	for i := range parts {
		p := stores.Part{Salt: "m/1", ID: fmt.Sprint("p", i)}
		first[placement(tieredStores(), p, 13_000)[0].Address]++
		if s := placement(tieredStores(), p, 300)[0]; s.Latency > fastFirst {
			t.Fatalf("a short part goes to %s", s.Address)
		}
	}
	for _, s := range tieredStores() {
		want := parts * s.LinkRate / (2 * (140e9 + 86e9) / 8)
		if got := float64(first[s.Address]); got < 0.9*want || got > 1.1*want {
			t.Errorf("%s gets %.0f of %d, its link's share is %.0f", s.Address, got, parts, want)
		}
	}
}

// Long parts must leave room on the fast stores for the short ones, which are
// fetched ten times as often and for which a slow store's wait is most of the time.
func TestLongPartsLeaveRoomForShortOnes(t *testing.T) {
	s := siteWithStore(t)
	s.takeDocument(document.Document{Revision: 2, Stores: tieredStores()}, nil)
	var rows []rowtable.Row
	for _, x := range tieredStores() {
		rows = append(rows, row(t, topic.StoresUp, x.Address, true))
		if x.Latency <= fastFirst {
			rows = append(rows, row(t, topic.Parts, stores.Part{Salt: "m/1", ID: "old"}.AtStore(x.Address).Key(), int(longShare*float64(x.CapacityTokens))))
		}
	}
	s.take("old", watch.Answer{Epoch: 1, Fencing: 4, Rows: rows})
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

// The holder of the lease is lost and the next one lists the stores one after the
// other. If its word counted from the first store on, all prompts whose parts lie
// in the others would be read again; a store that it found empty must not bring
// the old word back either.
func TestNextHolderCountsOnceItHasListedAllStores(t *testing.T) {
	s := siteWithStore(t)
	s.takeDocument(document.Document{Revision: 2, Stores: []document.Store{{Address: "1:1", CapacityTokens: 1000}, {Address: "2:2", CapacityTokens: 1000}}}, nil)
	s.take("old", watch.Answer{Epoch: 1, Fencing: 4, Rows: []rowtable.Row{
		row(t, topic.StoresUp, "2:2", true),
	}})
	whole := func() bool { return len(s.Copies("m/1", "p", 300)) == 1 }
	if !whole() {
		t.Fatal("the part isn't known")
	}
	s.take("new", watch.Answer{Epoch: 1, Fencing: 5, Rows: []rowtable.Row{row(t, topic.StoresUp, "2:2", true)}})
	if !whole() {
		t.Error("the part is forgotten before the new holder has listed its store")
	}
	if at := s.holder(); at != s.leads["new"] {
		t.Error("the uses of parts still go to the earlier holder")
	}
	if at := s.chooseRelay("z", "e", time.Now()); at != "new" {
		t.Error("loads and readings still go to the earlier holder")
	}
	s.take("new", watch.Answer{Epoch: 1, Fencing: 5, Rows: []rowtable.Row{row(t, topic.StoresUp, "1:1", true)}})
	if whole() {
		t.Error("the new holder has listed the store without the part")
	}
}

// Guards against a part being fetched from a store that has restarted, by a word that is fresh only in its first pieces.
func TestWordThatComesInPiecesIsNotFresh(t *testing.T) {
	s := siteWithStore(t)
	whole := func() bool { return len(s.Copies("m/1", "p", 300)) == 1 }
	s.mu.Lock()
	s.leads["old"].heard = time.Now().Add(-tellsFor - time.Second)
	s.mu.Unlock()
	s.take("old", watch.Answer{Epoch: 1, Fencing: 4, More: true})
	if whole() {
		t.Error("the store's state of some seconds ago counts as fresh")
	}
	s.take("old", watch.Answer{Epoch: 1, Fencing: 4})
	if !whole() {
		t.Error("the whole word doesn't count")
	}
}

// Guards against an entry that was suspended having parts fetched that were freed meanwhile.
func TestWordAgesWhileTheProcessStandsStill(t *testing.T) {
	s := siteWithStore(t)
	whole := func() bool { return len(s.Copies("m/1", "p", 300)) == 1 }
	s.thaw.ran.Store(int64(boottime.Now() - stores.StaleAfter))
	s.AwaitFreshState(t.Context())
	if whole() {
		t.Error("a word from before the standstill counts as fresh")
	}
	s.take("old", watch.Answer{Epoch: 1, Fencing: 4})
	if !whole() {
		t.Error("the word after it doesn't count")
	}
}

// A site has engines and no store. Entries that don't hear of each other there
// all send to the same engine, and send to engines that load new weights.
func TestSiteWithoutStores(t *testing.T) {
	s := newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
	s.follow = func() {}
	adder := share.NewAggregator()
	adder.Add(share.Report{Entry: "o", Sequence: 1, Loads: share.Loads{"i-1": {InFlight: 3}}}, time.Now())
	s.takeDocument(document.Document{Revision: 1}, nil)
	s.take("a", watch.Answer{Epoch: 1, Fencing: 4, Rows: []rowtable.Row{
		row(t, topic.Busy, "i-2", true),
	}})
	if err := s.takeHint(row(t, topic.Loads, "", adder.Sum(time.Now()))); err != nil {
		t.Fatal(err)
	}
	if l := s.others.Load("i-1", time.Now()); l.InFlight != 3 {
		t.Errorf("the others have %d requests there", l.InFlight)
	}
	if !s.Busy("i-2") {
		t.Error("an engine that loads new weights isn't spared")
	}
	if s.chooseRelay("z", "e", time.Now()) != "a" {
		t.Error("nobody is told what this entry has at engines")
	}
	if s.leader() != "a" {
		t.Error("nobody is told which parts were asked for")
	}
}
