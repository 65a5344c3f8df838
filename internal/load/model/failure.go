package model

import "time"

// Failure is a failure injected during a run.
type Failure struct {
	// At is when it begins, from the start of the measured time.
	At time.Duration
	// Until is when it ends; zero means never.
	Until time.Duration
	// Kind is the kind of failure.
	Kind FailureKind
	// Index is the index of the affected store or entry, or of the first affected server.
	Index int
	// Count is the number of affected servers.
	Count int
}

// FailureKind is a kind of failure.
type FailureKind uint8

const (
	// StoreCrash crashes a store, which loses its content and restarts empty.
	StoreCrash FailureKind = iota
	// LinkSlowdown divides the rate of a store's link by ten.
	LinkSlowdown
	// ServerCrash crashes Count servers.
	ServerCrash
	// EntryCrash crashes an entry with its requests in flight.
	EntryCrash
)

type failureAction struct {
	begin func(r *run, f Failure)
	end   func(r *run, f Failure)
}

// slowdown is the factor by which LinkSlowdown divides the rate of a link.
const slowdown = 10

var failureActions = map[FailureKind]failureAction{
	StoreCrash: {
		begin: func(r *run, f Failure) { r.crashStore(f.Index) },
		end:   func(r *run, f Failure) { r.stores[f.Index].restart() },
	},
	LinkSlowdown: {
		begin: func(r *run, f Failure) { r.stores[f.Index].link.rate /= slowdown },
		end:   func(r *run, f Failure) { r.stores[f.Index].link.rate *= slowdown },
	},
	ServerCrash: {
		begin: func(r *run, f Failure) { r.crashServers(f) },
		end:   func(r *run, f Failure) { r.restartServers(f) },
	},
	EntryCrash: {
		begin: func(r *run, f Failure) { r.entries[f.Index].crash() },
		end:   func(r *run, f Failure) { r.entries[f.Index].down = false },
	},
}
