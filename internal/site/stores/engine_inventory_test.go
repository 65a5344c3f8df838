package stores

import "testing"

// Guards against an inventory that still lists evicted parts after events were lost or
// the engine has restarted: prompts would be routed to an engine without their KV cache.
func TestEngineIsListedAgainAfterLossOrRestart(t *testing.T) {
	longPart, shortPart := Part{Salt: "x", ID: "long"}, Part{Salt: "x", ID: "short"}
	c := NewEngineInventory(1000)
	added := Feed{Epoch: 1, Next: 3, Changes: []Change{{longPart, true, 5000}, {shortPart, true, 300}}}
	if !c.ApplyFeed(added) || len(c.Parts()) != 1 || c.Parts()[longPart.Hash()] != 5000 || c.Next() != 3 {
		t.Fatalf("parts %v, next %d", c.Parts(), c.Next())
	}
	if !c.ApplyFeed(Feed{Epoch: 1, Next: 4, Changes: []Change{{longPart, false, 2000}}}) || c.Parts()[longPart.Hash()] != 2000 {
		t.Errorf("%d tokens are recorded for a part whose end was evicted", c.Parts()[longPart.Hash()])
	}
	if c.ApplyFeed(Feed{Epoch: 1, Next: 9, Lost: true}) || c.ApplyFeed(Feed{Epoch: 2, Next: 1}) {
		t.Error("a feed was applied after lost events or a restart")
	}
	c.ApplyListing(Listing{Epoch: 2, Next: 1, Held: map[Part]int{shortPart: 300}})
	if len(c.Parts()) != 0 || !c.ApplyFeed(Feed{Epoch: 2, Next: 2}) {
		t.Errorf("parts %v remain after the listing", c.Parts())
	}
}
