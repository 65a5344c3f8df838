package service

// Budget bounds retries to a share of the requests.
type Budget interface {
	// Retry reports whether the workspace may try one more time and takes the try from its budget.
	Retry(workspace string) bool
}
