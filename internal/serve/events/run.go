package events

import (
	"errors"
	"fmt"
	"io"
)

// maxHeldEvents bounds the events that are held back while the first one of a run is in doubt.
const maxHeldEvents = 8

// ErrOutOfOrder means that an event isn't known to follow the one before it.
var ErrOutOfOrder = errors.New("events: an event is out of order")

// Run reads the events of one response of a server and returns those that are known to follow each other.
//
// Numbers increase in steps of any size, since an event may hold several tokens. So a step within a run is sound. The
// step to the first event may leave out events that another server would have sent: while it is larger than any step
// that the server is known to make, the run is in doubt, and its events are held back. Next fails with ErrOutOfOrder if
// the doubt remains, and for an event that isn't known to follow.
type Run interface {
	Scanner
	// LargestStep returns the largest step that the server is known to make.
	LargestStep() int64
}

// RunConfig is the configuration of a Run.
type RunConfig struct {
	// Events are the events of the response.
	Events Scanner
	// At is the position in the stream at which the run begins.
	At Position
	// LargestStep is the largest step that the server is known to make, zero if none is known.
	LargestStep int64
	// Begins returns whether a new stream that begins with the number is known to leave nothing out.
	Begins func(number int64) bool
	// OnHeld is called for each event that is held back.
	OnHeld func()
}

type run struct {
	events Scanner
	begins func(int64) bool
	onHeld func()
	// at is the position after the last event that was read; numbered is set once an event of the run had a number.
	at       Position
	numbered bool
	// first is the step to the first event, largest the largest step that the server is known to make.
	first, largest int64
	held           []Event
}

// NewRun returns a Run.
func NewRun(c RunConfig) Run {
	return &run{events: c.Events, begins: c.Begins, onHeld: c.OnHeld, at: c.At, largest: max(1, c.LargestStep)}
}

// Next implements Scanner.
func (r *run) Next() (Event, error) {
	if len(r.held) > 0 {
		e := r.held[0]
		r.held = r.held[1:]
		return e, nil
	}
	e, err := r.read()
	if err != nil || !r.doubtful() {
		return e, err
	}
	held := []Event{e.clone()}
	for r.doubtful() {
		r.onHeld()
		e, err := r.read()
		if errors.Is(err, io.EOF) || err == nil && r.doubtful() && len(held) == maxHeldEvents {
			err = fmt.Errorf("%w: the run begins with a step of %d, and %d is the largest one that is known", ErrOutOfOrder, r.first, r.largest)
		}
		if err != nil {
			return Event{}, err
		}
		held = append(held, e.clone())
	}
	r.held = held[1:]
	return held[0], nil
}

// Buffered implements Scanner.
func (r *run) Buffered() bool {
	return len(r.held) > 0 || r.events.Buffered()
}

// LargestStep implements Run.
func (r *run) LargestStep() int64 {
	return r.largest
}

// doubtful returns whether events may be left out before the first one.
func (r *run) doubtful() bool {
	return r.first > r.largest
}

// read reads the next event and checks that it follows the last one.
func (r *run) read() (Event, error) {
	e, err := r.events.Next()
	if err != nil {
		return Event{}, err
	}
	last, known := r.at.Event()
	switch step := e.ID - last; {
	case !e.HasID && (!e.HasData || !known || r.numbered):
		return e, nil
	case !e.HasID:
		return Event{}, fmt.Errorf("%w: the first one after event %d has no number", ErrOutOfOrder, last)
	case known && step <= 0:
		return Event{}, fmt.Errorf("%w: event %d follows event %d", ErrOutOfOrder, e.ID, last)
	case r.numbered:
		r.largest = max(r.largest, step)
	case known || !r.begins(e.ID):
		r.first = step
	}
	r.at, r.numbered = After(e.ID), true
	return e, nil
}
