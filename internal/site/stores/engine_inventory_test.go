package stores

import "testing"

// Guards against an inventory that still lists evicted parts after events were lost or
// the engine has restarted: prompts would be routed to an engine without their KV cache.
func TestEngineIsListedAgainAfterLossOrRestart(t *testing.T) {
	longPart, shortPart := Part{Salt: "x", ID: "long"}, Part{Salt: "x", ID: "short"}
	inventory := NewEngineInventory(1000)
	added := Feed{Epoch: 1, Next: 3, Changes: []Change{{longPart, true, 5000}, {shortPart, true, 300}}}
	if !inventory.ApplyFeed(added) || len(inventory.Parts()) != 1 || inventory.Parts()[longPart.Hash()] != 5000 || inventory.Next() != 3 {
		t.Fatalf("parts %v, next %d", inventory.Parts(), inventory.Next())
	}
	if !inventory.ApplyFeed(Feed{Epoch: 1, Next: 4, Changes: []Change{{longPart, false, 2000}}}) || inventory.Parts()[longPart.Hash()] != 2000 {
		t.Errorf("%d tokens are recorded for a part whose end was evicted", inventory.Parts()[longPart.Hash()])
	}
	if inventory.ApplyFeed(Feed{Epoch: 1, Next: 9, Lost: true}) || inventory.ApplyFeed(Feed{Epoch: 2, Next: 1}) {
		t.Error("a feed was applied after lost events or a restart")
	}
	inventory.ApplyListing(Listing{Epoch: 2, Next: 1, Held: map[Part]int{shortPart: 300}})
	if len(inventory.Parts()) != 0 || !inventory.ApplyFeed(Feed{Epoch: 2, Next: 2}) {
		t.Errorf("parts %v remain after the listing", inventory.Parts())
	}
}
