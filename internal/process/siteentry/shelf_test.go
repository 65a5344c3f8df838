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

// shelfOf returns the row of a store that holds so many tokens of each part.
func shelfOf(whole bool, sizes map[string]int) topic.StoreSummary {
	s := topic.StoreSummary{Address: "1:1", Whole: whole}
	for id, tokens := range sizes {
		s.Parts = append(s.Parts, stores.Part{Salt: "m/1", ID: id}.Hash())
		s.Tokens = append(s.Tokens, uint32(tokens))
	}
	return s
}

// A replica gets the lease a second time, and meanwhile another holder has freed a
// part that it showed under the first. Were the part still believed to be there, an
// engine could fetch it while it is being written anew, and a caller would get an
// answer made from half of it.
func TestListOfAStoreReplacesWhatWasToldBefore(t *testing.T) {
	s := siteWithStore(t)
	held := func(id string) bool { return len(s.Copies("m/1", id, 300)) == 1 }
	take := func(rows ...rowtable.Row) {
		s.take("old", watch.Answer{Epoch: 1, Fencing: 4, CaughtUp: true, Rows: rows})
	}
	take(row(t, topic.StoreSummaries, "1:1/long", shelfOf(true, map[string]int{"q": 400, "r": 300})))
	if held("p") || !held("q") || !held("r") {
		t.Errorf("p %v, q %v, r %v", held("p"), held("q"), held("r"))
	}
	take(row(t, topic.StoreSummaries, "1:1/short", shelfOf(false, map[string]int{"s": 300})))
	if !held("q") || !held("s") {
		t.Error("the short parts have replaced the long ones")
	}
	take(row(t, topic.Parts, stores.Part{Salt: "m/1", ID: "p"}.AtStore("1:1").Key(), 300),
		rowtable.Row{Topic: topic.Parts, Key: stores.Part{Salt: "m/1", ID: "q"}.AtStore("1:1").Key()})
	if !held("p") || held("q") {
		t.Error("what came after the list doesn't count")
	}
	if used := s.leads["old"].used[stores.ShortAddress("1:1")]; used != 900 {
		t.Errorf("%d tokens are counted of 900", used)
	}
}

// After a loss of all processes the first holder owes every entry all that lies in
// all stores: 5,000 parts in 26 stores for 73 entries. With a row for each part that
// was 22 MB, and entries had engines read again for seconds what lay in a store.
func TestListOfAllStoresIsShort(t *testing.T) {
	const shelves, parts = 26, 200
	size := 0
	for s := range shelves {
		sizes := map[string]int{}
		for i := range parts {
			sizes[fmt.Sprint(s, ".", i)] = 1000 + 50*i
		}
		b, err := codec.Marshal(shelfOf(true, sizes))
		if err != nil {
			t.Fatal(err)
		}
		size += len(b)
	}
	t.Logf("%d bytes", size)
	if most := shelves * (parts*12 + 64); size > most {
		t.Errorf("%d parts take %d bytes, over %d", shelves*parts, size, most)
	}
}
