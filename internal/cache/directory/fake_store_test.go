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

// upload is a write in progress.
type upload struct {
	key  block.Key
	data []byte
	sent int
}

// ordered returns the sorted keys of a map, so that a seed always gives the same history.
func ordered[V any](m map[block.Key]V) []block.Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b block.Key) int { return slices.Compare(a[:], b[:]) })
}

// fakeStore implements the object protocol of docs/interfaces/cache.md.
type fakeStore struct {
	identity    string
	incarnation uint64
	generation  uint64
	capacity    int
	objects     map[block.Key]object
	uploads     map[block.Key]*upload
	// everFreed holds the highest deleted generation of each piece, for the checks.
	everFreed map[block.Key]uint64
}

func newFakeStore(identity string) *fakeStore {
	return &fakeStore{
		identity:    identity,
		incarnation: 1,
		capacity:    6,
		objects:     map[block.Key]object{},
		uploads:     map[block.Key]*upload{},
		everFreed:   map[block.Key]uint64{},
	}
}

// begin starts a write; it returns false if the piece exists or the store is full.
func (s *fakeStore) begin(k block.Key, data []byte) (*upload, bool) {
	if _, ok := s.objects[k]; ok || s.uploads[k] != nil || len(s.objects)+len(s.uploads) >= s.capacity {
		return nil, false
	}
	u := &upload{key: k, data: data}
	s.uploads[k] = u
	return u, true
}

// finish makes a complete write visible under a new generation.
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

// remove deletes one generation; zero means any, for evictions by the store itself.
func (s *fakeStore) remove(k block.Key, generation uint64) {
	o, ok := s.objects[k]
	if !ok || (generation != 0 && o.generation != generation) {
		return
	}
	delete(s.objects, k)
	s.everFreed[k] = max(s.everFreed[k], o.generation)
}

// restart empties the store and aborts its uploads; generations continue to increase.
func (s *fakeStore) restart() {
	for k := range s.objects {
		s.remove(k, 0)
	}
	s.uploads = map[block.Key]*upload{}
	s.incarnation++
	s.generation += 1000
}

// download is a read in progress.
type download struct {
	store  *fakeStore
	key    block.Key
	object object
}

// read starts a read of one generation, and returns false if the store has another one or none.
func (s *fakeStore) read(k block.Key, generation uint64) (*download, bool) {
	o, ok := s.objects[k]
	if !ok || o.generation != generation {
		return nil, false
	}
	return &download{store: s, key: k, object: o}, true
}

// end returns the bytes and whether they are complete; a read of a piece deleted meanwhile completes or fails.
func (d *download) end(r *rand.Rand) ([]byte, bool) {
	now, ok := d.store.objects[d.key]
	if ok && now.generation == d.object.generation {
		return d.object.data, true
	}
	return d.object.data, r.IntN(2) == 0
}

// readUnchecked returns the bytes that a reader without generation check would get, including partly written pieces.
func (s *fakeStore) readUnchecked(k block.Key) []byte {
	if o, ok := s.objects[k]; ok {
		return o.data
	}
	if u := s.uploads[k]; u != nil {
		return u.data[:u.sent]
	}
	return nil
}
