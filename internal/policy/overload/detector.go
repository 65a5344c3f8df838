package overload

import (
	"sync"
	"time"
)

const (
	// Interval is the interval of the wake-ups whose lateness is observed.
	Interval = 25 * time.Millisecond
	// window is how long each wake-up has to be late before the process counts as overloaded. Freezes, garbage
	// collection and processor time that is granted in slices delay single ones.
	window = 200 * time.Millisecond
	// target is how late each of them is.
	target = 50 * time.Millisecond
)

// Detector tells from the lateness of wake-ups whether work waits for the processor. As in the CoDel algorithm, the
// least lateness of a window counts: a queue that is empty at times is no overload.
type Detector interface {
	// Observe records how late a wake-up was.
	Observe(late time.Duration, now time.Time)
	// Overloaded returns whether work has waited for the processor all the time.
	Overloaded() bool
}

type detector struct {
	mu sync.Mutex
	// punctualAt is when the last punctual wake-up was, or the first observation.
	punctualAt, lastAt time.Time
	lateCount          int
}

// New returns a Detector without any observation.
func New() Detector {
	return &detector{}
}

// Observe implements Detector.
func (d *detector) Observe(late time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastAt = now
	if late < target || d.punctualAt.IsZero() {
		d.punctualAt, d.lateCount = now, 0
		return
	}
	d.lateCount++
}

// minLate is how many wake-ups in a row have to be late: one alone may follow a freeze of any length.
const minLate = 2

// Overloaded implements Detector.
func (d *detector) Overloaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lateCount >= minLate && d.lastAt.Sub(d.punctualAt) >= window
}
