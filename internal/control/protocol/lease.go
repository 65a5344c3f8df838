package protocol

import (
	"time"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/settings/lease"
)

// Report is what an entry says of itself when it renews its settings lease.
type Report struct {
	// Holder is the entry.
	Holder lease.Holder `cbor:"holder"`
	// Applied is the settings revision under which it takes new work.
	Applied uint64 `cbor:"applied"`
	// Lease is how long it goes on under that revision without another proof.
	Lease time.Duration `cbor:"lease"`
	// Released is set by an entry that takes no new work any more.
	Released bool `cbor:"released"`
}

// Renewal returns the report as the account of leases takes it.
func (r Report) Renewal() lease.Renewal {
	return lease.Renewal{Holder: r.Holder, Applied: r.Applied, Lease: r.Lease, Released: r.Released}
}

// InForceQuery asks whether a revision is in force everywhere.
type InForceQuery struct {
	// Revision is the settings revision.
	Revision uint64 `cbor:"revision"`
}

// InForce answers at the leader; other replicas pass it on.
var InForce = rpc.Method[InForceQuery, lease.Force]{
	Name:  "control-in-force",
	Roles: []keys.Role{keys.Entry, keys.Control},
}

// HolderRevision is one entry that holds a settings lease, with the revision that it has applied.
type HolderRevision struct {
	// Holder is the entry.
	Holder lease.Holder `cbor:"holder"`
	// Revision is what it has applied.
	Revision uint64 `cbor:"revision"`
}

// HolderList answers Holders.
type HolderList struct {
	// Holders are the entries whose lease has not run out, as the leader knows them.
	Holders []HolderRevision `cbor:"holders"`
}

// Holders asks the leader which entries hold a settings lease; other replicas pass it on.
var Holders = rpc.Method[Empty, HolderList]{
	Name:  "control-holders",
	Roles: []keys.Role{keys.Entry, keys.Control},
}
