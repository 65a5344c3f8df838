package sitecontrol

import (
	"sync"

	"hornbeamwood/internal/policy/suspicion"
	"hornbeamwood/internal/site/topic"
)

// quarantineRows tracks which attributes of requests the row table shows as quarantined.
type quarantineRows struct {
	mu    sync.Mutex
	shown map[suspicion.Fingerprint]bool
}

// showQuarantine shows the quarantined attributes in the row table, and those that have been cleared since.
func (p *process) showQuarantine() {
	p.quarantineRows.mu.Lock()
	defer p.quarantineRows.mu.Unlock()
	// Read before the periods, so that an attribute that is quarantined again gets a higher version.
	version := p.quarantine.Version()
	periods := p.quarantine.Periods()
	for f := range p.quarantineRows.shown {
		if _, ok := periods[f]; !ok {
			p.put(topic.Quarantine, f.String(), suspicion.Period{Version: version})
		}
	}
	p.quarantineRows.shown = make(map[suspicion.Fingerprint]bool, len(periods))
	for f, period := range periods {
		p.put(topic.Quarantine, f.String(), period)
		p.quarantineRows.shown[f] = true
	}
}

// countQuarantined returns how many attributes are quarantined.
func (p *process) countQuarantined() float64 {
	n := 0
	for _, x := range p.quarantine.Periods() {
		if x.Quarantined {
			n++
		}
	}
	return float64(n)
}
