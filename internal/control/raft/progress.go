package raft

// progressState is how a leader replicates to a member.
type progressState uint8

const (
	// probing sends one append at a time until the logs are known to match.
	probing progressState = iota
	// replicating pipelines appends without waiting for responses.
	replicating
	// sendingSnapshot sends a snapshot, one chunk at a time.
	sendingSnapshot
)

// resendAfter is the number of heartbeat intervals without a response after which a message is presumed lost.
const resendAfter = 2

// progress is the replication state of one member at the leader.
type progress struct {
	state progressState
	// match is the last entry known to be on the member's disk, next the next one to send.
	match, next uint64
	// sent holds the last index of each unacknowledged append.
	sent []uint64
	// active is set when the member responded since the last quorum check.
	active bool
	// responded is set when the member responded to an append or a chunk since the last check for lost messages.
	responded bool
	// unansweredIntervals counts heartbeat intervals during which a response was due and none arrived.
	unansweredIntervals int
	// round is the latest heartbeat round that the member acknowledged.
	round uint64
	// meta and offset are the snapshot being sent and the offset of the chunk in flight, requestedOffset the offset last requested.
	meta                    SnapshotMeta
	offset, requestedOffset uint64
}

// acknowledge records that the member has all entries up to index and reports whether match advanced.
func (p *progress) acknowledge(index uint64) bool {
	p.responded = true
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

// probe returns to probing from next, but not before the last entry that is known to match.
func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.sent = nil
}
