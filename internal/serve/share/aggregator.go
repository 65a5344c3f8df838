package share

import (
	"sync"
	"time"
)

// reportTimeout is how long an entry's last report counts. An entry reports several times as
// often, and one that was lost must not reserve capacity at engines for ever.
const reportTimeout = 1500 * time.Millisecond

// Aggregator adds up the load reports of all entries.
type Aggregator interface {
	// Add records a report; one that is older than the last one of its entry is ignored.
	Add(r Report, now time.Time)
	// Sum returns the sum of the reports that are still valid.
	Sum(now time.Time) Sum
}

type receivedReport struct {
	report Report
	at     time.Time
}

type aggregator struct {
	mu      sync.Mutex
	reports map[string]receivedReport
}

// NewAggregator returns an Aggregator without reports.
func NewAggregator() Aggregator {
	return &aggregator{reports: map[string]receivedReport{}}
}

// Add implements Aggregator.
func (a *aggregator) Add(r Report, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Sequence > a.reports[r.Entry].report.Sequence {
		a.reports[r.Entry] = receivedReport{r, now}
	}
}

// Sum implements Aggregator.
func (a *aggregator) Sum(now time.Time) Sum {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Sum{Loads: map[uint32]Load{}, Sequences: map[uint32]uint64{}}
	for entry, r := range a.reports {
		if now.Sub(r.at) > reportTimeout {
			delete(a.reports, entry)
			continue
		}
		s.Sequences[hash(entry)] = r.report.Sequence
		for server, l := range r.report.Loads {
			h := hash(server)
			s.Loads[h] = s.Loads[h].Plus(l)
		}
	}
	return s
}
