package watch

import (
	"time"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/rowtable"
)

// Poll asks for the rows that changed since the last answer.
type Poll struct {
	// Watcher names the process with its start.
	Watcher string `cbor:"watcher"`
	// Entry says that the watcher takes callers' requests.
	Entry bool `cbor:"entry"`
	// Epoch and Number are those of the last answer; zero at first.
	Epoch    uint64 `cbor:"epoch"`
	Revision uint64 `cbor:"number"`
	// CatchingUp says that the last answer left rows out, so that no further changes are waited for.
	CatchingUp bool `cbor:"catching"`
	// Wait is how long the answer may wait for a change.
	Wait time.Duration `cbor:"wait"`
	// Relayed says that the watcher gets the rows on stores and orders from its relay.
	Relayed bool `cbor:"relayed,omitempty"`
	// Relay says that the watcher passes those rows on, and Known up to which number all whom it serves have them.
	Relay        bool   `cbor:"relay,omitempty"`
	Acknowledged uint64 `cbor:"known,omitempty"`
}

// Answer is what a replica knows beyond the last answer.
type Answer struct {
	// Epoch differs after each start of the replica; all rows come then.
	Epoch uint64 `cbor:"epoch"`
	// Revision is up to which change the rows go.
	Revision uint64 `cbor:"number"`
	// Rows changed since the last answer.
	Rows []rowtable.Row `cbor:"rows"`
	// More says that there are more rows than fit into one answer.
	More bool `cbor:"more"`
	// CaughtUp says that the replica hears a leader and has applied what that one had committed.
	CaughtUp bool `cbor:"caught-up"`
	// Entries is how many entries polled the replica lately.
	Entries int `cbor:"entries"`
	// Fencing is the number of the lease for orders that the replica holds, zero when it holds none.
	Fencing uint64 `cbor:"fencing"`
	// Clock is the servers' clock in Unix milliseconds as the answer left, zero when the replica can't tell it.
	Clock int64 `cbor:"clock"`
	// Zone is the replica's availability zone, empty where it isn't told.
	Zone string `cbor:"zone,omitempty"`
}

// Watch asks for what entries must know to serve correctly: each entry asks every replica.
var Watch = rpc.Method[Poll, Answer]{
	Name:  "site-watch",
	Roles: []keys.Role{keys.Entry, keys.Control},
}

// Hints asks for what makes choices better and may be late or missing: an entry asks its relay alone.
var Hints = rpc.Method[Poll, Answer]{
	Name:  "site-hints",
	Roles: []keys.Role{keys.Entry},
}

// Exchange asks for the hints that a replica was told itself: relays ask each other.
var Exchange = rpc.Method[Poll, Answer]{
	Name:  "site-exchange",
	Roles: []keys.Role{keys.Control},
}

// Position is how far a watcher has a copy of what a replica shows.
type Position struct {
	// Epoch is the copy's, Number is up to which of its changes the rows go.
	Epoch    uint64 `cbor:"epoch"`
	Revision uint64 `cbor:"number"`
}

// HolderStatesPoll asks a relay for what holders of the lease show of stores and orders.
type HolderStatesPoll struct {
	// Watcher names the process with its start.
	Watcher string `cbor:"watcher"`
	// Positions is how far the watcher has each copy, by the holder's address.
	Positions map[string]Position `cbor:"known"`
	// CatchingUp says that the last answer left rows out, so that no further changes are waited for.
	CatchingUp bool `cbor:"catching"`
	// Wait is how long the answer may wait for a change.
	Wait time.Duration `cbor:"wait"`
}

// HolderState is what a holder of the lease shows of stores and orders, as a relay knows it.
type HolderState struct {
	// Address is the holder's, Epoch its start.
	Address string `cbor:"address"`
	Epoch   uint64 `cbor:"epoch"`
	// Fencing is the number of the lease that it told last.
	Fencing uint64 `cbor:"fencing"`
	// Age is how long ago the relay asked for the word that this is.
	Age time.Duration `cbor:"age"`
	// Position is how far the rows go. They are all of the copy when its epoch is another one than the watcher's.
	Position Position `cbor:"copy"`
	// Rows changed since the watcher's position.
	Rows []rowtable.Row `cbor:"rows"`
	// More says that there are more rows than fit into one answer.
	More bool `cbor:"more"`
}

// HolderStates is how an entry on a site of many asks its relay.
var HolderStates = rpc.Method[HolderStatesPoll, []HolderState]{
	Name:  "site-leads",
	Roles: []keys.Role{keys.Entry},
}

// Chunks is how an entry gets the chunks of a document that it lacks: the first of those asked for that the replica has.
var Chunks = rpc.Method[[]chunk.Digest, []chunk.Chunk]{
	Name:  "site-chunks",
	Roles: []keys.Role{keys.Entry},
}

// Prefill tells that an engine reads a part that was nowhere else.
type Prefill struct {
	// Salt and Part name the part, Tokens is its size.
	Salt   string `cbor:"salt"`
	Part   string `cbor:"part"`
	Tokens int    `cbor:"tokens"`
	// Server is the engine's ID.
	Server string `cbor:"server"`
}

// Prefills is how an entry tells its relay, through which all entries hear of it.
var Prefills = rpc.Notice[[]Prefill]{
	Name:  "site-readings",
	Roles: []keys.Role{keys.Entry},
}

// PartUses is how an entry tells the replica that holds the lease which parts were asked for, by their hashes.
var PartUses = rpc.Notice[[]uint64]{
	Name:  "site-uses",
	Roles: []keys.Role{keys.Entry},
}

// Loads is how an entry tells its relay what it has at each engine.
var Loads = rpc.Notice[share.Report]{
	Name:  "site-loads",
	Roles: []keys.Role{keys.Entry},
}
