package keys

// Role determines what a process may call. It is the organizational unit in the process's certificate.
type Role string

const (
	// Entry is the role of entries, which serve callers.
	Entry Role = "entry"
	// Control is the role of replicas of the control log.
	Control Role = "control"
	// Operator is the role of the command-line tool.
	Operator Role = "operator"
)

// ServerName is the DNS name in every node certificate. Nodes are dialed by IP address, so the name identifies membership in the system rather than one node.
const ServerName = "node.hornbeamwood"
