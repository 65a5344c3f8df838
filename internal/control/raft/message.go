package raft

// MessageKind is the type of a Message.
type MessageKind uint8

const (
	// MessagePreVote asks whether the receiver would grant its vote in the next term.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote requests a vote.
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries from the leader.
	MessageAppend
	// MessageAppendResponse answers MessageAppend.
	MessageAppendResponse
	// MessageHeartbeat maintains the leader's authority and carries the number of a read round.
	MessageHeartbeat
	// MessageHeartbeatResponse answers MessageHeartbeat.
	MessageHeartbeatResponse
	// MessageSnapshot carries a chunk of a snapshot.
	MessageSnapshot
	// MessageSnapshotResponse answers MessageSnapshot.
	MessageSnapshotResponse
	// MessageTimeoutNow asks a follower to campaign at once, for a leadership transfer.
	MessageTimeoutNow
)

// Message is a message from one replica to another.
type Message struct {
	// Group is the log that the message belongs to when a VM runs several.
	Group uint32 `cbor:"group,omitempty"`
	// Founding is the ID of the group's founding; replicas of another founding ignore the message.
	Founding string `cbor:"founding"`
	// Kind is the message's type and determines which of the fields below are used.
	Kind MessageKind `cbor:"kind"`
	// From is the sender.
	From Identity `cbor:"from"`
	// To is the receiver; a replica that restarted with another disk at the same address ignores the message.
	To Identity `cbor:"to"`
	// Address is the sender's address, for a receiver that does not know the sender yet; heartbeat responses omit it.
	Address string `cbor:"address,omitempty"`
	// Term is the sender's term; in a pre-vote the term it would campaign in.
	Term uint64 `cbor:"term"`
	// Index is the entry before Entries, the candidate's last entry, the last matching entry, or in a heartbeat the leader's commit index.
	Index uint64 `cbor:"index,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64 `cbor:"log-term,omitempty"`
	// Entries are the entries after Index.
	Entries []Entry `cbor:"entries,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `cbor:"commit,omitempty"`
	// Round is the number of the leader's heartbeat round for reads; responses repeat it.
	Round uint64 `cbor:"round,omitempty"`
	// Reject marks a negative response.
	Reject bool `cbor:"reject,omitempty"`
	// Hint is an index at which the logs may match after a rejected append.
	Hint uint64 `cbor:"hint,omitempty"`
	// Transfer marks a vote request of a leadership transfer.
	Transfer bool `cbor:"transfer,omitempty"`
	// Snapshot describes the snapshot that Data is a chunk of.
	Snapshot *SnapshotMeta `cbor:"snapshot,omitempty"`
	// Offset is the chunk's offset in bytes; in a response, the next offset requested.
	Offset uint64 `cbor:"offset,omitempty"`
	// Data is the chunk; the caller that sends the message fills it in.
	Data []byte `cbor:"data,omitempty"`
}
