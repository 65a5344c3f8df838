package tree

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// shardCount limits how much an edit copies: in a tree with 1,400 workspaces, one
// shard has about 22 of them.
const shardCount = 64

// shardedMap is an immutable map with names as keys. A copy with one change shares all other shards.
type shardedMap[V any] struct {
	shards [shardCount]map[string]V
}

func shardOf(name string) int {
	return int(xxhash.Sum64String(name) % shardCount)
}

func (s *shardedMap[V]) get(name string) (V, bool) {
	if s == nil {
		var zero V
		return zero, false
	}
	v, ok := s.shards[shardOf(name)][name]
	return v, ok
}

// with returns a copy that maps name to v.
func (s *shardedMap[V]) with(name string, v V) *shardedMap[V] {
	c := s.copyShard(name)
	c.shards[shardOf(name)][name] = v
	return c
}

// without returns a copy without name.
func (s *shardedMap[V]) without(name string) *shardedMap[V] {
	c := s.copyShard(name)
	delete(c.shards[shardOf(name)], name)
	return c
}

func (s *shardedMap[V]) copyShard(name string) *shardedMap[V] {
	var c shardedMap[V]
	if s != nil {
		c = *s
	}
	i := shardOf(name)
	shard := maps.Clone(c.shards[i])
	if shard == nil {
		shard = map[string]V{}
	}
	c.shards[i] = shard
	return &c
}

// names returns all names, sorted.
func (s *shardedMap[V]) names() []string {
	if s == nil {
		return nil
	}
	var all []string
	for _, shard := range s.shards {
		for n := range shard {
			all = append(all, n)
		}
	}
	slices.Sort(all)
	return all
}

func (s *shardedMap[V]) size() int {
	if s == nil {
		return 0
	}
	n := 0
	for _, shard := range s.shards {
		n += len(shard)
	}
	return n
}
