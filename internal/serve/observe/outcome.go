package observe

// Outcome is the result of an attempt at a server.
type Outcome uint8

const (
	// Served means that the server sent a valid response.
	Served Outcome = iota
	// Failed means that the server responded with a failure of its own.
	Failed
	// Rejected means that the server refused the request without running it.
	Rejected
	// Lost means that no complete response arrived.
	Lost
	// Unreachable means that no connection could be established.
	Unreachable
	// Refused means that the connection was refused: no process listens at the server's address.
	Refused
	// Misdirected means that a server with another ID or other weights than intended rejected the
	// request.
	Misdirected
	// NoPath means that this entry is cut off, which says nothing about the server.
	NoPath
	// Abandoned means that the caller disconnected; it says nothing about the server.
	Abandoned
)
