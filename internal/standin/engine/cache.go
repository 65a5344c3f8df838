package engine

import (
	"container/list"
	"crypto/sha256"
)

// cacheEvent is one change of the cache, numbered by its place.
type cacheEvent struct {
	Kind string `json:"kind"`
	Key  string `json:"key"`
}

// cache is an LRU of pieces; the caller holds the engine's lock.
type cache struct {
	room   int
	order  *list.List
	pieces map[string]*list.Element
	events []cacheEvent
	sent   int
}

func newCache(room int) *cache {
	return &cache{room: room, order: list.New(), pieces: make(map[string]*list.Element)}
}

// hits returns how many of the first keys are held.
func (c *cache) hits(keys []string) int {
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
	for c.order.Len() >= c.room && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(string)
		delete(c.pieces, oldest)
		c.events = append(c.events, cacheEvent{Kind: "evicted", Key: oldest})
	}
	if c.room == 0 {
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

// content returns the bytes that a piece of the given key must have.
func content(key string, size int) []byte {
	b := make([]byte, 0, size+sha256.Size)
	d := sha256.Sum256([]byte(key))
	for len(b) < size {
		b = append(b, d[:]...)
		d = sha256.Sum256(d[:])
	}
	return b[:size]
}
