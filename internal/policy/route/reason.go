package route

// Reason is the reason for a decision.
type Reason string

const (
	// NoCandidate means that no server can run the request.
	NoCandidate Reason = "no-candidate"
	// OnlySuspects means that every server may be lost; the one with the lowest cost was used.
	OnlySuspects Reason = "only-suspects"
	// ReserveTaken means that only servers reserved for urgent requests were left.
	ReserveTaken Reason = "reserve-taken"
	// OnlyCandidate means that there was only one candidate.
	OnlyCandidate Reason = "only-candidate"
	// PrefixInMemory means that the server with the lowest cost holds part of the prompt in memory.
	PrefixInMemory Reason = "prefix-in-memory"
	// PrefixImported means that the plan with the lowest cost imports pieces from a store.
	PrefixImported Reason = "prefix-imported"
	// LeastCost means that the server with the lowest cost recomputes the whole prompt.
	LeastCost Reason = "least-cost"
	// RoundRobin means that the server was next in the rotation.
	RoundRobin Reason = "turn"
	// LeastLoaded means that the server reported the least work.
	LeastLoaded Reason = "least-loaded"
	// PrefixHash means that the server was selected by a hash of the prefix.
	PrefixHash Reason = "prefix-hash"
)
