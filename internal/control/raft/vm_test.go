package raft_test

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/faultfile"
	"hornbeamwood/internal/control/raft"
)

// chunkBytes is the size of a snapshot chunk, small enough that each snapshot takes several.
const chunkBytes = 5

// vm is a VM with a disk; core is nil while the replica is down or belongs to no group.
type vm struct {
	world    *world
	name     string
	address  string
	folder   *faultfile.Folder
	store    disk.Store
	core     raft.Core
	identity raft.Identity
	up       bool
	// suspended is set while the process is suspended: it neither receives messages nor ticks.
	suspended bool
	// log and hardState are the acknowledged state on disk, snapshot the latest snapshot.
	log map[uint64]raft.Entry
	// writing is the first index of an unfinished write.
	writing   uint64
	hardState raft.HardState
	snapshot  raft.Snapshot
	machine   register
	applied   uint64
	// senderAddresses are the addresses in received messages.
	senderAddresses map[raft.Identity]string
	edits           map[uint64]pendingEdit
	reads           map[uint64]*pendingRead
	readID          uint64
	starts          uint64
	// lastConfiguration is the replica's configuration at its last crash.
	lastConfiguration raft.Configuration
}

// pendingEdit is an edit that a caller waits for.
type pendingEdit struct{ term, floor uint64 }

// pendingRead is a read that a caller waits for.
type pendingRead struct {
	floor     uint64
	index     uint64
	confirmed bool
}

// start opens the folder and checks that all acknowledged state is recovered.
func (v *vm) start() {
	store, err := disk.Open(disk.Config{Files: v.folder, Name: v.name, Random: v.world})
	if errors.Is(err, errFault) {
		v.crash()
		return
	}
	if err != nil {
		v.world.oracle.fail("durability: %s can't open its folder after a crash: %v", v.name, err)
		return
	}
	if v.identity != "" && v.identity != store.Identity() {
		v.world.oracle.fail("identity: %s was %s and restarted as %s", v.name, v.identity, store.Identity())
	}
	v.store, v.identity, v.up = store, store.Identity(), true
	v.recover(store.State())
	if f, ok := store.Founding(); ok {
		v.run(f)
	}
}

func (v *vm) recover(s disk.State) {
	if s.HardState.Term < v.hardState.Term || s.HardState.Term == v.hardState.Term && v.hardState.Vote != raft.None && s.HardState.Vote != v.hardState.Vote {
		v.world.oracle.fail("durability: %s lost its term or vote: %+v, had %+v", v.name, s.HardState, v.hardState)
	}
	recovered := map[uint64]raft.Entry{}
	for _, e := range s.Entries {
		recovered[e.Index] = e
	}
	for i := s.Snapshot.Index + 1; v.log[i].Index != 0; i++ {
		if v.writing > 0 && i >= v.writing {
			// An unfinished write was overwriting the log from here on: the old
			// entries conflicted with a later leader's log.
			break
		}
		if recovered[i].Term != v.log[i].Term {
			v.world.oracle.fail("durability: %s lost entry %d of term %d", v.name, i, v.log[i].Term)
		}
	}
	v.hardState, v.log, v.writing = s.HardState, recovered, 0
	snapshot, err := v.store.LoadSnapshot()
	if err != nil {
		v.world.oracle.fail("durability: %s: %v", v.name, err)
	}
	v.snapshot = snapshot
	v.machine, v.applied = register{}, snapshot.Meta.Index
	if snapshot.Meta.Index > 0 {
		v.machine.restore(snapshot.Data)
	}
}

func (v *vm) run(f disk.Founding) {
	s := v.store.State()
	// Equal election timeouts at two replicas would split every vote.
	v.starts++
	v.senderAddresses = map[raft.Identity]string{}
	v.edits, v.reads = map[uint64]pendingEdit{}, map[uint64]*pendingRead{}
	v.core = raft.New(raft.Config{
		Founding: f.ID, Self: raft.Member{Name: v.name, Identity: v.identity, Address: v.address}, Initial: f.Configuration,
		HardState: s.HardState, Snapshot: s.Snapshot, Entries: s.Entries,
		ElectionTicks: 6, HeartbeatTicks: 2, BatchBytes: 100, Inflight: 3,
		Random: rand.New(rand.NewPCG(v.world.seed, v.starts<<8+uint64(v.name[1]))),
	})
}

// crash ends the replica: a power loss loses a random part of its unsynced writes, a kill of the process none.
func (v *vm) crash() {
	if v.core != nil {
		v.lastConfiguration = v.core.Status().Configuration
	}
	v.core, v.store, v.up, v.suspended = nil, nil, false, false
	if v.world.random.IntN(3) == 0 {
		v.folder.Kill()
		return
	}
	v.folder.Crash(v.world.random)
}

// replaceDisk replaces the VM at its old address: the next start opens an empty folder.
func (v *vm) replaceDisk() {
	v.crash()
	v.world.lostIdentities[v.identity] = true
	v.folder = faultfile.New()
	v.identity, v.hardState, v.log, v.snapshot, v.writing = "", raft.HardState{}, nil, raft.Snapshot{}, 0
	v.lastConfiguration = raft.Configuration{}
}

func (v *vm) termAt(index uint64) (uint64, bool) {
	if index == 0 {
		return 0, true
	}
	if index == v.snapshot.Meta.Index {
		return v.snapshot.Meta.Term, true
	}
	e, ok := v.log[index]
	return e.Term, ok
}

// settle carries out the core's effects, as package replica does.
func (v *vm) settle() {
	for v.core != nil {
		e := v.core.Effects()
		if e.Empty() {
			break
		}
		v.world.send(v, e.Early)
		if err := v.persist(e); err != nil {
			v.crash()
			return
		}
		v.core.Persisted()
		v.world.send(v, e.Messages)
		v.apply(e)
	}
	v.observe()
}

func (v *vm) persist(e raft.Effects) error {
	if e.HardState != nil {
		if err := v.store.Append(e.HardState, nil); err != nil {
			return err
		}
		v.hardState = *e.HardState
	}
	if e.Install != nil {
		v.writing = e.Install.Meta.Index + 1
		if err := v.store.Install(*e.Install); err != nil {
			return err
		}
		v.writing = 0
		v.snapshot, v.log = *e.Install, map[uint64]raft.Entry{}
	}
	if len(e.Entries) == 0 {
		return nil
	}
	v.writing = e.Entries[0].Index
	if err := v.store.Append(nil, e.Entries); err != nil {
		return err
	}
	v.writing = 0
	for i := e.Entries[0].Index; v.log[i].Index != 0; i++ {
		delete(v.log, i)
	}
	for _, entry := range e.Entries {
		v.log[entry.Index] = entry
		v.world.oracle.checkPersisted(v, entry)
	}
	return nil
}

func (v *vm) apply(e raft.Effects) {
	if e.Install != nil {
		v.machine.restore(e.Install.Data)
		v.applied = e.Install.Meta.Index
		v.world.oracle.checkAnswer("snapshot", 0, v.applied, v.machine)
	}
	term := v.core.Status().Term
	for _, entry := range e.Committed {
		if entry.Index != v.applied+1 {
			v.world.oracle.fail("state-machine safety: %s applies %d after %d", v.name, entry.Index, v.applied)
		}
		want := v.world.oracle.checkApplied(v, entry, term)
		if entry.Kind == raft.EntryCommand {
			v.machine.apply(entry.Data)
		}
		v.applied = entry.Index
		if v.machine != want {
			v.world.oracle.fail("state-machine safety: %s has %+v after entry %d, the reference state is %+v", v.name, v.machine, entry.Index, want)
		}
		v.finish(entry)
	}
	for _, r := range e.Reads {
		v.reads[r.ID].index, v.reads[r.ID].confirmed = r.Index, true
	}
}

// finish records the answer to the edit that entry applied.
func (v *vm) finish(entry raft.Entry) {
	p, ok := v.edits[entry.Index]
	delete(v.edits, entry.Index)
	if ok && p.term == entry.Term {
		v.world.oracle.edits++
		v.world.oracle.checkAnswer("edit", p.floor+1, entry.Index, v.machine)
	}
}

// observe checks leadership and answers confirmed reads after each step.
func (v *vm) observe() {
	if v.core == nil {
		return
	}
	if err := v.core.Err(); err != nil {
		v.world.oracle.fail("%s: %v", v.name, err)
	}
	s := v.core.Status()
	if s.Role == raft.Leader {
		v.world.oracle.checkLeader(v, s.Term)
	} else {
		clear(v.edits)
	}
	for id, r := range v.reads {
		if r.confirmed && v.applied >= r.index {
			delete(v.reads, id)
			v.world.oracle.reads++
			v.world.oracle.checkAnswer("read", r.floor, v.applied, v.machine)
		}
	}
}

// saveSnapshot saves a snapshot and compacts the log before it.
func (v *vm) saveSnapshot(keep uint64) {
	if v.core == nil || v.applied <= v.snapshot.Meta.Index {
		return
	}
	t, ok := v.termAt(v.applied)
	if !ok {
		return
	}
	meta := raft.SnapshotMeta{Index: v.applied, Term: t, Configuration: v.core.ConfigurationAt(v.applied)}.WithData(v.machine.snapshot())
	s := raft.Snapshot{Meta: meta, Data: v.machine.snapshot()}
	if v.store.SaveSnapshot(s) != nil || v.store.Compact(meta.Index) != nil {
		v.crash()
		return
	}
	v.snapshot = s
	v.core.Compact(meta, keep)
}

// addChunk adds the requested chunk to a snapshot message.
func (v *vm) addChunk(m *raft.Message) bool {
	if !v.snapshot.Meta.Same(*m.Snapshot) || m.Offset > m.Snapshot.Size {
		return false
	}
	m.Data = v.snapshot.Data[m.Offset:min(m.Offset+chunkBytes, m.Snapshot.Size)]
	return true
}

func (v *vm) String() string {
	if v.core == nil {
		return fmt.Sprintf("%s(%v) up=%v no core", v.name, v.identity, v.up)
	}
	s := v.core.Status()
	return fmt.Sprintf("%s(%v) %v term=%d commit=%d last=%d applied=%d leader=%v", v.name, v.identity, s.Role, s.Term, s.Commit, s.Last, v.applied, s.Leader)
}
