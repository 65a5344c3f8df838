package protocol

import (
	"time"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/settings/lease"
)

// Report is the report with which an entry renews its settings lease.
type Report struct {
	// Holder is the entry.
	Holder lease.Holder `cbor:"holder"`
	// Applied is the settings revision under which the entry accepts new work.
	Applied uint64 `cbor:"applied"`
	// Lease is how long the entry keeps accepting work under that revision without another confirmation of it.
	Lease time.Duration `cbor:"lease"`
	// Released is set by an entry that no longer accepts new work.
	Released bool `cbor:"released"`
}

// Renewal converts r to a renewal of the settings lease.
func (r Report) Renewal() lease.Renewal {
	return lease.Renewal{Holder: r.Holder, Applied: r.Applied, Lease: r.Lease, Released: r.Released}
}

// InForceQuery asks whether a revision is in force on all entries.
type InForceQuery struct {
	// Revision is the settings revision.
	Revision uint64 `cbor:"revision"`
}

// InForce returns whether a revision is in force; replicas that are not the leader forward the call to it.
var InForce = rpc.Method[InForceQuery, lease.InForceStatus]{
	Name:  "control-in-force",
	Roles: []keys.Role{keys.Entry, keys.Control},
}

// HolderRevision is an entry that holds a settings lease, with the revision that it has applied.
type HolderRevision struct {
	// Holder is the entry.
	Holder lease.Holder `cbor:"holder"`
	// Revision is the settings revision that the entry has applied.
	Revision uint64 `cbor:"revision"`
}

// HolderList is the response of Holders.
type HolderList struct {
	// Holders are the entries whose lease has not expired, as known to the leader.
	Holders []HolderRevision `cbor:"holders"`
}

// Holders returns the entries that hold a settings lease; replicas that are not the leader forward the call to it.
var Holders = rpc.Method[Empty, HolderList]{
	Name:  "control-holders",
	Roles: []keys.Role{keys.Entry, keys.Control},
}
