package membership

import "time"

// WorkReport tells what one entry sent to the backend servers since their newest load reports.
type WorkReport struct {
	_ struct{} `cbor:",toarray"`
	// Entry is the Key of the reporting entry's identity.
	Entry Key
	// Version is a larger number with each report, also after the entry restarts.
	Version uint64
	// AgeMillis is an upper bound of the report's age.
	AgeMillis int64
	// Rows hold one row for each server that got work.
	Rows []WorkRow
}

// WorkRow is what one entry sent to one server since a load report.
type WorkRow struct {
	_ struct{} `cbor:",toarray"`
	// Server is the Key of the backend server's identity.
	Server Key
	// Requests is the number of requests sent since the figures of the load report were taken.
	Requests int
	// Tokens is the number of their prompt tokens that had to be computed.
	Tokens int64
}

// Pending is the work that a server's newest load report does not show yet.
type Pending struct {
	// Requests and Tokens were sent by this entry.
	Requests int
	Tokens   int64
	// PeerRequests and PeerTokens were sent by the other entries, as far as they have told.
	PeerRequests int
	PeerTokens   int64
}

// workLife is the age after which a peer's work report counts no more; load reports have shown the work by then.
const workLife = 3 * time.Second
