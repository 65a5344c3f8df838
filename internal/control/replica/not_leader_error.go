package replica

import "fmt"

// NotLeaderError means that this replica is not the leader.
type NotLeaderError struct {
	// Name and Address are the leader's, empty while no leader is known.
	Name, Address string
}

// Error returns the leader's name and address.
func (e NotLeaderError) Error() string {
	if e.Address == "" {
		return "replica: no leader is known"
	}
	return fmt.Sprintf("replica: the leader is %s at %s", e.Name, e.Address)
}
