package lease

import "time"

// Holder is one start of an entry.
type Holder struct {
	// Name is the entry's name.
	Name string `cbor:"name"`
	// Incarnation is a number that grows with each start of the entry.
	Incarnation uint64 `cbor:"incarnation"`
}

// Renewal is what an entry says when it asks for a lease.
type Renewal struct {
	// Holder is the one who asks.
	Holder Holder
	// Applied is the revision under which it takes new work.
	Applied uint64
	// Lease is how long it goes on under that revision without another proof.
	Lease time.Duration
	// Released says that it takes no new work any more.
	Released bool
}

// grant is what the leader knows of one Holder.
type grant struct {
	applied uint64
	expires time.Time
}

// live says whether the holder may still take new work at now.
func (g grant) live(now time.Time, freeBefore uint64) bool {
	return now.Before(g.expires) || g.applied < freeBefore
}
