package reach

import "time"

// Path is how a connection leads to a server.
type Path uint8

const (
	// Direct connections lead to the server itself.
	Direct Path = iota
	// Tunnel connections lead through another entry.
	Tunnel
)

// Outcome is the result of an attempt to connect.
type Outcome uint8

const (
	// Connected means that there is a connection.
	Connected Outcome = iota
	// Refused means that the connection was refused.
	Refused
	// Failed means that no connection was established in time.
	Failed
	// NoPeer means that no other entry could be asked for a tunnel.
	NoPeer
)

// Attempt is an attempt to connect.
type Attempt struct {
	// Server is the server's identity.
	Server string
	// Address is the server's address.
	Address string
	// Path is the path that was tried.
	Path Path
	// Outcome is its result.
	Outcome Outcome
	// Began and Ended are its times.
	Began, Ended time.Time
	// Probe is set if it's a probe, which doesn't count as use of the server.
	Probe bool
}

// Plan is how to connect to a server.
type Plan struct {
	// First is the path that is tried first. The other one is tried when it fails.
	First Path
	// Other is how long the first path may take before the other one is tried at the same time.
	Other time.Duration
}

// Probe is a server to which a direct connection is to be tried.
type Probe struct {
	// Server is the server's identity.
	Server string
	// Address is its address.
	Address string
}

// Change is what an attempt changed.
type Change uint8

const (
	// Unchanged means that the server is on the same path as before.
	Unchanged Change = iota
	// CutOff means that the server can be reached in a tunnel only.
	CutOff
	// Regained means that the server can be reached directly again.
	Regained
)

// Paths holds what is known of the paths to servers.
type Paths interface {
	// Plan returns how to connect to the server now.
	Plan(address string, now time.Time) Plan
	// Probes returns the servers whose cut may have ended, as each of them was not tried directly for a while.
	Probes(now time.Time) []Probe
	// Record records the outcome of an attempt.
	Record(a Attempt) Change
	// Received records that bytes came from the server on a direct connection.
	Received(address string, now time.Time)
	// ReceivedSince returns whether the server has been reached directly since then.
	ReceivedSince(address string, since time.Time) bool
	// Silent records that a direct connection has brought nothing since then, although the server can be
	// reached in a tunnel.
	Silent(address string, since time.Time)
	// Trusted returns whether a request may be sent on an idle direct connection on which bytes last came at
	// receivedAt.
	Trusted(address string, receivedAt time.Time) bool
	// Hangs returns whether a direct connection on which nothing came since then hangs.
	Hangs(address string, since time.Time) bool
	// CutOff returns whether the server can be reached in a tunnel only.
	CutOff(address string) bool
	// RefusedAt returns when a connection to the server was last refused on any path, zero if that never happened or
	// the server was reached in a tunnel instead.
	RefusedAt(address string) time.Time
	// OnlyOne returns whether the failure of a direct connection to the server is the only one, so that it says
	// more about the server than about this entry.
	OnlyOne(address string, now time.Time) bool
	// Isolated returns whether no path leads to any server.
	Isolated(now time.Time) bool
	// Trial returns whether a request may be tried although the entry is isolated, which it does at intervals.
	Trial(now time.Time) bool
	// Len returns how many servers can be reached in a tunnel only.
	Len() int
}
