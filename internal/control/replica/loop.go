package replica

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/raft"
)

// transferTicks bounds the ticks that a stopping leader waits for the leadership transfer.
const transferTicks = 20

// loop owns the core and serializes its inputs.
type loop struct {
	replica *replica
	ticks   <-chan time.Time
	core    raft.Core
	// addresses are the senders' addresses in received messages.
	addresses map[raft.Identity]string
	// pendingReads holds the pending reads by their ID in the core.
	pendingReads map[uint64]*pendingRead
	readID       uint64
	// outgoingSnapshot is the snapshot that is being sent.
	outgoingSnapshot *raft.Snapshot
	// lastStatus is the last published status.
	lastStatus raft.Status
	// stopContext is the context of a planned stop; stopTicksLeft counts the ticks until the replica stops without a transfer.
	stopContext   context.Context
	stopTicksLeft int
	// diskLow is set while the disk is nearly full; freeSpaceCheckTicks counts the ticks until the next check.
	diskLow             bool
	freeSpaceCheckTicks int
}

// run returns when the replica has stopped or failed.
func (l *loop) run() {
	r := l.replica
	for {
		select {
		case <-l.ticks:
			l.tick()
		case m := <-r.inbox:
			l.step(m)
		case p := <-r.proposals:
			l.propose(p)
		case q := <-r.reads:
			l.read(q)
		case f := <-r.founded:
			l.startCore(f)
		case <-r.wake:
		case ctx := <-r.stopping:
			l.beginStop(ctx)
		case <-r.failed:
			return
		}
		l.drain()
		if l.processEffects() != nil || l.stopped() {
			return
		}
	}
}

func (l *loop) tick() {
	l.stopTicksLeft--
	l.checkFreeSpace()
	if l.core != nil {
		l.core.Tick()
	}
}

// checkFreeSpace checks the free disk space every freeSpaceCheckInterval ticks.
//
// A leader that writes until the disk is full fails during a write, and then so
// do its successors, one after the other. Rejecting commands while there is
// still free space keeps the group, its reads and its leases available.
func (l *loop) checkFreeSpace() {
	l.freeSpaceCheckTicks--
	if l.freeSpaceCheckTicks > 0 {
		return
	}
	l.freeSpaceCheckTicks = freeSpaceCheckInterval
	free, err := l.replica.store.Free()
	low := err == nil && free < minFreeBytes
	if low && !l.diskLow {
		event.DiskLow.Write(l.replica.config.Logger, log.Fields{"replica": l.replica.config.Name, "free": free, "needed": minFreeBytes})
	}
	l.diskLow = low
	if !low || !l.replica.store.State().SetAside {
		return
	}
	if err := l.replica.store.RemoveSetAside(); err != nil {
		event.DiskLow.Write(l.replica.config.Logger, log.Fields{"replica": l.replica.config.Name, "error": err.Error()})
	}
}

// drain processes further queued inputs, so that one sync covers all of them.
func (l *loop) drain() {
	for range drainLimit {
		select {
		case m := <-l.replica.inbox:
			l.step(m)
		case q := <-l.replica.reads:
			l.read(q)
		case <-l.replica.failed:
			return
		default:
			return
		}
	}
}

func (l *loop) step(m raft.Message) {
	if l.core == nil {
		return
	}
	if m.Address != "" && m.To == l.replica.self.Identity {
		l.rememberAddress(m.From, m.Address)
	}
	l.core.Step(m)
}

// maxAddresses bounds the number of kept addresses: a group has a few members at a time, and some more over its lifetime.
const maxAddresses = 256

func (l *loop) rememberAddress(id raft.Identity, address string) {
	if len(l.addresses) >= maxAddresses {
		clear(l.addresses)
	}
	l.addresses[id] = address
}

// propose appends p and the commands that are queued after it.
func (l *loop) propose(p *proposal) {
	if p.change != nil {
		l.change(p)
		return
	}
	batch := make([]*proposal, 0, 16)
	var change *proposal
	for range drainLimit {
		if p.change != nil {
			change = p
			break
		}
		if p.claim() {
			batch = append(batch, p)
		}
		select {
		case p = <-l.replica.proposals:
			continue
		default:
		}
		break
	}
	l.append(batch)
	if change != nil {
		l.change(change)
	}
}

func (l *loop) append(batch []*proposal) {
	if len(batch) == 0 {
		return
	}
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.command
	}
	if l.core == nil {
		reject(batch, errNotFormed())
		return
	}
	if l.diskLow && l.core.Status().Role == raft.Leader {
		reject(batch, errDiskLow())
		return
	}
	index, term, err := l.core.Propose(commands)
	if err != nil {
		reject(batch, errNotLeader(l.notLeaderError()))
		return
	}
	l.replica.pending.add(index, term, batch)
}

func reject(batch []*proposal, err error) {
	for _, p := range batch {
		p.finish(outcome{err: err})
	}
}

// change appends a membership change.
func (l *loop) change(p *proposal) {
	if !p.claim() {
		return
	}
	if l.core == nil {
		p.finish(outcome{err: errNotFormed()})
		return
	}
	index, term, err := l.core.Change(p.change)
	switch {
	case err == nil:
		l.replica.pending.add(index, term, []*proposal{p})
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrTransferring):
		p.finish(outcome{err: errNotLeader(l.notLeaderError())})
	case errors.Is(err, raft.ErrChangePending), errors.Is(err, raft.ErrNotCaughtUp):
		p.finish(outcome{err: errChangePending(err)})
	default:
		p.finish(outcome{err: errChangeRefused(err)})
	}
}

func (l *loop) read(q *pendingRead) {
	if l.core == nil {
		q.finish(0, errNotFormed())
		return
	}
	l.readID++
	if err := l.core.Read(l.readID); err != nil {
		q.finish(0, errNotLeader(l.notLeaderError()))
		return
	}
	l.pendingReads[l.readID] = q
}

// notLeaderError returns a NotLeaderError that names the leader, if it is known.
func (l *loop) notLeaderError() NotLeaderError {
	s := l.core.Status()
	if s.Leader == raft.None || s.Leader == l.replica.self.Identity {
		return NotLeaderError{}
	}
	return NotLeaderError{Name: l.nameOf(s), Address: s.LeaderAddress}
}

func (l *loop) nameOf(s raft.Status) string {
	m, _ := s.Configuration.Member(s.Leader)
	return m.Name
}

// startCore persists the founding and starts the core.
func (l *loop) startCore(f disk.Founding) {
	r := l.replica
	if _, ok := r.store.Founding(); !ok {
		if err := r.store.SaveFounding(f); err != nil {
			r.fail(err)
			return
		}
	}
	state := r.store.State()
	l.core = raft.New(raft.Config{
		Group: r.config.Group, Founding: f.ID, Self: r.self, Initial: f.Configuration,
		HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries,
		Random: r.random,
	})
	l.lastStatus = l.core.Status()
	r.mu.Lock()
	r.formation.Formed = true
	r.formation.Founding = f
	r.mu.Unlock()
	l.publish()
}

// beginStop begins a planned stop with a leadership transfer.
func (l *loop) beginStop(ctx context.Context) {
	l.stopContext = ctx
	l.stopTicksLeft = 0
	if l.core == nil || !l.core.TransferLeadership() {
		return
	}
	l.stopTicksLeft = transferTicks
	event.LeadershipHandedOver.Write(l.replica.config.Logger, log.Fields{"replica": l.replica.config.Name})
}

// stopped reports whether a planned stop is complete.
func (l *loop) stopped() bool {
	if l.stopContext == nil {
		return false
	}
	return l.core == nil || l.stopTicksLeft <= 0 || l.stopContext.Err() != nil || l.core.Status().Role != raft.Leader
}
