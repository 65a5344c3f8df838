package replica

import "hornbeamwood/internal/control/raft"

// Status is where a replica stands, for operators and health checks.
type Status struct {
	// Group is the log's number.
	Group uint32 `cbor:"group" json:"group"`
	// Name, Identity and Address are the replica's own.
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
	// Addresses are where the members of the latest configuration are reached, committed
	// or not: known as soon as the log is read, before any leader is heard.
	Addresses []string `cbor:"addresses" json:"addresses"`
	// Members are the voters and learners of the latest committed configuration.
	Members []raft.Member `cbor:"members" json:"members"`
	// Matches is, at the leader, the last entry on each member's disk.
	Matches map[raft.Identity]uint64 `cbor:"matches" json:"matches"`
	// CaughtUp says that a leader is known and that all it had committed when last heard is applied here.
	CaughtUp bool `cbor:"caught-up" json:"caught-up"`
}

// Names of the roles of a replica that belongs to no group.
const (
	// RoleUnformed means that the group is not founded yet, or that it is not known whether it is.
	RoleUnformed = "unformed"
	// RoleBlank means that the group exists without this replica's identity: an operator must admit it.
	RoleBlank = "blank"
)
