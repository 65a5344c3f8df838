package route

// Estimate is the expected outcome of a decision for one candidate; times are in seconds.
type Estimate struct {
	// Server is the index in Cell.Candidates.
	Server int
	// Wait is the time until the server would start the request.
	Wait float64
	// Import is the time until the imported pieces have arrived.
	Import float64
	// Compute is the time that the server spends computing the prompt.
	Compute float64
	// LinkSeconds is the time for which the request occupies store links.
	LinkSeconds float64
	// LinkDelay is the sum, over the imported pieces, of the transfer time multiplied by the
	// seconds of transfers queued ahead.
	LinkDelay float64
	// Recomputed is the number of prompt tokens in whole pieces that are recomputed.
	Recomputed int
	// Split is the number of leading pieces that are imported if missing; later missing pieces are
	// recomputed.
	Split int
	// TTFT is the time to first token.
	TTFT float64
	// BacklogPrice is the price of LinkDelay.
	BacklogPrice float64
	// Penalty is the part of the cost that does not depend on the import plan: the price of the
	// effect on other requests.
	Penalty float64
	// Cost is the cost of the candidate; the lowest is chosen.
	Cost float64
	// Backlog is the time to compute the work ahead of a request of the lowest priority.
	Backlog float64
	// Rank is the preference rank of the candidate.
	Rank Rank
}
