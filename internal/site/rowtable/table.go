package rowtable

import (
	"bytes"
	"context"
	"sync"
)

// MaxAnswerBytes bounds the rows of one answer; the rest follows at once. A larger row
// is sent alone and may not arrive in time.
//
// An answer has to arrive before its poll times out, even when a replica that has
// just started sends all rows to a hundred watchers. Otherwise the poll would start again
// from the beginning, and the watchers would never get any rows.
const MaxAnswerBytes = 64 << 10

// rowBytes is the encoded size of a row besides its key and value.
const rowBytes = 8

// Table is a set of rows with the revisions of their last changes.
type Table interface {
	// Epoch returns a number that changes with each start of the process.
	Epoch() uint64
	// Put sets a row and returns the revision of its last change; an equal value changes nothing.
	Put(topic Topic, key string, value []byte) uint64
	// Renew sets a row and returns its new revision, which it gets for an equal value as well.
	Renew(topic Topic, key string, value []byte) uint64
	// Remove forgets a row. Watchers that have it keep it and aren't told.
	Remove(topic Topic, key string)
	// Since returns the rows that changed after the given revision, the oldest change first, and the revision up to which they go.
	Since(revision uint64) ([]Row, uint64)
	// ChangedAfter returns whether there are changes after revision.
	ChangedAfter(revision uint64) bool
	// Wait returns once there is a change after revision, or ctx ends.
	Wait(ctx context.Context, revision uint64)
}

type rowID struct {
	topic Topic
	key   string
}

// revisedRow is a row with the revision of its last change.
type revisedRow struct {
	row      Row
	revision uint64
}

type table struct {
	epoch uint64
	mu    sync.Mutex
	rows  map[rowID]*revisedRow
	// changes holds the changes in their order. A row that changes again leaves a
	// stale change behind, which is skipped and removed by compact later.
	changes []change
	last    uint64
	signal  chan struct{}
}

// change records that a row changed at a revision.
type change struct {
	id       rowID
	revision uint64
}

// New returns an empty Table.
func New(epoch uint64) Table {
	return &table{epoch: epoch, rows: map[rowID]*revisedRow{}, signal: make(chan struct{})}
}

// Epoch implements Table.
func (t *table) Epoch() uint64 {
	return t.epoch
}

// Put implements Table.
func (t *table) Put(topic Topic, key string, value []byte) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.rows[rowID{topic, key}]; ok && bytes.Equal(e.row.Value, value) {
		return e.revision
	}
	return t.set(topic, key, value)
}

// Renew implements Table.
func (t *table) Renew(topic Topic, key string, value []byte) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.set(topic, key, value)
}

// set sets a row and returns its new revision. The caller holds the lock.
func (t *table) set(topic Topic, key string, value []byte) uint64 {
	id := rowID{topic, key}
	e, ok := t.rows[id]
	if !ok {
		e = &revisedRow{}
		t.rows[id] = e
	}
	t.last++
	e.row = Row{Topic: topic, Key: key, Value: value}
	e.revision = t.last
	t.changes = append(t.changes, change{id, t.last})
	t.compact()
	close(t.signal)
	t.signal = make(chan struct{})
	return t.last
}

// Remove implements Table.
func (t *table) Remove(topic Topic, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, rowID{topic, key})
}

// current returns the row that a change has set, and false if it is gone or has changed again.
func (t *table) current(c change) (*revisedRow, bool) {
	e, ok := t.rows[c.id]
	return e, ok && e.revision == c.revision
}

// compact removes stale changes once they outnumber the rows.
func (t *table) compact() {
	const slack = 64
	if len(t.changes) < 2*len(t.rows)+slack {
		return
	}
	kept := t.changes[:0]
	for _, c := range t.changes {
		if _, ok := t.current(c); ok {
			kept = append(kept, c)
		}
	}
	t.changes = kept
}

// Since implements Table.
func (t *table) Since(revision uint64) ([]Row, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []Row
	size := 0
	for _, c := range t.changes[t.after(revision):] {
		e, ok := t.current(c)
		if !ok {
			continue
		}
		bytes := len(e.row.Key) + len(e.row.Value) + rowBytes
		if size > 0 && size+bytes > MaxAnswerBytes {
			return rows, c.revision - 1
		}
		size += bytes
		rows = append(rows, e.row)
	}
	return rows, t.last
}

// after returns the index in changes of the first change after revision.
func (t *table) after(revision uint64) int {
	low, high := 0, len(t.changes)
	for low < high {
		middle := (low + high) / 2
		if t.changes[middle].revision > revision {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// ChangedAfter implements Table.
func (t *table) ChangedAfter(revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last > revision
}

// Wait implements Table.
func (t *table) Wait(ctx context.Context, revision uint64) {
	for {
		t.mu.Lock()
		last, signal := t.last, t.signal
		t.mu.Unlock()
		if last > revision {
			return
		}
		select {
		case <-signal:
		case <-ctx.Done():
			return
		}
	}
}
