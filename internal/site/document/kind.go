package document

// Kind determines whether requests may be retried.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = "non-idempotent"
	// Streaming requests are answered by a series of events; they run at most once unless they may be resumed.
	Streaming Kind = "streaming"
)
