package watch

import (
	"time"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/board"
	"hornbeamwood/internal/site/chunk"
)

// Poll asks for the rows that changed since the last answer.
type Poll struct {
	// Watcher names the process with its start.
	Watcher string `cbor:"watcher"`
	// Entry says that the watcher takes callers' requests.
	Entry bool `cbor:"entry"`
	// Epoch and Number are those of the last answer; zero at first.
	Epoch  uint64 `cbor:"epoch"`
	Number uint64 `cbor:"number"`
	// Catching says that the last answer left rows out, so that no further changes are waited for.
	Catching bool `cbor:"catching"`
	// Wait is how long the answer may wait for a change.
	Wait time.Duration `cbor:"wait"`
}

// Answer is what a replica knows beyond the last answer.
type Answer struct {
	// Epoch differs after each start of the replica; all rows come then.
	Epoch uint64 `cbor:"epoch"`
	// Number is up to which change the rows go.
	Number uint64 `cbor:"number"`
	// Rows changed since the last answer.
	Rows []board.Row `cbor:"rows"`
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

// Chunks is how an entry gets the chunks of a document that it lacks: the first of those asked for that the replica has.
var Chunks = rpc.Method[[]chunk.Digest, []chunk.Chunk]{
	Name:  "site-chunks",
	Roles: []keys.Role{keys.Entry},
}

// Reading tells that an engine reads a part that was nowhere else.
type Reading struct {
	// Salt and Part name the part, Tokens is its size.
	Salt   string `cbor:"salt"`
	Part   string `cbor:"part"`
	Tokens int    `cbor:"tokens"`
	// Server is the engine's ID.
	Server string `cbor:"server"`
}

// Readings is how an entry tells its relay, through which all entries hear of it.
var Readings = rpc.Notice[[]Reading]{
	Name:  "site-readings",
	Roles: []keys.Role{keys.Entry},
}

// Uses is how an entry tells the replica that holds the lease which parts were asked for, by their hashes.
var Uses = rpc.Notice[[]uint64]{
	Name:  "site-uses",
	Roles: []keys.Role{keys.Entry},
}

// Loads is how an entry tells its relay what it has at each engine.
var Loads = rpc.Notice[share.Post]{
	Name:  "site-loads",
	Roles: []keys.Role{keys.Entry},
}
