package raft

import (
	"math/rand/v2"
)

// Defaults of a Config.
const (
	defaultElectionTicks  = 10
	defaultHeartbeatTicks = 2
	defaultBatchBytes     = 128 << 10
	defaultInflight       = 32
)

// maxKeptBytes bounds the entries that stay in memory behind a snapshot,
// however many of them are asked for.
const maxKeptBytes = 4 << 20

// Config is what a Core starts from.
type Config struct {
	// Group and Founding stand in each message; others are not taken.
	Group    uint32
	Founding string
	// Self is this replica; Voter is not looked at.
	Self Member
	// Initial is the configuration that the replicas were founded with.
	Initial Configuration
	// HardState, Snapshot and Entries are what the disk holds.
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry
	// ElectionTicks is the shortest election timeout; the longest is twice that. Default 10.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats. Default 2.
	HeartbeatTicks int
	// BatchBytes bounds the entries in a message. Default 128 KiB.
	BatchBytes int
	// Inflight bounds the unanswered appends for each member. Default 32.
	Inflight int
	// Random draws the election timeouts.
	Random *rand.Rand
}

// Core decides for one replica. It is not safe for concurrent use.
type Core interface {
	// Tick tells that a tick has passed.
	Tick()
	// Step takes a message.
	Step(m Message)
	// Propose appends commands at the leader and returns the index of the first and the term.
	Propose(commands [][]byte) (index, term uint64, err error)
	// Change appends the configuration that change returns for the latest one, at the leader.
	Change(change Change) (index, term uint64, err error)
	// Read asks the leader for a ReadState with the given id.
	Read(id uint64) error
	// Transfer starts to hand leadership over to the member that has most of the log and returns whether there is one.
	Transfer() bool
	// Effects returns what is to be done and forgets it.
	Effects() Effects
	// Persisted tells that everything in the latest Effects is on disk.
	Persisted()
	// Compact tells that a snapshot is on disk and forgets all but the last keep entries before it.
	Compact(s SnapshotMeta, keep uint64)
	// ConfigurationAt returns the configuration in force at index.
	ConfigurationAt(index uint64) Configuration
	// Status returns where the replica stands.
	Status() Status
	// Err returns why the log can't be trusted, nil while it can.
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
	// target is the leader's commit index as last heard; known says that it was heard in this term.
	target uint64
	known  bool
	// elapsed counts ticks since the leader was heard, or at the leader since the last quorum check.
	elapsed int
	beat    int
	// sinceWatch counts ticks since the leader last looked for lost appends.
	sinceWatch int
	timeout    int
	// met says that a leader was known since the start.
	met bool
	// asked says that a candidate took this replica for a voter and that its log was too short.
	asked     bool
	votes     map[Identity]bool
	members   map[Identity]*progress
	termStart uint64

	round       uint64
	roundWanted bool
	reads       []pendingRead
	transferee  Identity

	incoming incoming

	saved     HardState
	taken     uint64
	early     []Message
	messages  []Message
	install   *Snapshot
	confirmed []ReadState
}

// New returns a Core that starts as a follower.
func New(c Config) Core {
	c.ElectionTicks = orDefault(c.ElectionTicks, defaultElectionTicks)
	c.HeartbeatTicks = orDefault(c.HeartbeatTicks, defaultHeartbeatTicks)
	c.BatchBytes = orDefault(c.BatchBytes, defaultBatchBytes)
	c.Inflight = orDefault(c.Inflight, defaultInflight)
	r := &core{
		config: c,
		log:    newEntryLog(c.Initial, c.Snapshot, c.Entries),
		term:   c.HardState.Term,
		vote:   c.HardState.Vote,
		saved:  c.HardState,
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
	r.log.compact(r.log.tail(s.Index, keep, maxKeptBytes))
}

// send queues a message that must wait for the disk.
func (r *core) send(m Message) {
	r.messages = append(r.messages, r.stamp(m))
}

// sendEarly queues a leader's message, which tells nothing that its own disk must hold.
func (r *core) sendEarly(m Message) {
	r.early = append(r.early, r.stamp(m))
}

func (r *core) stamp(m Message) Message {
	m.Group = r.config.Group
	m.Founding = r.config.Founding
	m.From = r.self()
	// A learner may know only a configuration without the leader's identity. A
	// heartbeat that did not say where to answer would stay unanswered, and an
	// append that was lost before would never be sent again.
	if m.Kind != MessageHeartbeatResponse {
		m.Address = r.config.Self.Address
	}
	if m.Term == 0 {
		m.Term = r.term
	}
	return m
}

// resetTimeout draws the next election timeout.
//
// Until a voter that has just started knows of a leader its timeouts are short:
// after a loss of all replicas nobody serves until one of them leads. A leader
// that works is heard within a heartbeat interval, before the shortest of them,
// and who heard it grants no vote.
func (r *core) resetTimeout() {
	r.elapsed = 0
	if !r.met && r.log.configuration().Voter(r.self()) {
		least := r.config.ElectionTicks/4 + 1
		r.timeout = least + r.config.Random.IntN(max(1, r.config.ElectionTicks-least))
		return
	}
	r.timeout = r.config.ElectionTicks + r.config.Random.IntN(r.config.ElectionTicks)
}
