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

// handOverTicks bounds how long a stopping leader waits for another one.
const handOverTicks = 20

// loop owns the core: all its inputs pass here one after the other.
type loop struct {
	replica *replica
	ticks   <-chan time.Time
	core    raft.Core
	// addresses are those that the senders of messages gave.
	addresses map[raft.Identity]string
	// confirm holds the reads by the id that the core knows them by.
	confirm map[uint64]*read
	readID  uint64
	sending *raft.Snapshot
	before  raft.Status
	// stop is set when the replica stops; left counts the ticks until it does so in any case.
	stop context.Context
	left int
	// low says that the disk is nearly full, looked at every reserveTicks.
	low  bool
	look int
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
			l.found(f)
		case <-r.wake:
		case ctx := <-r.stopping:
			l.handOver(ctx)
		case <-r.halt:
			return
		}
		l.drain()
		if l.settle() != nil || l.stopped() {
			return
		}
	}
}

func (l *loop) tick() {
	l.left--
	l.reserve()
	if l.core != nil {
		l.core.Tick()
	}
}

// reserve looks at the free space now and then.
//
// A leader that writes until the disk is full ends in the middle of a write,
// and so would its successors, one after the other; refusing commands while
// there is room keeps the group, its reads and its leases alive.
func (l *loop) reserve() {
	l.look--
	if l.look > 0 {
		return
	}
	l.look = reserveTicks
	free, err := l.replica.store.Free()
	low := err == nil && free < reserveBytes
	if low && !l.low {
		event.DiskLow.Write(l.replica.config.Logger, log.Fields{"replica": l.replica.config.Name, "free": free, "needed": reserveBytes})
	}
	l.low = low
}

// drain takes what else is waiting, so that one sync serves all of it.
func (l *loop) drain() {
	for range drainLimit {
		select {
		case m := <-l.replica.inbox:
			l.step(m)
		case q := <-l.replica.reads:
			l.read(q)
		case <-l.replica.halt:
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
		l.remember(m.From, m.Address)
	}
	l.core.Step(m)
}

// maxAddresses bounds the addresses kept: a group has a few members, over its life some more.
const maxAddresses = 256

func (l *loop) remember(id raft.Identity, address string) {
	if len(l.addresses) >= maxAddresses {
		clear(l.addresses)
	}
	l.addresses[id] = address
}

// propose appends p and the commands that wait behind it.
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
		if p.take() {
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
		refuse(batch, errNotFormed())
		return
	}
	if l.low && l.core.Status().Role == raft.Leader {
		refuse(batch, errDiskLow())
		return
	}
	index, term, err := l.core.Propose(commands)
	if err != nil {
		refuse(batch, errNotLeader(l.leader()))
		return
	}
	l.replica.pending.add(index, term, batch)
}

func refuse(batch []*proposal, err error) {
	for _, p := range batch {
		p.finish(outcome{err: err})
	}
}

// change appends a membership change.
func (l *loop) change(p *proposal) {
	if !p.take() {
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
		p.finish(outcome{err: errNotLeader(l.leader())})
	case errors.Is(err, raft.ErrChangePending), errors.Is(err, raft.ErrNotCaughtUp):
		p.finish(outcome{err: errChangePending(err)})
	default:
		p.finish(outcome{err: errChange(err)})
	}
}

func (l *loop) read(q *read) {
	if l.core == nil {
		q.finish(0, errNotFormed())
		return
	}
	l.readID++
	if err := l.core.Read(l.readID); err != nil {
		q.finish(0, errNotLeader(l.leader()))
		return
	}
	l.confirm[l.readID] = q
}

// leader returns whom to ask instead.
func (l *loop) leader() NotLeaderError {
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

// found starts the core once the founding configuration is on disk.
func (l *loop) found(f disk.Founding) {
	r := l.replica
	if _, ok := r.store.Founding(); !ok {
		if err := r.store.Found(f); err != nil {
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
	l.before = l.core.Status()
	r.mu.Lock()
	r.formation.Formed = true
	r.formation.Founding = f
	r.mu.Unlock()
	l.publish()
}

// handOver begins a planned stop.
func (l *loop) handOver(ctx context.Context) {
	l.stop = ctx
	l.left = 0
	if l.core == nil || !l.core.Transfer() {
		return
	}
	l.left = handOverTicks
	event.LeadershipHandedOver.Write(l.replica.config.Logger, log.Fields{"replica": l.replica.config.Name})
}

// stopped returns whether a planned stop is done.
func (l *loop) stopped() bool {
	if l.stop == nil {
		return false
	}
	return l.core == nil || l.left <= 0 || l.stop.Err() != nil || l.core.Status().Role != raft.Leader
}
