package replica

import "hornbeamwood/internal/control/raft"

// Status is the current state of a replica, for operators and health checks.
type Status struct {
	// Group is the log's number.
	Group uint32 `cbor:"group" json:"group"`
	// Name, Identity and Address are those of the replica.
	Name     string        `cbor:"name" json:"name"`
	Identity raft.Identity `cbor:"identity" json:"identity"`
	Address  string        `cbor:"address" json:"address"`
	// Role is unformed, blank, follower, pre-candidate, candidate or leader.
	Role string `cbor:"role" json:"role"`
	// Term is the latest term seen.
	Term uint64 `cbor:"term" json:"term"`
	// Leader and LeaderAddress are the leader's name and address, empty while unknown.
	Leader        string `cbor:"leader" json:"leader"`
	LeaderAddress string `cbor:"leader-address" json:"leader-address"`
	// Commit, Applied, Last and Snapshot are log indexes.
	Commit   uint64 `cbor:"commit" json:"commit"`
	Applied  uint64 `cbor:"applied" json:"applied"`
	Last     uint64 `cbor:"last" json:"last"`
	Snapshot uint64 `cbor:"snapshot" json:"snapshot"`
	// Addresses are the addresses of the members of the latest configuration, committed
	// or not. They are known as soon as the log is read, before any contact with a leader.
	Addresses []string `cbor:"addresses" json:"addresses"`
	// Members are the voters and learners of the latest committed configuration.
	Members []raft.Member `cbor:"members" json:"members"`
	// Matches is the last entry known to be on each member's disk; only the leader sets it.
	Matches map[raft.Identity]uint64 `cbor:"matches" json:"matches"`
	// CaughtUp is set when a leader is known and everything up to its last received commit index is applied.
	CaughtUp bool `cbor:"caught-up" json:"caught-up"`
}

// Roles of a replica that belongs to no group.
const (
	// RoleUnformed means that the group is not founded yet, or that this is unknown.
	RoleUnformed = "unformed"
	// RoleBlank means that this replica's identity is not a member of the existing group: an operator must admit it.
	RoleBlank = "blank"
)
