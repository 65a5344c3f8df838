package raft

// Member is one replica of a Configuration.
type Member struct {
	// Name is the replica's name, given by the operator; it stays when the disk is replaced.
	Name string `cbor:"name"`
	// Identity identifies the replica together with its disk.
	Identity Identity `cbor:"identity"`
	// Address is the IP address and port on which the replica receives messages.
	Address string `cbor:"address"`
	// Voter reports whether the member counts towards quorums; a learner only receives the log.
	Voter bool `cbor:"voter"`
}
