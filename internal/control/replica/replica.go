package replica

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
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
	// Propose returns the outcome of a command once it is committed and applied, at the leader only.
	Propose(ctx context.Context, command []byte) (Applied, error)
	// ReadIndex returns an index that covers everything accepted before the call began, confirmed by a quorum, at the leader only.
	ReadIndex(ctx context.Context) (uint64, error)
	// WaitApplied returns once the entry at index is applied here.
	WaitApplied(ctx context.Context, index uint64) error
	// Receive takes a message from another replica; it never blocks and may drop it.
	Receive(m raft.Message)
	// Formation returns what a probe is answered with.
	Formation() Formation
	// Status returns where the replica stands.
	Status() Status
	// AddLearner admits a member without a vote, at the leader.
	AddLearner(ctx context.Context, m raft.Member) error
	// Promote makes a learner that has caught up a voter, at the leader.
	Promote(ctx context.Context, id raft.Identity) error
	// Remove drops a member, at the leader.
	Remove(ctx context.Context, id raft.Identity) error
	// Stop hands leadership over, syncs and closes the data folder.
	Stop(ctx context.Context) error
	// Done is closed when the replica has ended, by itself or by Stop.
	Done() <-chan struct{}
	// Err returns why the replica ended by itself, nil otherwise.
	Err() error
}

type replica struct {
	config Config
	store  disk.Store
	self   raft.Member
	random *rand.Rand

	inbox     chan raft.Message
	proposals chan *proposal
	reads     chan *read
	founded   chan disk.Founding
	stopping  chan context.Context
	wake      chan struct{}
	saved     *queue[raft.SnapshotMeta]
	pending   *pending
	applied   *progress
	applier   *applier

	// gate keeps proposals out of the queue once it is drained for the last time.
	gate   sync.RWMutex
	closed bool

	done chan struct{}
	once sync.Once
	halt chan struct{}
	// mu guards what follows.
	mu        sync.Mutex
	err       error
	formation Formation
	status    Status
	// heard says that a leader is known, target what it had committed when last heard.
	heard  bool
	target uint64
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
	store, err := disk.Open(disk.Config{Files: files, Name: c.Name, Group: c.Group})
	if err != nil {
		return nil, err
	}
	r := newReplica(c, store)
	if err := r.restore(); err != nil {
		_ = store.Close()
		return nil, err
	}
	r.announce()
	r.start()
	return r, nil
}

func newReplica(c Config, store disk.Store) *replica {
	return &replica{
		config:    c,
		store:     store,
		self:      raft.Member{Name: c.Name, Identity: store.Identity(), Address: c.Address},
		random:    newRandom(c.Seed),
		inbox:     make(chan raft.Message, queueLength),
		proposals: make(chan *proposal, queueLength),
		reads:     make(chan *read, queueLength),
		founded:   make(chan disk.Founding, 1),
		stopping:  make(chan context.Context, 1),
		wake:      make(chan struct{}, 1),
		saved:     newQueue[raft.SnapshotMeta](),
		pending:   newPending(),
		applied:   newProgress(store.State().Snapshot.Index),
		done:      make(chan struct{}),
		halt:      make(chan struct{}),
		formation: Formation{Group: c.Group, Name: c.Name, Identity: store.Identity(), Address: c.Address},
		status:    Status{Group: c.Group, Name: c.Name, Identity: store.Identity(), Address: c.Address, Role: RoleUnformed},
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

func (r *replica) announce() {
	state := r.store.State()
	_, formed := r.store.Founding()
	event.ReplicaStarted.Write(r.config.Logger, log.Fields{
		"replica": r.config.Name, "identity": r.self.Identity, "formed": formed,
		"snapshot": state.Snapshot.Index, "entries": len(state.Entries), "term": state.HardState.Term,
	})
	if state.Torn > 0 {
		event.TornWriteCut.Write(r.config.Logger, log.Fields{"replica": r.config.Name, "bytes": state.Torn})
	}
}

// start runs the applier, the formation when none is on disk, and the loop.
func (r *replica) start() {
	r.applier = newApplier(r)
	if f, ok := r.store.Founding(); ok {
		r.founded <- f
	} else {
		newFormer(r)
	}
	go func() {
		ticker := time.NewTicker(r.config.Tick)
		defer ticker.Stop()
		l := &loop{replica: r, ticks: ticker.C, addresses: map[raft.Identity]string{}, confirm: map[uint64]*read{}}
		l.run()
		r.end()
	}()
}

// fail makes the replica end by itself.
func (r *replica) fail(err error) {
	r.once.Do(func() {
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
		event.ReplicaFailed.Write(r.config.Logger, log.Fields{"replica": r.config.Name, "error": err.Error()})
		close(r.halt)
	})
}

// end answers everybody who waits and closes the folder.
func (r *replica) end() {
	r.gate.Lock()
	r.closed = true
	r.gate.Unlock()
	r.applier.jobs.close()
	<-r.applier.ended
	err := r.Err()
	r.pending.abandon(0, err)
	for {
		select {
		case p := <-r.proposals:
			if p.take() {
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

// wakeUp makes the loop look at what other goroutines left for it.
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
	s, heard, target := r.status, r.heard, r.target
	r.mu.Unlock()
	s.Applied, _ = r.applied.get()
	s.CaughtUp = heard && s.Applied >= target
	return s
}
