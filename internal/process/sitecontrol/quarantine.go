package sitecontrol

import (
	"sync"

	"hornbeamwood/internal/policy/suspicion"
	"hornbeamwood/internal/site/topic"
)

// maxClearedRows bounds the rows of attributes that are cleared, so that callers can't fill the memory with parts that
// they make up. More than are cleared at a time, so that entries that are in touch learn of each.
const maxClearedRows = 16384

// quarantineRows are the rows of quarantined attributes.
type quarantineRows struct {
	mu sync.Mutex
	// shown are the attributes whose rows say that they are quarantined or suspected.
	shown map[suspicion.Fingerprint]bool
	// cleared are those whose rows say that they no longer are, oldest first.
	cleared []suspicion.Fingerprint
}

// update shows these attributes, and which others have been cleared since. The version is that of the section. Rows that
// were cleared long ago are removed: an entry that has missed that asks for a probe, which shows it that the attribute is
// cleared.
func (q *quarantineRows) update(version uint64, periods map[suspicion.Fingerprint]suspicion.Period, put func(suspicion.Fingerprint, suspicion.Period), remove func(suspicion.Fingerprint)) {
	for f := range q.shown {
		if _, ok := periods[f]; !ok {
			put(f, suspicion.Period{Version: version})
			q.cleared = append(q.cleared, f)
		}
	}
	q.shown = make(map[suspicion.Fingerprint]bool, len(periods))
	for f, period := range periods {
		put(f, period)
		q.shown[f] = true
	}
	for len(q.cleared) > maxClearedRows {
		if f := q.cleared[0]; !q.shown[f] {
			remove(f)
		}
		q.cleared = q.cleared[1:]
	}
}

// showQuarantine shows the quarantined attributes in the row table, and those that have been cleared since.
func (p *process) showQuarantine() {
	p.quarantineRows.mu.Lock()
	defer p.quarantineRows.mu.Unlock()
	// Read before the periods, so that an attribute that is quarantined again gets a higher version.
	version := p.quarantine.Version()
	put := func(f suspicion.Fingerprint, period suspicion.Period) { p.put(topic.Quarantine, f.String(), period) }
	remove := func(f suspicion.Fingerprint) { p.table.Remove(topic.Quarantine, f.String()) }
	p.quarantineRows.update(version, p.quarantine.Periods(), put, remove)
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
