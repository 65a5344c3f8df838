package share

import (
	"maps"
	"sync"
	"time"
)

const (
	// keptReports is how many of its own reports an entry keeps, to subtract its own load from a
	// sum.
	keptReports = 64
	// sumTimeout is how long a sum is valid without a newer one. It covers the time until the next
	// lease holder sends one, and three of the longest intervals between sums of a thousand
	// engines.
	sumTimeout = 2500 * time.Millisecond
	// delayWeight is the weight of the newest measurement in the mean propagation delay.
	delayWeight = 0.2
)

// PeerLoads is the load of the other entries at each engine, as known to this entry.
type PeerLoads interface {
	// NextReport returns the next report of this entry's loads, and false if nothing has changed
	// since the last one.
	NextReport(own Loads, force bool, now time.Time) (Report, bool)
	// Apply applies a sum.
	Apply(s Sum, now time.Time)
	// Load returns the other entries' load at the engine.
	Load(server string, now time.Time) Load
	// PropagationDelay returns how long it takes until entries receive a report of one of them,
	// zero before it was measured.
	PropagationDelay() time.Duration
}

// sentReport is a report that this entry has sent.
type sentReport struct {
	loads Loads
	at    time.Time
}

type peerLoads struct {
	entry   string
	mu      sync.Mutex
	last    uint64
	reports map[uint64]sentReport
	loads   map[uint32]Load
	updated time.Time
	// acknowledged is the sequence number of this entry's latest report that was included in a
	// received sum. delay is the mean propagation delay.
	acknowledged uint64
	delay        time.Duration
}

// NewPeerLoads returns the PeerLoads of the entry with the given name.
func NewPeerLoads(entry string) PeerLoads {
	return &peerLoads{entry: entry, reports: map[uint64]sentReport{}}
}

// NextReport implements PeerLoads.
func (l *peerLoads) NextReport(own Loads, force bool, now time.Time) (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !force && maps.Equal(own, l.reports[l.last].loads) {
		return Report{}, false
	}
	l.last++
	l.reports[l.last] = sentReport{own, now}
	delete(l.reports, l.last-keptReports)
	return Report{Entry: l.entry, Sequence: l.last, Loads: own}, true
}

// Apply implements PeerLoads.
//
// The sum includes this entry's own load as of an earlier report. If the present load were
// subtracted instead, what was sent since then would be subtracted from the others' load.
func (l *peerLoads) Apply(s Sum, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sequence := s.Sequences[hash(l.entry)]
	own, ok := l.reports[sequence]
	if ok && sequence > l.acknowledged {
		l.recordDelay(now.Sub(own.at))
		l.acknowledged = sequence
	}
	l.loads = maps.Clone(s.Loads)
	for server, load := range own.loads {
		h := hash(server)
		if total, ok := l.loads[h]; ok {
			l.loads[h] = total.Minus(load)
		}
	}
	l.updated = now
}

// recordDelay updates the mean propagation delay.
func (l *peerLoads) recordDelay(delay time.Duration) {
	if l.delay == 0 {
		l.delay = delay
		return
	}
	l.delay += time.Duration(delayWeight * float64(delay-l.delay))
}

// PropagationDelay implements PeerLoads.
func (l *peerLoads) PropagationDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

// Load implements PeerLoads.
func (l *peerLoads) Load(server string, now time.Time) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.updated) > sumTimeout {
		return Load{}
	}
	return l.loads[hash(server)]
}
