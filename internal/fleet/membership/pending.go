package membership

// Pending is the work that a server's newest load report does not show yet.
type Pending struct {
	// Requests and Tokens were sent by this entry.
	Requests int
	Tokens   int64
	// PeerRequests and PeerTokens were sent by the other entries, as far as they have told.
	PeerRequests int
	PeerTokens   int64
}
