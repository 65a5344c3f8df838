package backend

// Target is the server to which a request is sent.
type Target struct {
	// ID is the server's ID.
	ID string
	// StartedAt is the server's start time in Unix milliseconds.
	StartedAt int64
	// Address is its IP address and port.
	Address string
	// MaxConnections is the maximum number of connections of this process to it; zero for no
	// limit.
	MaxConnections int
	// ProbePath is the path of a GET request that the server answers without work for a caller. If it is empty, the server is
	// asked for its options.
	ProbePath string
}

// poolKey distinguishes incarnations: connections to an earlier one cannot be used.
type poolKey struct {
	id        string
	startedAt int64
}

func (t Target) key() poolKey {
	return poolKey{t.ID, t.StartedAt}
}
