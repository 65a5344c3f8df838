package backend

// Target is the server that a request goes to.
type Target struct {
	// ID is the server's identity.
	ID string
	// Born is its start in Unix milliseconds.
	Born int64
	// Address is its IP and port.
	Address string
	// MaxConnections is how many connections this process may have to it; zero for no limit.
	MaxConnections int
}

// key tells incarnations apart: connections to an earlier one are of no use.
type key struct {
	id   string
	born int64
}

func (t Target) key() key {
	return key{t.ID, t.Born}
}
