package replica

import (
	"math"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/raft"
)

// processEffects carries out the core's effects until there are none left.
func (l *loop) processEffects() error {
	if l.core == nil {
		return l.replica.Err()
	}
	for {
		e := l.core.Effects()
		if e.Empty() {
			break
		}
		if err := l.perform(e); err != nil {
			l.replica.fail(err)
			return err
		}
	}
	l.publish()
	if err := l.compact(); err != nil {
		l.replica.fail(err)
		return err
	}
	if err := l.core.Err(); err != nil {
		l.replica.fail(err)
		return err
	}
	return nil
}

// perform carries out effects in the order that safety requires: persist before responding.
func (l *loop) perform(e raft.Effects) error {
	l.send(e.Early)
	if err := l.persist(e); err != nil {
		return err
	}
	l.core.Persisted()
	l.send(e.Messages)
	l.apply(e)
	for _, s := range e.Reads {
		if q, ok := l.pendingReads[s.ID]; ok {
			delete(l.pendingReads, s.ID)
			q.finish(s.Index, nil)
		}
	}
	return nil
}

func (l *loop) persist(e raft.Effects) error {
	store := l.replica.store
	if e.Install == nil {
		if e.HardState == nil && len(e.Entries) == 0 {
			return nil
		}
		return store.Append(e.HardState, e.Entries)
	}
	if e.HardState != nil {
		if err := store.Append(e.HardState, nil); err != nil {
			return err
		}
	}
	if err := store.Install(*e.Install); err != nil {
		return err
	}
	event.SnapshotInstalled.Write(l.replica.config.Logger, log.Fields{
		"replica": l.replica.config.Name, "index": e.Install.Meta.Index, "bytes": e.Install.Meta.Size,
	})
	if len(e.Entries) == 0 {
		return nil
	}
	return store.Append(nil, e.Entries)
}

func (l *loop) apply(e raft.Effects) {
	if e.Install == nil && len(e.Committed) == 0 {
		return
	}
	j := job{install: e.Install, entries: e.Committed}
	if n := len(e.Committed); n > 0 {
		j.configuration = l.core.ConfigurationAt(e.Committed[n-1].Index)
	}
	l.replica.applier.jobs.push(j)
}

// send passes messages to the transport.
func (l *loop) send(messages []raft.Message) {
	if len(messages) == 0 {
		return
	}
	c := l.core.ConfigurationAt(math.MaxUint64)
	for _, m := range messages {
		address, ok := l.addresses[m.To]
		if !ok {
			member, _ := c.Member(m.To)
			address = member.Address
		}
		if address == "" || m.Kind == raft.MessageSnapshot && !l.addChunk(&m) {
			continue
		}
		l.replica.config.Transport.Send(address, m)
	}
}

// addChunk adds the requested chunk to m and reports whether its snapshot is still on disk.
func (l *loop) addChunk(m *raft.Message) bool {
	if l.outgoingSnapshot == nil || !l.outgoingSnapshot.Meta.Same(*m.Snapshot) {
		s, err := l.replica.store.LoadSnapshot()
		if err != nil {
			l.replica.fail(err)
			return false
		}
		l.outgoingSnapshot = &s
	}
	if !l.outgoingSnapshot.Meta.Same(*m.Snapshot) || m.Offset > l.outgoingSnapshot.Meta.Size {
		return false
	}
	end := min(m.Offset+uint64(l.replica.config.ChunkBytes), l.outgoingSnapshot.Meta.Size)
	m.Data = l.outgoingSnapshot.Data[m.Offset:end]
	return true
}

// compact compacts the log up to the snapshots that the applier saved.
func (l *loop) compact() error {
	for _, meta := range l.replica.savedSnapshots.take() {
		l.core.Compact(meta, uint64(l.replica.config.KeepEntries))
		l.outgoingSnapshot = nil
		if err := l.replica.store.Compact(meta.Index); err != nil {
			return err
		}
	}
	return nil
}
