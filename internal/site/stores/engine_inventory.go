package stores

// EngineInventory records which parts are in an engine's memory. The engine evicts parts on its own.
type EngineInventory struct {
	// minTokens is the size in tokens from which a part is recorded.
	minTokens int

	epoch, next int64
	started     bool
	parts       map[uint64]int
}

// NewEngineInventory returns an empty inventory that records parts of at least the given size.
func NewEngineInventory(minTokens int) *EngineInventory {
	return &EngineInventory{minTokens: minTokens, parts: map[uint64]int{}}
}

// Next returns the cursor of the next poll.
func (i *EngineInventory) Next() int64 {
	return i.next
}

// Parts returns how many tokens of each part the engine has cached, by the part's hash.
func (i *EngineInventory) Parts() map[uint64]int {
	return i.parts
}

// ApplyFeed applies the changes of a feed. It returns false when a full listing is needed
// because changes were lost or the engine has restarted since the last poll.
func (i *EngineInventory) ApplyFeed(feed Feed) bool {
	if feed.Lost || i.started && feed.Epoch != i.epoch {
		return false
	}
	i.epoch, i.next, i.started = feed.Epoch, feed.Next, true
	for _, change := range feed.Changes {
		i.set(change.Part, change.Tokens)
	}
	return true
}

// ApplyListing replaces the recorded parts by those of a full listing.
func (i *EngineInventory) ApplyListing(listing Listing) {
	i.epoch, i.next, i.started = listing.Epoch, listing.Next, true
	clear(i.parts)
	for p, tokens := range listing.Held {
		i.set(p, tokens)
	}
}

// set records how many tokens of a part are cached. An engine that evicts the end of a part keeps its beginning.
func (i *EngineInventory) set(p Part, tokens int) {
	if tokens < i.minTokens {
		delete(i.parts, p.Hash())
		return
	}
	i.parts[p.Hash()] = tokens
}
