package engine

import (
	"container/list"
	"crypto/sha256"
)

// cacheEvent is one change of the cache; its number is its position in the list of events.
type cacheEvent struct {
	Kind string `json:"kind"`
	Key  string `json:"key"`
}

// cache is an LRU cache of pieces. Callers hold the engine's lock.
type cache struct {
	capacity int
	order    *list.List
	pieces   map[string]*list.Element
	events   []cacheEvent
	sent     int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), pieces: make(map[string]*list.Element)}
}

// prefixHits returns the length of the longest prefix of keys that is cached.
func (c *cache) prefixHits(keys []string) int {
	for i, k := range keys {
		e, ok := c.pieces[k]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(keys)
}

func (c *cache) has(key string) bool {
	_, ok := c.pieces[key]
	return ok
}

func (c *cache) insert(key string) {
	if e, ok := c.pieces[key]; ok {
		c.order.MoveToFront(e)
		return
	}
	for c.order.Len() >= c.capacity && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(string)
		delete(c.pieces, oldest)
		c.events = append(c.events, cacheEvent{Kind: "evicted", Key: oldest})
	}
	if c.capacity == 0 {
		return
	}
	c.pieces[key] = c.order.PushFront(key)
	c.events = append(c.events, cacheEvent{Kind: "inserted", Key: key})
}

func (c *cache) clear() {
	for k := range c.pieces {
		c.events = append(c.events, cacheEvent{Kind: "evicted", Key: k})
	}
	c.order.Init()
	clear(c.pieces)
}

func (c *cache) keys() []string {
	all := make([]string, 0, len(c.pieces))
	for k := range c.pieces {
		all = append(all, k)
	}
	return all
}

// content returns the bytes of the piece with the given key.
func content(key string, size int) []byte {
	b := make([]byte, 0, size+sha256.Size)
	d := sha256.Sum256([]byte(key))
	for len(b) < size {
		b = append(b, d[:]...)
		d = sha256.Sum256(d[:])
	}
	return b[:size]
}
