package watch

import (
	"time"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/rowtable"
)

// Poll requests the rows that changed since the last answer.
type Poll struct {
	// Watcher identifies the process and its start.
	Watcher string `cbor:"watcher"`
	// Entry is set when the watcher is an entry.
	Entry bool `cbor:"entry"`
	// Zone is the watcher's availability zone, empty when the poll has none.
	Zone string `cbor:"zone,omitempty"`
	// Epoch and Revision are those of the last answer; zero at first.
	Epoch    uint64 `cbor:"epoch"`
	Revision uint64 `cbor:"number"`
	// CatchingUp is set if the last answer left out rows, so that the next answer doesn't wait for further changes.
	CatchingUp bool `cbor:"catching"`
	// Wait is how long the answer may wait for a change.
	Wait time.Duration `cbor:"wait"`
	// Relayed is set if the watcher gets the rows about stores and orders from its relay.
	Relayed bool `cbor:"relayed,omitempty"`
	// Relay is set if the watcher relays those rows, and Acknowledged is the revision up to which all entries that it serves have them.
	Relay        bool   `cbor:"relay,omitempty"`
	Acknowledged uint64 `cbor:"known,omitempty"`
}

// Answer is a replica's answer to a Poll.
type Answer struct {
	// Epoch changes with each start of the replica; all rows are sent then.
	Epoch uint64 `cbor:"epoch"`
	// Revision is the revision up to which the rows are complete.
	Revision uint64 `cbor:"number"`
	// Rows changed since the last answer.
	Rows rowtable.Rows `cbor:"rows"`
	// More is set if there are more rows than fit in one answer.
	More bool `cbor:"more"`
	// CaughtUp is set if the replica is in contact with a leader and has applied what that leader had committed.
	CaughtUp bool `cbor:"caught-up"`
	// Entries is how many entries polled the replica recently.
	Entries int `cbor:"entries"`
	// Fencing is the fencing number of the order lease that the replica holds, zero when it holds none.
	Fencing uint64 `cbor:"fencing"`
	// Clock is the servers' clock in Unix milliseconds when the answer was sent, zero when the replica doesn't know it.
	Clock int64 `cbor:"clock"`
	// Zone is the replica's availability zone, empty when the answer has none.
	Zone string `cbor:"zone,omitempty"`
}

// Watch returns the rows that entries need to serve correctly; each entry polls every replica.
var Watch = rpc.Method[Poll, Answer]{
	Name:  "site-watch",
	Roles: []keys.Role{keys.Entry, keys.Control},
}

// Hints returns rows that improve routing and may be late or missing; an entry polls only its relay.
var Hints = rpc.Method[Poll, Answer]{
	Name:  "site-hints",
	Roles: []keys.Role{keys.Entry},
}

// Exchange returns the hints that a replica received directly; relays poll each other.
var Exchange = rpc.Method[Poll, Answer]{
	Name:  "site-exchange",
	Roles: []keys.Role{keys.Control},
}

// Position is how far a watcher has the rows of a relay's mirror.
type Position struct {
	// Epoch is the mirror's epoch, Revision its revision up to which the watcher has the rows.
	Epoch    uint64 `cbor:"epoch"`
	Revision uint64 `cbor:"number"`
}

// HolderStatesPoll requests the lease holders' rows about stores and orders from a relay.
type HolderStatesPoll struct {
	// Watcher identifies the process and its start.
	Watcher string `cbor:"watcher"`
	// Positions is the watcher's position in each mirror, by the holder's address.
	Positions map[string]Position `cbor:"known"`
	// CatchingUp is set if the last answer left out rows, so that the next answer doesn't wait for further changes.
	CatchingUp bool `cbor:"catching"`
	// Wait is how long the answer may wait for a change.
	Wait time.Duration `cbor:"wait"`
}

// HolderState is a relay's mirror of a lease holder's rows about stores and orders.
type HolderState struct {
	// Address is the holder's address, Epoch the epoch of its rows.
	Address string `cbor:"address"`
	Epoch   uint64 `cbor:"epoch"`
	// Fencing is the fencing number that it last reported.
	Fencing uint64 `cbor:"fencing"`
	// Age is how long ago the relay sent the poll that these rows answer.
	Age time.Duration `cbor:"age"`
	// Position is how far the rows go. They are all rows of the mirror when its epoch differs from the watcher's.
	Position Position `cbor:"copy"`
	// Rows changed since the watcher's position.
	Rows rowtable.Rows `cbor:"rows"`
	// More is set if there are more rows than fit in one answer.
	More bool `cbor:"more"`
}

// HolderStates returns the lease holders' rows that an entry lacks; entries on a large site call their relay.
var HolderStates = rpc.Method[HolderStatesPoll, []HolderState]{
	Name:  "site-leads",
	Roles: []keys.Role{keys.Entry},
}

// Chunks returns chunks of a document that an entry lacks: the first of the requested ones that the replica has.
var Chunks = rpc.Method[[]chunk.Digest, []chunk.Chunk]{
	Name:  "site-chunks",
	Roles: []keys.Role{keys.Entry},
}

// Prefill reports that an engine computes a part that was cached nowhere else.
type Prefill struct {
	// Salt and Part identify the part, Tokens is its size.
	Salt   string `cbor:"salt"`
	Part   string `cbor:"part"`
	Tokens int    `cbor:"tokens"`
	// Server is the engine's ID.
	Server string `cbor:"server"`
}

// Prefills reports prefills from an entry to its relay, through which all entries receive them.
var Prefills = rpc.Notice[[]Prefill]{
	Name:  "site-readings",
	Roles: []keys.Role{keys.Entry},
}

// PartUses reports from an entry to the lease holder which parts were requested, by their hashes.
var PartUses = rpc.Notice[[]uint64]{
	Name:  "site-uses",
	Roles: []keys.Role{keys.Entry},
}

// Loads reports from an entry to its relay which load it has at each engine.
var Loads = rpc.Notice[share.Report]{
	Name:  "site-loads",
	Roles: []keys.Role{keys.Entry},
}

// PeersQuery requests some other entries.
type PeersQuery struct {
	// Watcher identifies the entry that asks, as in its polls.
	Watcher string `cbor:"watcher"`
	// Zone is its availability zone.
	Zone string `cbor:"zone"`
}

// Peer is an entry that polled the replica recently.
type Peer struct {
	// Address is the entry's address, Zone its availability zone if that is known.
	Address string `cbor:"address"`
	Zone    string `cbor:"zone"`
}

// Peers returns some other entries at random, about half of them in the zone of the one that asks; an entry
// calls any replica while its own connections to servers fail.
var Peers = rpc.Method[PeersQuery, []Peer]{
	Name:  "site-peers",
	Roles: []keys.Role{keys.Entry},
}
