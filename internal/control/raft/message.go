package raft

// MessageKind says what a Message asks or answers.
type MessageKind uint8

const (
	// MessagePreVote asks whether a vote in the next term would be granted.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries from the leader.
	MessageAppend
	// MessageAppendResponse answers MessageAppend.
	MessageAppendResponse
	// MessageHeartbeat confirms the leader and carries the number of a read round.
	MessageHeartbeat
	// MessageHeartbeatResponse answers MessageHeartbeat.
	MessageHeartbeatResponse
	// MessageSnapshot carries a chunk of a snapshot.
	MessageSnapshot
	// MessageSnapshotResponse answers MessageSnapshot.
	MessageSnapshotResponse
	// MessageTimeoutNow asks a follower to campaign at once because the leader stops.
	MessageTimeoutNow
)

// Message is what one replica sends to another.
type Message struct {
	// Group is the log that the message belongs to when a VM carries several.
	Group uint32 `cbor:"group,omitempty"`
	// Founding names the set of replicas that was formed together; others are not answered.
	Founding string `cbor:"founding"`
	// Kind says which of the fields below count.
	Kind MessageKind `cbor:"kind"`
	// From is the sender.
	From Identity `cbor:"from"`
	// To is the receiver; a replica that came back with another disk under the same address does not take it.
	To Identity `cbor:"to"`
	// Address is the sender's, for a receiver that does not know the sender yet; heartbeats go without it.
	Address string `cbor:"address,omitempty"`
	// Term is the sender's term; in a pre-vote the one it would campaign in.
	Term uint64 `cbor:"term"`
	// Index is the entry before Entries, the candidate's last entry, the last entry that matches, or in a heartbeat the leader's commit index.
	Index uint64 `cbor:"index,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64 `cbor:"log-term,omitempty"`
	// Entries follow Index.
	Entries []Entry `cbor:"entries,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `cbor:"commit,omitempty"`
	// Round numbers the leader's heartbeats for reads; answers repeat it.
	Round uint64 `cbor:"round,omitempty"`
	// Reject says that the answer is no.
	Reject bool `cbor:"reject,omitempty"`
	// Hint is an index at which the logs may match after a rejected append.
	Hint uint64 `cbor:"hint,omitempty"`
	// Transfer marks a vote that the leader itself asked for.
	Transfer bool `cbor:"transfer,omitempty"`
	// Snapshot describes the snapshot that Data is a chunk of.
	Snapshot *SnapshotMeta `cbor:"snapshot,omitempty"`
	// Offset is the chunk's place in bytes; in an answer, the next one wanted.
	Offset uint64 `cbor:"offset,omitempty"`
	// Data is the chunk; who sends the message fills it in.
	Data []byte `cbor:"data,omitempty"`
}
