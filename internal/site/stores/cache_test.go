package stores

import "testing"

// Events of an engine are lost, or it restarts with an empty memory. Its account
// would go on naming parts that are gone, and prompts would be sent to where
// nothing of them lies.
func TestCacheIsListedAgain(t *testing.T) {
	long, short := Part{Salt: "x", ID: "long"}, Part{Salt: "x", ID: "short"}
	c := NewEngineInventory(1000)
	added := Feed{Epoch: 1, Next: 3, Changes: []Change{{long, true, 5000}, {short, true, 300}}}
	if !c.ApplyFeed(added) || len(c.Parts()) != 1 || c.Parts()[long.Hash()] != 5000 || c.Next() != 3 {
		t.Fatalf("kept %v, next %d", c.Parts(), c.Next())
	}
	if !c.ApplyFeed(Feed{Epoch: 1, Next: 4, Changes: []Change{{long, false, 2000}}}) || c.Parts()[long.Hash()] != 2000 {
		t.Errorf("of a part that lost its end the engine keeps %d tokens", c.Parts()[long.Hash()])
	}
	if c.ApplyFeed(Feed{Epoch: 1, Next: 9, Lost: true}) || c.ApplyFeed(Feed{Epoch: 2, Next: 1}) {
		t.Error("lost events or a restart passed for news")
	}
	c.ApplyListing(Listing{Epoch: 2, Next: 1, Held: map[Part]int{short: 300}})
	if len(c.Parts()) != 0 || !c.ApplyFeed(Feed{Epoch: 2, Next: 2}) {
		t.Errorf("after the list it still names %v", c.Parts())
	}
}
