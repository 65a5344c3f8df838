package replica

import (
	"fmt"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/raft"

	"github.com/apex/log"
)

// job is a unit of work of the applier: install a snapshot, then apply entries.
type job struct {
	install *raft.Snapshot
	entries []raft.Entry
	// configuration is the configuration in force at the last entry.
	configuration raft.Configuration
}

// applier applies committed entries and takes snapshots in its own goroutine, so that neither delays the loop's heartbeats.
type applier struct {
	replica *replica
	jobs    *queue[job]
	// entries and bytes count what was applied since the last snapshot.
	entries, bytes int
	ended          chan struct{}
}

func newApplier(r *replica) *applier {
	a := &applier{replica: r, jobs: newQueue[job](), ended: make(chan struct{})}
	go func() {
		defer close(a.ended)
		for {
			jobs, ok := a.jobs.pop()
			if !ok {
				return
			}
			for _, j := range jobs {
				if err := a.run(j); err != nil {
					r.fail(err)
					return
				}
			}
		}
	}()
	return a
}

func (a *applier) run(j job) error {
	if j.install != nil {
		if err := a.replica.config.Machine.Restore(j.install.Data); err != nil {
			return fmt.Errorf("replica: restore the leader's snapshot: %w", err)
		}
		a.entries, a.bytes = 0, 0
		a.replica.applied.advance(j.install.Meta.Index)
	}
	if len(j.entries) == 0 {
		return nil
	}
	for _, e := range j.entries {
		a.apply(e)
	}
	return a.snapshot(j)
}

func (a *applier) apply(e raft.Entry) {
	var result []byte
	if e.Kind == raft.EntryCommand {
		result = a.replica.config.Machine.Apply(e.Index, e.Data)
	}
	a.entries++
	a.bytes += len(e.Data)
	a.replica.applied.advance(e.Index)
	a.replica.pending.resolve(e, result)
}

// snapshot saves a snapshot if enough was applied since the last one.
func (a *applier) snapshot(j job) error {
	c := a.replica.config
	if a.entries < c.SnapshotEntries && a.bytes < c.SnapshotBytes {
		return nil
	}
	data, err := c.Machine.Snapshot()
	if err != nil {
		return fmt.Errorf("replica: encode a snapshot: %w", err)
	}
	last := j.entries[len(j.entries)-1]
	meta := raft.SnapshotMeta{Index: last.Index, Term: last.Term, Configuration: j.configuration}.WithData(data)
	if err := a.replica.store.SaveSnapshot(raft.Snapshot{Meta: meta, Data: data}); err != nil {
		return err
	}
	event.SnapshotTaken.Write(c.Logger, log.Fields{"index": meta.Index, "bytes": meta.Size, "entries": a.entries})
	a.entries, a.bytes = 0, 0
	a.replica.savedSnapshots.push(meta)
	a.replica.wakeUp()
	return nil
}
