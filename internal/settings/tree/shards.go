package tree

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// shardCount keeps the copy that an edit makes small: one shard of a tree
// with 1,400 workspaces holds some 22 of them.
const shardCount = 64

// shards is an immutable map from names to V; a copy with one change shares all other shards.
type shards[V any] struct {
	parts [shardCount]map[string]V
}

func shardOf(name string) int {
	return int(xxhash.Sum64String(name) % shardCount)
}

func (s *shards[V]) get(name string) (V, bool) {
	if s == nil {
		var zero V
		return zero, false
	}
	v, ok := s.parts[shardOf(name)][name]
	return v, ok
}

// with returns a copy in which name stands for v.
func (s *shards[V]) with(name string, v V) *shards[V] {
	c := s.copyPart(name)
	c.parts[shardOf(name)][name] = v
	return c
}

// without returns a copy that has no name.
func (s *shards[V]) without(name string) *shards[V] {
	c := s.copyPart(name)
	delete(c.parts[shardOf(name)], name)
	return c
}

func (s *shards[V]) copyPart(name string) *shards[V] {
	var c shards[V]
	if s != nil {
		c = *s
	}
	i := shardOf(name)
	part := maps.Clone(c.parts[i])
	if part == nil {
		part = map[string]V{}
	}
	c.parts[i] = part
	return &c
}

// names returns all names, sorted.
func (s *shards[V]) names() []string {
	if s == nil {
		return nil
	}
	var all []string
	for _, part := range s.parts {
		for n := range part {
			all = append(all, n)
		}
	}
	slices.Sort(all)
	return all
}

func (s *shards[V]) size() int {
	if s == nil {
		return 0
	}
	n := 0
	for _, part := range s.parts {
		n += len(part)
	}
	return n
}
