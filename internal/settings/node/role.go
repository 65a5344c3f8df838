package node

// Role is the program that a node file starts.
type Role string

const (
	// Entry serves callers, operators and backend servers.
	Entry Role = "entry"
	// Control runs one replica of the control log.
	Control Role = "control"
)
