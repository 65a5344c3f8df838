package membership

// Pending is the work that is not included in a server's newest load report yet.
type Pending struct {
	// Requests and Tokens were sent by this entry.
	Requests int
	Tokens   int64
	// PeerRequests and PeerTokens were sent by the other entries, as far as gossip has reported them.
	PeerRequests int
	PeerTokens   int64
}
