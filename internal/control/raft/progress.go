package raft

// progressState is how a leader sends to a member.
type progressState uint8

const (
	// probing sends one append at a time until the logs are known to match.
	probing progressState = iota
	// replicating sends ahead of the answers.
	replicating
	// restoring sends a snapshot, a chunk at a time.
	restoring
)

// resendAfter is after how many quiet heartbeats a message counts as lost.
const resendAfter = 2

// progress is what a leader knows of one member.
type progress struct {
	state progressState
	// match is the last entry known to be on the member's disk, next the one to send.
	match, next uint64
	// sent holds the last index of each append that is not answered yet.
	sent []uint64
	// active says that the member answered since the last quorum check.
	active bool
	// moved says that an append or a chunk was answered since the last heartbeat.
	moved bool
	// quiet counts heartbeats during which something was due and nothing was answered.
	quiet int
	// round is the latest heartbeat round that the member answered.
	round uint64
	// meta and offset are the snapshot being sent and the chunk in flight, wanted the chunk that was last asked for.
	meta           SnapshotMeta
	offset, wanted uint64
}

// acknowledge records that the member has everything up to index and returns whether that is news.
func (p *progress) acknowledge(index uint64) bool {
	p.moved = true
	n := 0
	for n < len(p.sent) && p.sent[n] <= index {
		n++
	}
	p.sent = p.sent[n:]
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}

// probe goes back to the last entry that is known to match.
func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.sent = nil
}
