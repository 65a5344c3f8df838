package stores

// EngineInventory is the account of an engine's memory, which drops parts by itself.
type EngineInventory struct {
	// least is the size in tokens from which on a part is followed.
	least int

	epoch, next int64
	begun       bool
	parts       map[uint64]int
}

// NewEngineInventory returns the account of an engine of which nothing is known yet.
func NewEngineInventory(least int) *EngineInventory {
	return &EngineInventory{least: least, parts: map[uint64]int{}}
}

// Next returns where the next poll goes on.
func (c *EngineInventory) Next() int64 {
	return c.next
}

// Parts returns the tokens that the engine keeps of each part, by the part's hash.
func (c *EngineInventory) Parts() map[uint64]int {
	return c.parts
}

// ApplyFeed takes a feed and returns false when the whole must be listed, because
// something was lost or the engine has restarted since the last poll.
func (c *EngineInventory) ApplyFeed(f Feed) bool {
	if f.Lost || c.begun && f.Epoch != c.epoch {
		return false
	}
	c.epoch, c.next, c.begun = f.Epoch, f.Next, true
	for _, x := range f.Changes {
		c.set(x.Part, x.Tokens)
	}
	return true
}

// ApplyListing takes a listing.
func (c *EngineInventory) ApplyListing(l Listing) {
	c.epoch, c.next, c.begun = l.Epoch, l.Next, true
	clear(c.parts)
	for p, tokens := range l.Held {
		c.set(p, tokens)
	}
}

// set notes how much the engine keeps of a part; a part of which it drops the end keeps its beginning.
func (c *EngineInventory) set(p Part, tokens int) {
	if tokens < c.least {
		delete(c.parts, p.Hash())
		return
	}
	c.parts[p.Hash()] = tokens
}
