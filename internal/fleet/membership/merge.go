package membership

// MergeResult is the result of merging one announcement.
type MergeResult struct {
	// Outcome is the effect of the merge.
	Outcome Outcome
	// Cause is the reason for the outcome.
	Cause Cause
	// Detail is a sentence that names the field or the other server, set for refused merges.
	Detail string
	// Leaving is true if this merge changed the server's state from ready to leaving.
	Leaving bool
	// Changed is true if the server is new or its holdings, services, role or address changed.
	Changed bool
}

func refuse(c Cause, detail string) MergeResult {
	return MergeResult{Outcome: Refused, Cause: c, Detail: detail}
}
