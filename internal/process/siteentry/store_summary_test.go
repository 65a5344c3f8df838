package siteentry

import (
	"fmt"
	"testing"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

// storeSummary returns the row of a store that contains the parts with these sizes in tokens.
func storeSummary(whole bool, sizes map[string]int) topic.StoreSummary {
	s := topic.StoreSummary{Address: "1:1", ReplacesEarlier: whole}
	for id, tokens := range sizes {
		s.Parts = append(s.Parts, stores.Part{Salt: "m/1", ID: id}.Hash())
		s.Tokens = append(s.Tokens, uint32(tokens))
	}
	return s
}

// A replica gets the lease a second time, and meanwhile another holder has freed a part that it reported under
// the first. If the part still counted as present, an engine could fetch it while it is being written again, and
// a caller would get a response computed from half of it.
func TestStoreListingReplacesEarlierRows(t *testing.T) {
	s := newSiteWithStore(t)
	held := func(id string) bool { return len(s.Copies("m/1", id, 300)) == 1 }
	apply := func(rows ...rowtable.Row) {
		s.apply("old", watch.Answer{Epoch: 1, Fencing: 4, CaughtUp: true, Rows: rows})
	}
	apply(leased(t, 4, topic.StoreSummaries, "1:1/long", storeSummary(true, map[string]int{"q": 400, "r": 300})))
	if held("p") || !held("q") || !held("r") {
		t.Errorf("p %v, q %v, r %v", held("p"), held("q"), held("r"))
	}
	apply(leased(t, 4, topic.StoreSummaries, "1:1/short", storeSummary(false, map[string]int{"s": 300})))
	if !held("q") || !held("s") {
		t.Error("the short parts have replaced the long ones")
	}
	apply(leased(t, 4, topic.Parts, partKey("p", "1:1"), 300),
		leased(t, 4, topic.Parts, partKey("q", "1:1"), 0))
	if !held("p") || held("q") {
		t.Error("rows after the listing aren't applied")
	}
	if used := s.directStates["old"].lease(4).usedTokens[stores.ShortAddress("1:1")]; used != 900 {
		t.Errorf("counted %d tokens, want 900", used)
	}
}

// After a loss of all processes the first holder has to send every entry the contents of all stores: 5,000 parts
// in 26 stores for 73 entries. With a row for each part that was 22 MB, and for seconds entries had engines
// prefill again what was in a store.
func TestStoreSummariesAreCompact(t *testing.T) {
	const storeCount, parts = 26, 200
	size := 0
	for s := range storeCount {
		sizes := map[string]int{}
		for i := range parts {
			sizes[fmt.Sprint(s, ".", i)] = 1000 + 50*i
		}
		b, err := codec.Marshal(storeSummary(true, sizes))
		if err != nil {
			t.Fatal(err)
		}
		size += len(b)
	}
	t.Logf("%d bytes", size)
	if most := storeCount * (parts*12 + 64); size > most {
		t.Errorf("%d parts take %d bytes, want at most %d", storeCount*parts, size, most)
	}
}
