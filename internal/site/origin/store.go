package origin

import (
	"sync"
	"time"
)

const (
	// shardCount is the number of parts of a store, each with its own lock.
	shardCount = 16
	// maxShardRecords bounds the records of a shard; the oldest is dropped for another one.
	maxShardRecords = 4096
	// maxLifetime bounds how long a record is kept.
	maxLifetime = 10 * time.Minute
)

// Store keeps the origins of recent streams.
type Store interface {
	// Put records how the stream of an attempt began and keeps that for its lifetime.
	Put(k Key, o Origin, lifetime time.Duration, now time.Time)
	// Get returns how the stream of an attempt began. The outcome is Known, Unknown or Conflicting.
	Get(k Key, now time.Time) (Found, Outcome)
	// Len returns the number of records.
	Len() int
}

// Found is the origin of a stream whose first event was sent that long ago.
type Found struct {
	Origin Origin        `cbor:"origin"`
	Age    time.Duration `cbor:"age"`
}

type record struct {
	origin      Origin
	recordedAt  time.Time
	expiresAt   time.Time
	conflicting bool
}

type shard struct {
	mu      sync.Mutex
	records map[Key]record
	// order holds the keys in the order of their first record.
	order []Key
}

type store struct {
	shards [shardCount]shard
}

// NewStore returns an empty Store.
func NewStore() Store {
	s := &store{}
	for i := range s.shards {
		s.shards[i].records = map[Key]record{}
	}
	return s
}

func (s *store) shard(k Key) *shard {
	return &s.shards[k[0]%shardCount]
}

// Put implements Store.
//
// Two callers that use the same ID for their attempts make it unknown which stream a resume belongs to.
func (s *store) Put(k Key, o Origin, lifetime time.Duration, now time.Time) {
	x := s.shard(k)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.removeExpired(now)
	r := record{origin: o, recordedAt: now, expiresAt: now.Add(min(max(0, lifetime), maxLifetime))}
	known, ok := x.records[k]
	if ok && now.Before(known.expiresAt) && (known.conflicting || known.origin != o) {
		r.conflicting = true
		if known.expiresAt.After(r.expiresAt) {
			r.expiresAt = known.expiresAt
		}
	} else if !ok {
		x.order = append(x.order, k)
	}
	x.records[k] = r
	if len(x.order) > maxShardRecords {
		x.removeOldest()
	}
}

// removeExpired removes the oldest records as long as they have expired.
func (x *shard) removeExpired(now time.Time) {
	for len(x.order) > 0 && !now.Before(x.records[x.order[0]].expiresAt) {
		x.removeOldest()
	}
}

func (x *shard) removeOldest() {
	delete(x.records, x.order[0])
	x.order = x.order[1:]
}

// Get implements Store.
func (s *store) Get(k Key, now time.Time) (Found, Outcome) {
	x := s.shard(k)
	x.mu.Lock()
	defer x.mu.Unlock()
	r, ok := x.records[k]
	switch {
	case !ok || !now.Before(r.expiresAt):
		return Found{}, Unknown
	case r.conflicting:
		return Found{}, Conflicting
	}
	return Found{Origin: r.origin, Age: now.Sub(r.recordedAt)}, Known
}

// Len implements Store.
func (s *store) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].records)
		s.shards[i].mu.Unlock()
	}
	return n
}
