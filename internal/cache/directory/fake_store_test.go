package directory

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"

	"hornbeamwood/internal/cache/block"
)

// object is one sealed piece of a fakeStore.
type object struct {
	generation uint64
	data       []byte
}

// upload is a write that has begun.
type upload struct {
	key  block.Key
	data []byte
	sent int
}

// ordered returns the keys of a map in their order, so that a seed gives one history.
func ordered[V any](m map[block.Key]V) []block.Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b block.Key) int { return slices.Compare(a[:], b[:]) })
}

// fakeStore follows the object protocol of docs/interfaces/cache.md.
type fakeStore struct {
	identity    string
	incarnation uint64
	generation  uint64
	room        int
	objects     map[block.Key]object
	uploads     map[block.Key]*upload
	// everFreed remembers generations that are gone, for the checks.
	everFreed map[block.Key]uint64
}

func newFakeStore(identity string) *fakeStore {
	return &fakeStore{
		identity:    identity,
		incarnation: 1,
		room:        6,
		objects:     map[block.Key]object{},
		uploads:     map[block.Key]*upload{},
		everFreed:   map[block.Key]uint64{},
	}
}

// begin starts a write; it returns false when the piece is there or there is no room.
func (s *fakeStore) begin(k block.Key, data []byte) (*upload, bool) {
	if _, ok := s.objects[k]; ok || s.uploads[k] != nil || len(s.objects)+len(s.uploads) >= s.room {
		return nil, false
	}
	u := &upload{key: k, data: data}
	s.uploads[k] = u
	return u, true
}

// finish makes the write visible when it is whole, and gives it a new generation.
func (s *fakeStore) finish(u *upload) (object, bool) {
	if s.uploads[u.key] != u {
		return object{}, false
	}
	delete(s.uploads, u.key)
	if _, ok := s.objects[u.key]; ok || u.sent < len(u.data) {
		return object{}, false
	}
	s.generation++
	o := object{generation: s.generation, data: bytes.Clone(u.data)}
	s.objects[u.key] = o
	return o, true
}

// remove deletes one generation; zero stands for any, when the store drops pieces on its own.
func (s *fakeStore) remove(k block.Key, generation uint64) {
	o, ok := s.objects[k]
	if !ok || (generation != 0 && o.generation != generation) {
		return
	}
	delete(s.objects, k)
	s.everFreed[k] = max(s.everFreed[k], o.generation)
}

// restart empties the store and cuts its connections; generations go on.
func (s *fakeStore) restart() {
	for k := range s.objects {
		s.remove(k, 0)
	}
	s.uploads = map[block.Key]*upload{}
	s.incarnation++
	s.generation += 1000
}

// download is a read that has begun.
type download struct {
	store  *fakeStore
	key    block.Key
	object object
}

// read begins a read of one generation and returns false for any other.
func (s *fakeStore) read(k block.Key, generation uint64) (*download, bool) {
	o, ok := s.objects[k]
	if !ok || o.generation != generation {
		return nil, false
	}
	return &download{store: s, key: k, object: o}, true
}

// end returns the bytes; a piece deleted meanwhile comes whole or breaks off.
func (d *download) end(r *rand.Rand) ([]byte, bool) {
	now, ok := d.store.objects[d.key]
	if ok && now.generation == d.object.generation {
		return d.object.data, true
	}
	return d.object.data, r.IntN(2) == 0
}

// careless returns what a reader gets that asks for the key only and takes what is there, half-written pieces included.
func (s *fakeStore) careless(k block.Key) []byte {
	if o, ok := s.objects[k]; ok {
		return o.data
	}
	if u := s.uploads[k]; u != nil {
		return u.data[:u.sent]
	}
	return nil
}
