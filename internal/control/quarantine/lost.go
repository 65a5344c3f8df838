package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// lost records the losses for each request that ran on the servers.
func (q *quarantine) lost(at time.Time, losses ...Lost) Result {
	valid := false
	for i := range losses {
		c := &losses[i]
		if c.Server == "" || len(c.Running) > maxRunning {
			continue
		}
		valid = true
		delete(q.slots, c.Server)
		loss := suspicion.Loss{Server: c.Server, Incarnation: c.Incarnation, At: at.Add(-max(0, c.Ago)).UnixNano()}
		for _, r := range c.Running {
			q.add(at, loss, r, c)
		}
		q.limit = c.Servers
	}
	if valid {
		q.updateStandings()
	}
	return Result{Valid: valid}
}

// add records one loss of a request.
func (q *quarantine) add(at time.Time, loss suspicion.Loss, r Running, c *Lost) {
	found, ok := q.records[r.Fingerprint]
	if !ok {
		if len(q.records) >= maxRecords && !q.dropOldestSuspect() {
			return
		}
		found = &record{Fingerprint: r.Fingerprint, Workspace: r.Workspace, Model: r.Model, Standing: suspicion.Clear}
		q.records[r.Fingerprint] = found
	}
	found.Window, found.Hold = c.Window, c.Hold
	if suspicion.Has(found.Losses, loss) || len(found.Losses) >= maxLosses || r.Age > 0 && found.overlaps(at.Add(-r.Age)) {
		return
	}
	found.Losses = append(found.Losses, loss)
}

// dropOldestSuspect makes room for another record. It returns false if all are quarantined.
func (q *quarantine) dropOldestSuspect() bool {
	var oldest *record
	for _, r := range q.records {
		if r.Standing != suspicion.Quarantined && (oldest == nil || r.before(oldest)) {
			oldest = r
		}
	}
	if oldest != nil {
		q.remove(oldest.Fingerprint)
	}
	return oldest != nil
}

// updateStandings computes the standing of each record. Thousands of requests have one loss each; they
// depend on no other and mostly stay what they are, so only those with several are classified.
func (q *quarantine) updateStandings() {
	changed := map[suspicion.Fingerprint]suspicion.Standing{}
	var several []suspicion.Fingerprint
	for f, r := range q.records {
		switch {
		case len(r.Losses) >= q.limit:
			several = append(several, f)
		case len(r.Losses) > 0 && r.Standing != suspicion.Suspect:
			changed[f] = suspicion.Suspect
		case len(r.Losses) == 0 && r.Standing != suspicion.Clear:
			changed[f] = suspicion.Clear
		}
	}
	q.classify(several, changed)
	for _, f := range slices.SortedFunc(maps.Keys(changed), compare) {
		q.setStanding(q.records[f], changed[f])
	}
}

// classify adds to changed those of the fingerprints whose standing changes.
func (q *quarantine) classify(fingerprints []suspicion.Fingerprint, changed map[suspicion.Fingerprint]suspicion.Standing) {
	slices.SortFunc(fingerprints, compare)
	losses := make([]*suspicion.FingerprintLosses, len(fingerprints))
	for i, f := range fingerprints {
		losses[i] = &suspicion.FingerprintLosses{Losses: q.records[f].Losses}
	}
	suspicion.Classify(losses, q.limit)
	for i, f := range fingerprints {
		if q.records[f].Standing != losses[i].Standing {
			changed[f] = losses[i].Standing
		}
	}
}

// setStanding changes the standing of r and assigns a new version to the change.
func (q *quarantine) setStanding(r *record, s suspicion.Standing) {
	if r.Standing == s {
		return
	}
	r.Standing = s
	q.version++
	r.Version = q.version
}

// remove deletes the record of a fingerprint, which makes it clear.
func (q *quarantine) remove(f suspicion.Fingerprint) {
	r, ok := q.records[f]
	if !ok {
		return
	}
	delete(q.records, f)
	// The entries don't know a fingerprint that was never anything but clear.
	if r.Version == 0 {
		return
	}
	q.version++
	q.removals = append(q.removals, removal{Fingerprint: f, Version: q.version})
	if len(q.removals) > maxRemovals {
		q.forgotten = q.removals[0].Version
		q.removals = q.removals[1:]
	}
}

// expire drops expired leases and old losses. A quarantined request keeps its
// losses, unless it is released some time after the last one: passing time doesn't
// show that it is harmless, and each retry would cost servers again.
func (q *quarantine) expire(at time.Time) {
	for server, s := range q.slots {
		if s.Until <= at.UnixNano() {
			delete(q.slots, server)
		}
	}
	changed := false
	for _, r := range q.records {
		if r.Standing == suspicion.Quarantined {
			if r.released(at) {
				r.Losses, changed = nil, true
			}
			continue
		}
		if r.expired(at) {
			r.Losses, changed = suspicion.Recent(r.Losses, at, r.Window), true
		}
	}
	if !changed {
		return
	}
	q.updateStandings()
	for _, f := range q.order() {
		if len(q.records[f].Losses) == 0 {
			q.remove(f)
		}
	}
}

// order returns the fingerprints in the same order on all replicas, because
// versions and snapshots depend on the order.
func (q *quarantine) order() []suspicion.Fingerprint {
	return slices.SortedFunc(maps.Keys(q.records), compare)
}

func compare(a, b suspicion.Fingerprint) int {
	return bytes.Compare(a[:], b[:])
}
