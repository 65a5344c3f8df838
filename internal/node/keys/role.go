package keys

// Role is what a process may do towards others; it stands in its certificate's organizational unit.
type Role string

const (
	// Entry is the role of processes that serve callers.
	Entry Role = "entry"
	// Control is the role of replicas of the control log.
	Control Role = "control"
	// Operator is the role of the command line.
	Operator Role = "operator"
)

// ServerName is the DNS name in each node certificate; nodes are dialled by IP number, so it stands for membership and not for one node.
const ServerName = "node.hornbeamwood"
