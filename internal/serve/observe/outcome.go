package observe

// Outcome is how an attempt at a server ended.
type Outcome uint8

const (
	// Served means that the server answered as it should.
	Served Outcome = iota
	// Failed means that the server answered with a failure of its own.
	Failed
	// Rejected means that the server refused the request without running it.
	Rejected
	// Lost means that no complete answer came.
	Lost
	// Unreachable means that no connection came about.
	Unreachable
	// Refused means that nobody listens at the server's address.
	Refused
	// Misdirected means that another server than the one that was meant, or one with
	// other weights, said that it is not the right one.
	Misdirected
	// Abandoned means that the caller left; it says nothing of the server.
	Abandoned
)
