package model

import "time"

// Failure is something that fails during a run.
type Failure struct {
	// At is when, from the start of the measured time.
	At time.Duration
	// Until is when it is over; zero means never.
	Until time.Duration
	// Kind is what happens.
	Kind FailureKind
	// Index is the store, entry or first server to which it happens.
	Index int
	// Count is the number of servers.
	Count int
}

// FailureKind is a kind of failure.
type FailureKind uint8

const (
	// StoreDies loses a store's content; it comes back cold.
	StoreDies FailureKind = iota
	// LinkSlows divides a store's link speed by ten.
	LinkSlows
	// ServersDie loses Count servers.
	ServersDie
	// EntryDies loses an entry with the requests that it carries.
	EntryDies
)

type failureAction struct {
	begin func(r *run, f Failure)
	end   func(r *run, f Failure)
}

// slowdown is the factor of LinkSlows.
const slowdown = 10

var failureActions = map[FailureKind]failureAction{
	StoreDies: {
		begin: func(r *run, f Failure) { r.killStore(f.Index) },
		end:   func(r *run, f Failure) { r.stores[f.Index].revive() },
	},
	LinkSlows: {
		begin: func(r *run, f Failure) { r.stores[f.Index].link.rate /= slowdown },
		end:   func(r *run, f Failure) { r.stores[f.Index].link.rate *= slowdown },
	},
	ServersDie: {
		begin: func(r *run, f Failure) { r.killServers(f) },
		end:   func(r *run, f Failure) { r.reviveServers(f) },
	},
	EntryDies: {
		begin: func(r *run, f Failure) { r.entries[f.Index].die() },
		end:   func(r *run, f Failure) { r.entries[f.Index].dead = false },
	},
}
