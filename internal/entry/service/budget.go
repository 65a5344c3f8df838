package service

// Budget limits retries to a share of the requests.
type Budget interface {
	// Retry reports whether the workspace's budget allows one more attempt, and deducts it.
	Retry(workspace string) bool
}
