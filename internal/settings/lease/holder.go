package lease

import "time"

// Holder is one start of an entry.
type Holder struct {
	// Name is the entry's name.
	Name string `cbor:"name"`
	// Incarnation is a number that grows with each start of the entry.
	Incarnation uint64 `cbor:"incarnation"`
}

// grant is what the leader knows of one Holder.
type grant struct {
	applied uint64
	expires time.Time
}

// live says whether the holder may still take new work at now.
func (g grant) live(now time.Time, freeBefore uint64) bool {
	confirmed := !g.expires.IsZero()
	return confirmed && (now.Before(g.expires) || g.applied < freeBefore)
}
