package lease

import "time"

// Holder is one incarnation of an entry, which may hold a lease.
type Holder struct {
	// Name is the entry's name.
	Name string `cbor:"name"`
	// Incarnation is a number that increases with each start of the entry.
	Incarnation uint64 `cbor:"incarnation"`
}

// Renewal is an entry's request for a lease.
type Renewal struct {
	// Holder is the requesting incarnation of the entry.
	Holder Holder
	// Applied is the revision under which it accepts new work.
	Applied uint64
	// Lease is how long it continues under that revision without another proof.
	Lease time.Duration
	// Released reports whether the entry has stopped accepting new work.
	Released bool
}

// grant is the lease that a Holder may have, as recorded by the leader.
type grant struct {
	applied uint64
	expires time.Time
}

// active reports whether the holder may still accept new work at now.
func (g grant) active(now time.Time, leaseRequiredFrom uint64) bool {
	return now.Before(g.expires) || g.applied < leaseRequiredFrom
}
