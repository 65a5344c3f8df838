package raft

import (
	"math/rand/v2"
)

// Default values of the fields of Config.
const (
	defaultElectionTicks  = 10
	defaultHeartbeatTicks = 2
	defaultBatchBytes     = 128 << 10
	defaultInflight       = 32
)

// maxKeptBytes bounds the entries before a snapshot that stay in memory,
// regardless of the number that Compact is to keep.
const maxKeptBytes = 4 << 20

// Config configures a Core.
type Config struct {
	// Group and Founding are set in each message; messages with other values are ignored.
	Group    uint32
	Founding string
	// Self is this replica; its Voter field is ignored.
	Self Member
	// Initial is the configuration that the replicas were founded with.
	Initial Configuration
	// HardState, Snapshot and Entries are the persisted state.
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry
	// ElectionTicks is the shortest election timeout; the longest is twice that. Default 10.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats. Default 2.
	HeartbeatTicks int
	// BatchBytes bounds the total size of the entries in a message. Default 128 KiB.
	BatchBytes int
	// Inflight bounds the unacknowledged appends for each member. Default 32.
	Inflight int
	// Random randomizes the election timeouts.
	Random *rand.Rand
}

// Core is the consensus state of one replica. It is not safe for concurrent use.
type Core interface {
	// Tick advances the logical clock by one tick.
	Tick()
	// Step processes a message from another replica.
	Step(m Message)
	// Propose appends commands at the leader and returns the index of the first and the term.
	Propose(commands [][]byte) (index, term uint64, err error)
	// Change appends the configuration that change derives from the latest one, at the leader.
	Change(change Change) (index, term uint64, err error)
	// Read requests a ReadState with the given ID, at the leader.
	Read(id uint64) error
	// TransferLeadership starts a leadership transfer to the most up-to-date active voter and reports whether there is one.
	TransferLeadership() bool
	// Effects returns the pending effects and clears them.
	Effects() Effects
	// Persisted acknowledges that everything in the latest Effects is on disk.
	Persisted()
	// Compact records that a snapshot is on disk and drops all but the last keep entries before it.
	Compact(s SnapshotMeta, keep uint64)
	// ConfigurationAt returns the configuration in force at index.
	ConfigurationAt(index uint64) Configuration
	// Status returns the replica's current state.
	Status() Status
	// Err returns the safety violation that stopped the core, nil if there is none.
	Err() error
}

type core struct {
	config Config
	log    *entryLog

	term uint64
	vote Identity
	role Role
	err  error

	leader        Identity
	leaderAddress string
	// leaderCommit is the leader's last received commit index; leaderCommitKnown is set once it was received in this term.
	leaderCommit      uint64
	leaderCommitKnown bool
	// electionElapsed counts ticks since the last contact with the leader, or at the leader since the last quorum check.
	electionElapsed  int
	heartbeatElapsed int
	// sinceResponseCheck counts ticks since the leader last checked for lost appends.
	sinceResponseCheck int
	electionTimeout    int
	// leaderSeen is set once a leader was known since the start.
	leaderSeen bool
	// neededByCandidate is set when a candidate whose log is behind requested a pre-vote from this replica.
	neededByCandidate bool
	votes             map[Identity]bool
	members           map[Identity]*progress
	termStart         uint64

	round          uint64
	roundRequested bool
	reads          []pendingRead
	transferee     Identity

	incomingSnapshot incoming

	persistedState  HardState
	persistingIndex uint64
	early           []Message
	messages        []Message
	install         *Snapshot
	confirmed       []ReadState
}

// New returns a Core that starts as a follower.
func New(c Config) Core {
	c.ElectionTicks = orDefault(c.ElectionTicks, defaultElectionTicks)
	c.HeartbeatTicks = orDefault(c.HeartbeatTicks, defaultHeartbeatTicks)
	c.BatchBytes = orDefault(c.BatchBytes, defaultBatchBytes)
	c.Inflight = orDefault(c.Inflight, defaultInflight)
	r := &core{
		config:         c,
		log:            newEntryLog(c.Initial, c.Snapshot, c.Entries),
		term:           c.HardState.Term,
		vote:           c.HardState.Vote,
		persistedState: c.HardState,
	}
	r.config.Entries = nil
	r.resetTimeout()
	return r
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func (r *core) self() Identity {
	return r.config.Self.Identity
}

// Err implements Core.
func (r *core) Err() error {
	return r.err
}

// ConfigurationAt implements Core.
func (r *core) ConfigurationAt(index uint64) Configuration {
	return r.log.configurationAt(index)
}

// Compact implements Core.
func (r *core) Compact(s SnapshotMeta, keep uint64) {
	if s.Index <= r.log.snapshot.Index {
		return
	}
	r.log.snapshot = s
	r.log.compact(r.log.compactionIndex(s.Index, keep, maxKeptBytes))
}

// send queues a message that may be sent only after the pending state is persisted.
func (r *core) send(m Message) {
	r.messages = append(r.messages, r.stamp(m))
}

// sendEarly queues a leader's message, which doesn't depend on state that the leader has yet to persist.
func (r *core) sendEarly(m Message) {
	r.early = append(r.early, r.stamp(m))
}

func (r *core) stamp(m Message) Message {
	m.Group = r.config.Group
	m.Founding = r.config.Founding
	m.From = r.self()
	// A learner may know only a configuration without the leader's identity. It
	// could not respond to a heartbeat without the leader's address, and a lost
	// append would never be resent.
	if m.Kind != MessageHeartbeatResponse {
		m.Address = r.config.Self.Address
	}
	if m.Term == 0 {
		m.Term = r.term
	}
	return m
}

// resetTimeout resets the election timer with a new randomized timeout.
//
// A voter that has not known a leader since its start uses short timeouts: after
// a crash of all replicas nothing is served until one of them is elected. A
// working leader's heartbeat arrives within a heartbeat interval, before the
// shortest of these timeouts, and a replica that received it grants no vote.
func (r *core) resetTimeout() {
	r.electionElapsed = 0
	if !r.leaderSeen && r.log.configuration().Voter(r.self()) {
		least := r.config.ElectionTicks/4 + 1
		r.electionTimeout = least + r.config.Random.IntN(max(1, r.config.ElectionTicks-least))
		return
	}
	r.electionTimeout = r.config.ElectionTicks + r.config.Random.IntN(r.config.ElectionTicks)
}
