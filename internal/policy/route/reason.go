package route

// Reason says why a decision came out as it did.
type Reason string

const (
	// NoCandidate means that no server can run the request.
	NoCandidate Reason = "no-candidate"
	// OnlySuspects means that each server may be lost and the cheapest was taken all the same.
	OnlySuspects Reason = "only-suspects"
	// ReserveTaken means that only servers that are kept free were left.
	ReserveTaken Reason = "reserve-taken"
	// OnlyCandidate means that there was no choice.
	OnlyCandidate Reason = "only-candidate"
	// PrefixInMemory means that the cheapest server holds part of the prompt.
	PrefixInMemory Reason = "prefix-in-memory"
	// PrefixImported means that the cheapest plan reads pieces from a store.
	PrefixImported Reason = "prefix-imported"
	// LeastCost means that the cheapest server recomputes the whole prompt.
	LeastCost Reason = "least-cost"
	// Turn means that the server was next in turn.
	Turn Reason = "turn"
	// LeastLoaded means that the server reported the least work.
	LeastLoaded Reason = "least-loaded"
	// PrefixHash means that a hash of the prefix names the server.
	PrefixHash Reason = "prefix-hash"
)
