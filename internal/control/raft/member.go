package raft

// Member is one replica of a Configuration.
type Member struct {
	// Name is the operator's name of the replica; it outlives a replaced disk.
	Name string `cbor:"name"`
	// Identity names the replica together with its disk.
	Identity Identity `cbor:"identity"`
	// Address is the IP and port that the others send to.
	Address string `cbor:"address"`
	// Voter says whether the member counts towards quorums; a learner only receives the log.
	Voter bool `cbor:"voter"`
}
