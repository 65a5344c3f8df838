package watch

import (
	"time"

	"hornbeamwood/internal/site/rowtable"
)

// maxSteps bounds the steps that are kept for a mirror: those of some minutes.
const maxSteps = 4096

// revisionStep records that a mirror at its own revision has all changes of the replica up to the source revision.
type revisionStep struct {
	revision, source uint64
}

// position is an entry's revision of a mirror at its last poll.
type position struct {
	revision uint64
	polledAt time.Duration
}

// replicaMirror is a copy of the relayed rows of one replica.
type replicaMirror struct {
	// epoch is the replica's epoch, fencing the fencing number that it last reported.
	epoch, fencing uint64
	// polledAt is when the latest poll was sent whose answer contained a fencing number and
	// completed the mirror. It is read from the boot clock: a relay that was suspended
	// must not relay older rows as fresh after it resumes.
	polledAt time.Duration
	table    rowtable.Table
	last     uint64
	steps    []revisionStep
	entries  map[string]position
}

// recordRevision records that the mirror has all changes of the replica up to the source revision.
func (m *replicaMirror) recordRevision(source uint64) {
	if n := len(m.steps); n > 0 && m.steps[n-1].revision == m.last {
		m.steps[n-1].source = max(m.steps[n-1].source, source)
		return
	}
	m.steps = append(m.steps, revisionStep{m.last, source})
	if len(m.steps) > maxSteps {
		m.steps = append([]revisionStep(nil), m.steps[maxSteps/2:]...)
	}
}

// sourceRevision returns the replica's revision up to which an entry has the rows when it has the mirror's up to revision.
func (m *replicaMirror) sourceRevision(revision uint64) uint64 {
	found := uint64(0)
	for _, s := range m.steps {
		if s.revision > revision {
			break
		}
		found = s.source
	}
	return found
}

// holderState returns the rows that a watcher at the position lacks.
func (m *replicaMirror) holderState(address string, at Position) HolderState {
	revision := at.Revision
	if at.Epoch != m.table.Epoch() {
		revision = 0
	}
	state := HolderState{Address: address, Epoch: m.epoch, Fencing: m.fencing, Position: Position{Epoch: m.table.Epoch()}}
	state.Rows, state.Position.Revision = m.table.Since(revision)
	state.More = m.table.ChangedAfter(state.Position.Revision)
	return state
}
