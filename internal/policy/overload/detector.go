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
	// lagWindow is for how long at least a late wake-up shows in Lag.
	lagWindow = 2 * time.Second
)

// Detector tells from the lateness of wake-ups whether work waits for the processor. As in the CoDel algorithm, the
// least lateness of a window counts: a queue that is empty at times is no overload.
type Detector interface {
	// Observe records how late a wake-up was.
	Observe(late time.Duration, now time.Time)
	// Overloaded returns whether work has waited for the processor all the time.
	Overloaded() bool
	// Lag returns the greatest lateness of the last seconds: what arrived may have been read as much later.
	Lag(now time.Time) time.Duration
}

type detector struct {
	mu sync.Mutex
	// punctualAt is when the last punctual wake-up was, or the first observation.
	punctualAt, lastAt time.Time
	lateCount          int
	// lag is the greatest lateness since lagSince, and earlierLag that of the lagWindow before.
	lag, earlierLag time.Duration
	lagSince        time.Time
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
	d.turnLag(now)
	d.lag = max(d.lag, late)
	if late < target || d.punctualAt.IsZero() {
		d.punctualAt, d.lateCount = now, 0
		return
	}
	d.lateCount++
}

// Lag implements Detector. A wake-up that is due and hasn't come yet counts.
func (d *detector) Lag(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turnLag(now)
	lag := max(d.lag, d.earlierLag)
	if d.lastAt.IsZero() {
		return lag
	}
	return max(lag, now.Sub(d.lastAt)-Interval)
}

// turnLag begins another window once the last one has ended.
func (d *detector) turnLag(now time.Time) {
	age := now.Sub(d.lagSince)
	if age < lagWindow {
		return
	}
	d.earlierLag = d.lag
	if age >= 2*lagWindow {
		d.earlierLag = 0
	}
	d.lag, d.lagSince = 0, now
}

// minLate is how many wake-ups in a row have to be late: one alone may follow a freeze of any length.
const minLate = 2

// Overloaded implements Detector.
func (d *detector) Overloaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lateCount >= minLate && d.lastAt.Sub(d.punctualAt) >= window
}
