package route

// Estimate is what a decision expects of one candidate; times are in seconds.
type Estimate struct {
	// Server is the index in Cell.Candidates.
	Server int
	// Wait is the time until the server would start the request.
	Wait float64
	// Import is the time until the imported pieces have arrived.
	Import float64
	// Compute is the time that the server computes for the request.
	Compute float64
	// LinkSeconds is the time for which the request occupies store links.
	LinkSeconds float64
	// LinkDelay is the sum over imported pieces of their transfer time and the seconds of transfers ahead of them.
	LinkDelay float64
	// Recomputed is the number of prompt tokens in whole pieces that are computed again.
	Recomputed int
	// Split is the number of leading pieces that are imported where they are missing; later ones are recomputed.
	Split int
	// TTFT is the time to first token.
	TTFT float64
	// BacklogPrice is the price of LinkDelay.
	BacklogPrice float64
	// Penalty is the price of what the choice does to others whatever the plan is.
	Penalty float64
	// Cost is the price of the choice; the lowest wins.
	Cost float64
	// Backlog is the work ahead of a request of the lowest priority.
	Backlog float64
	// Bar says why the candidate is used only when no better one is left.
	Bar Bar
}
