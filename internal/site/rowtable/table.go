package rowtable

import (
	"bytes"
	"context"
	"sync"
)

// MaxAnswerBytes bounds the rows of one answer; the rest follows at once. A larger row
// comes by itself and may not be through in time. An
// answer has to be through before its poll times out, also when a replica that has
// just started owes all rows to a hundred watchers: one that isn't begins anew, and
// the watchers would never learn anything.
const MaxAnswerBytes = 64 << 10

// rowBytes is what a row takes besides its key and value.
const rowBytes = 8

// Table is a set of rows with the numbers of their changes.
type Table interface {
	// Epoch is a number that differs after each start of the process.
	Epoch() uint64
	// Put sets a row and returns the number of its last change; an equal value changes nothing.
	Put(topic Topic, key string, value []byte) uint64
	// Since returns the rows that changed after the given number, the oldest first, and the number up to which they go.
	Since(number uint64) ([]Row, uint64)
	// ChangedAfter returns whether there are changes after number.
	ChangedAfter(number uint64) bool
	// Wait returns once there is a change after number, or ctx ends.
	Wait(ctx context.Context, number uint64)
}

type id struct {
	topic Topic
	key   string
}

type entry struct {
	row     Row
	changed uint64
}

type board struct {
	epoch uint64
	mu    sync.Mutex
	rows  map[id]*entry
	// order holds the rows by their last change; a row that changed again
	// leaves a stale place behind that is passed over and swept now and then.
	order  []place
	last   uint64
	signal chan struct{}
}

type place struct {
	id      id
	changed uint64
}

// New returns an empty Board.
func New(epoch uint64) Table {
	return &board{epoch: epoch, rows: map[id]*entry{}, signal: make(chan struct{})}
}

// Epoch implements Board.
func (b *board) Epoch() uint64 {
	return b.epoch
}

// Put implements Board.
func (b *board) Put(topic Topic, key string, value []byte) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := id{topic, key}
	e, ok := b.rows[i]
	if ok && bytes.Equal(e.row.Value, value) {
		return e.changed
	}
	if !ok {
		e = &entry{}
		b.rows[i] = e
	}
	b.last++
	e.row = Row{Topic: topic, Key: key, Value: value}
	e.changed = b.last
	b.order = append(b.order, place{i, b.last})
	b.sweep()
	close(b.signal)
	b.signal = make(chan struct{})
	return b.last
}

// sweep drops stale places once they outnumber the rows.
func (b *board) sweep() {
	const slack = 64
	if len(b.order) < 2*len(b.rows)+slack {
		return
	}
	kept := b.order[:0]
	for _, p := range b.order {
		if b.rows[p.id].changed == p.changed {
			kept = append(kept, p)
		}
	}
	b.order = kept
}

// Since implements Board.
func (b *board) Since(number uint64) ([]Row, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rows []Row
	size := 0
	for _, p := range b.order[b.after(number):] {
		e := b.rows[p.id]
		if e.changed != p.changed {
			continue
		}
		bytes := len(e.row.Key) + len(e.row.Value) + rowBytes
		if size > 0 && size+bytes > MaxAnswerBytes {
			return rows, p.changed - 1
		}
		size += bytes
		rows = append(rows, e.row)
	}
	return rows, b.last
}

// after returns the first place of a change after number.
func (b *board) after(number uint64) int {
	low, high := 0, len(b.order)
	for low < high {
		middle := (low + high) / 2
		if b.order[middle].changed > number {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// ChangedAfter implements Board.
func (b *board) ChangedAfter(number uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last > number
}

// Wait implements Board.
func (b *board) Wait(ctx context.Context, number uint64) {
	for {
		b.mu.Lock()
		last, signal := b.last, b.signal
		b.mu.Unlock()
		if last > number {
			return
		}
		select {
		case <-signal:
		case <-ctx.Done():
			return
		}
	}
}
