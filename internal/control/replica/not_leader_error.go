package replica

import "fmt"

// NotLeaderError says that another replica must be asked.
type NotLeaderError struct {
	// Name and Address are the leader's, empty while nobody is known to lead.
	Name, Address string
}

// Error returns whom to ask.
func (e NotLeaderError) Error() string {
	if e.Address == "" {
		return "replica: no leader is known"
	}
	return fmt.Sprintf("replica: the leader is %s at %s", e.Name, e.Address)
}
