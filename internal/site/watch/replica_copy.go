package watch

import (
	"time"

	"hornbeamwood/internal/site/rowtable"
)

// mostSteps bounds the numbers that are remembered of a copy: those of some minutes.
const mostSteps = 4096

// step says that the changes of a copy up to its number are those of the replica up to origin.
type step struct {
	number, origin uint64
}

// position is how far an entry had a copy when it last asked.
type position struct {
	number uint64
	asked  time.Duration
}

// replicaCopy is the copy of what one replica shows.
type replicaCopy struct {
	// epoch is the replica's, fencing the number of the lease that it told last.
	epoch, fencing uint64
	// asked is when it was asked to which it told so, and all that it showed had come, by
	// the boot clock: a relay that has stood still must not pass on what it was told
	// before as if it were fresh.
	asked   time.Duration
	board   rowtable.Table
	last    uint64
	steps   []step
	entries map[string]position
}

// note remembers that the copy has all changes of the replica up to origin.
func (c *replicaCopy) note(origin uint64) {
	if n := len(c.steps); n > 0 && c.steps[n-1].number == c.last {
		c.steps[n-1].origin = max(c.steps[n-1].origin, origin)
		return
	}
	c.steps = append(c.steps, step{c.last, origin})
	if len(c.steps) > mostSteps {
		c.steps = append([]step(nil), c.steps[mostSteps/2:]...)
	}
}

// origin returns the replica's number up to which an entry has the rows that has the copy up to number.
func (c *replicaCopy) origin(number uint64) uint64 {
	found := uint64(0)
	for _, s := range c.steps {
		if s.number > number {
			break
		}
		found = s.origin
	}
	return found
}

// lead returns what a watcher at the position lacks.
func (c *replicaCopy) lead(address string, at Position) HolderState {
	number := at.Revision
	if at.Epoch != c.board.Epoch() {
		number = 0
	}
	l := HolderState{Address: address, Epoch: c.epoch, Fencing: c.fencing, Position: Position{Epoch: c.board.Epoch()}}
	l.Rows, l.Position.Revision = c.board.Since(number)
	l.More = c.board.ChangedAfter(l.Position.Revision)
	return l
}
