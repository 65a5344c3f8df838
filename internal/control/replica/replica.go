package replica

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/raft"
)

// Replica is one running replica of the control log.
type Replica interface {
	// Propose commits and applies a command and returns its result. Only the leader accepts it.
	Propose(ctx context.Context, command []byte) (Applied, error)
	// ReadIndex returns an index, confirmed by a quorum, that covers everything accepted before the call began. Only the leader accepts it.
	ReadIndex(ctx context.Context) (uint64, error)
	// WaitApplied returns once the entry at index is applied on this replica.
	WaitApplied(ctx context.Context, index uint64) error
	// Receive processes a message from another replica; it never blocks and may drop the message.
	Receive(m raft.Message)
	// Formation returns the answer to a probe.
	Formation() Formation
	// Status returns the replica's current state.
	Status() Status
	// AddLearner adds a learner, at the leader.
	AddLearner(ctx context.Context, m raft.Member) error
	// Promote makes a learner that has caught up a voter, at the leader.
	Promote(ctx context.Context, id raft.Identity) error
	// Remove removes a member, at the leader.
	Remove(ctx context.Context, id raft.Identity) error
	// Stop transfers leadership, stops the replica and closes the data folder.
	Stop(ctx context.Context) error
	// Done is closed when the replica has stopped or failed.
	Done() <-chan struct{}
	// Err returns the error with which the replica failed, nil otherwise.
	Err() error
}

type replica struct {
	config Config
	store  disk.Store
	self   raft.Member
	random *rand.Rand

	inbox          chan raft.Message
	proposals      chan *proposal
	reads          chan *pendingRead
	founded        chan disk.Founding
	stopping       chan context.Context
	wake           chan struct{}
	savedSnapshots *queue[raft.SnapshotMeta]
	pending        *pending
	applied        *appliedIndex
	applier        *applier

	// closeMu guards closed, which rejects calls once their queues are drained for the last time.
	closeMu sync.RWMutex
	closed  bool

	done     chan struct{}
	failOnce sync.Once
	// failed is closed when the replica fails.
	failed chan struct{}
	// mu guards the fields below.
	mu        sync.Mutex
	err       error
	formation Formation
	status    Status
	// leaderCommitKnown is set while a leader and its commit index are known, leaderCommit is the last known one.
	leaderCommitKnown bool
	leaderCommit      uint64
}

// New opens the data folder, restores the machine and starts the replica.
func New(c Config) (Replica, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	c = c.withDefaults()
	files := c.Files
	if files == nil {
		var err error
		if files, err = disk.NewFolder(c.Folder); err != nil {
			return nil, err
		}
	}
	store, err := openStore(c, files)
	if err != nil {
		return nil, err
	}
	// A replica that set its folder aside belongs to a group, even if the group forms for the first time.
	c.JoinOnly = c.JoinOnly || store.State().SetAside
	r := newReplica(c, store)
	if err := r.restore(); err != nil {
		_ = store.Close()
		return nil, err
	}
	r.logStart()
	r.start()
	return r, nil
}

// openStore opens the data folder, or a blank one if it is damaged and may be replaced.
func openStore(c Config, files disk.Files) (disk.Store, error) {
	d := disk.Config{Files: files, Name: c.Name, Group: c.Group}
	store, err := disk.Open(d)
	var damage *disk.Corruption
	if !c.ReplaceDamaged || !errors.As(err, &damage) {
		return store, err
	}
	event.FolderSetAside.Write(c.Logger, log.Fields{"replica": c.Name, "error": fmt.Sprintf("%s: %s", damage.Path, damage.Reason), "offset": damage.Offset})
	if err := disk.SetAside(files); err != nil {
		return nil, err
	}
	return disk.Open(d)
}

func newReplica(c Config, store disk.Store) *replica {
	return &replica{
		config:         c,
		store:          store,
		self:           raft.Member{Name: c.Name, Identity: store.Identity(), Address: c.Address},
		random:         newRandom(c.Seed),
		inbox:          make(chan raft.Message, queueLength),
		proposals:      make(chan *proposal, queueLength),
		reads:          make(chan *pendingRead, queueLength),
		founded:        make(chan disk.Founding, 1),
		stopping:       make(chan context.Context, 1),
		wake:           make(chan struct{}, 1),
		savedSnapshots: newQueue[raft.SnapshotMeta](),
		pending:        newPending(),
		applied:        newAppliedIndex(store.State().Snapshot.Index),
		done:           make(chan struct{}),
		failed:         make(chan struct{}),
		formation:      Formation{Group: c.Group, Name: c.Name, Identity: store.Identity(), Address: c.Address},
		status:         Status{Group: c.Group, Name: c.Name, Identity: store.Identity(), Address: c.Address, Role: RoleUnformed},
	}
}

func newRandom(seed uint64) *rand.Rand {
	if seed == 0 {
		var b [8]byte
		_, _ = crand.Read(b[:])
		seed = binary.LittleEndian.Uint64(b[:])
	}
	return rand.New(rand.NewPCG(seed, seed))
}

// restore loads the snapshot into the machine.
func (r *replica) restore() error {
	snapshot, err := r.store.LoadSnapshot()
	if err != nil || snapshot.Meta.Index == 0 {
		return err
	}
	if err := r.config.Machine.Restore(snapshot.Data); err != nil {
		return fmt.Errorf("replica: restore the snapshot at %d: %w", snapshot.Meta.Index, err)
	}
	return nil
}

func (r *replica) logStart() {
	state := r.store.State()
	_, formed := r.store.Founding()
	event.ReplicaStarted.Write(r.config.Logger, log.Fields{
		"replica": r.config.Name, "identity": r.self.Identity, "formed": formed,
		"snapshot": state.Snapshot.Index, "entries": len(state.Entries), "term": state.HardState.Term, "written-again": state.RewrittenBytes,
	})
	if state.TornBytes > 0 {
		event.TornWriteCut.Write(r.config.Logger, log.Fields{"replica": r.config.Name, "bytes": state.TornBytes})
	}
}

// start starts the applier, the loop and, when no founding is on disk, the bootstrapper.
func (r *replica) start() {
	r.applier = newApplier(r)
	if f, ok := r.store.Founding(); ok {
		r.founded <- f
	} else {
		startBootstrapper(r)
	}
	go func() {
		ticker := time.NewTicker(r.config.Tick)
		defer ticker.Stop()
		l := &loop{replica: r, ticks: ticker.C, addresses: map[raft.Identity]string{}, pendingReads: map[uint64]*pendingRead{}}
		l.run()
		r.shutDown()
	}()
}

// fail stops the replica with an error.
func (r *replica) fail(err error) {
	r.failOnce.Do(func() {
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
		event.ReplicaFailed.Write(r.config.Logger, log.Fields{"replica": r.config.Name, "error": err.Error()})
		close(r.failed)
	})
}

// shutDown completes all pending calls and closes the data folder.
func (r *replica) shutDown() {
	r.closeMu.Lock()
	r.closed = true
	r.closeMu.Unlock()
	r.applier.jobs.close()
	<-r.applier.ended
	err := r.Err()
	r.pending.failAfter(0, err)
	for {
		select {
		case p := <-r.proposals:
			if p.claim() {
				p.finish(outcome{err: errStopped(err)})
			}
		case q := <-r.reads:
			q.finish(0, errStopped(err))
		default:
			_ = r.store.Close()
			event.ReplicaStopped.Write(r.config.Logger, log.Fields{"replica": r.config.Name})
			close(r.done)
			return
		}
	}
}

// wakeUp makes the loop process the saved snapshots.
func (r *replica) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Done implements Replica.
func (r *replica) Done() <-chan struct{} {
	return r.done
}

// Err implements Replica.
func (r *replica) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Formation implements Replica.
func (r *replica) Formation() Formation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.formation
}

// Status implements Replica.
func (r *replica) Status() Status {
	r.mu.Lock()
	s, known, commit := r.status, r.leaderCommitKnown, r.leaderCommit
	r.mu.Unlock()
	s.Applied, _ = r.applied.get()
	s.CaughtUp = known && s.Applied >= commit
	return s
}
