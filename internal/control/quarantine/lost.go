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
		q.updateStandings(at)
	}
	return Result{Valid: valid}
}

// add records one loss of a request, and of the parts of its prompt.
func (q *quarantine) add(at time.Time, loss suspicion.Loss, r Running, c *Lost) {
	if found := q.record(r.Fingerprint, suspicion.WholeRequest, r); found != nil {
		found.Window, found.Hold, found.Limit = c.Window, c.Hold, c.Servers
		if r.Age <= 0 || !found.overlaps(at.Add(-r.Age)) {
			found.addLoss(loss)
		}
	}
	if c.PartServers <= 0 {
		return
	}
	for _, p := range r.Parts[:min(len(r.Parts), suspicion.MaxParts)] {
		if found := q.record(p, suspicion.Part, r); found != nil {
			found.Window, found.Hold, found.Limit, found.Delay = c.Window, c.Hold, c.PartServers, c.Delay
			q.addPart(found, at, loss, r)
		}
	}
}

// record returns the record of an attribute of r, a new one if there is none yet, or nil if there is no room.
func (q *quarantine) record(f suspicion.Fingerprint, k suspicion.Kind, r Running) *record {
	if found, ok := q.records[f]; ok {
		return found
	}
	if !q.makeRoom(k) {
		return nil
	}
	found := &record{Fingerprint: f, Kind: k, Workspace: r.Workspace, Model: r.Model, Standing: suspicion.Clear}
	q.records[f] = found
	if k == suspicion.Part {
		q.parts++
	}
	return found
}

// updateStandings computes the standing of each record. Thousands of attributes have one loss each; they
// depend on no other and mostly stay what they are, so only those with several are classified.
func (q *quarantine) updateStandings(at time.Time) {
	changed := map[suspicion.Fingerprint]suspicion.Standing{}
	var several []suspicion.Fingerprint
	for f, r := range q.records {
		switch {
		case len(r.Losses) >= q.limitOf(r) || r.nearLimit(q.limitOf(r)):
			several = append(several, f)
		case len(r.Losses) > 0 && r.Standing != suspicion.Suspect:
			changed[f] = suspicion.Suspect
		case len(r.Losses) == 0 && r.Standing != suspicion.Clear:
			changed[f] = suspicion.Clear
		}
	}
	q.classify(several, changed, at)
	for _, f := range slices.SortedFunc(maps.Keys(changed), compare) {
		q.setStanding(q.records[f], changed[f], at)
	}
	for _, f := range several {
		q.tellOfSuspect(q.records[f], at)
	}
}

// tellOfSuspect has entries know of a part that one more lost server quarantines, so that those that know answers
// refute it in time.
func (q *quarantine) tellOfSuspect(r *record, at time.Time) {
	if r.Since == 0 && r.Standing == suspicion.Suspect && r.nearLimit(q.limitOf(r)) {
		r.Since = at.UnixNano()
		q.touch(r, at)
	}
}

// limitOf returns at how many lost servers an attribute is quarantined.
func (q *quarantine) limitOf(r *record) int {
	if r.Limit > 0 {
		return r.Limit
	}
	return q.limit
}

// classify adds to changed those of the fingerprints whose standing changes.
func (q *quarantine) classify(fingerprints []suspicion.Fingerprint, changed map[suspicion.Fingerprint]suspicion.Standing, at time.Time) {
	slices.SortFunc(fingerprints, compare)
	losses := make([]*suspicion.FingerprintLosses, len(fingerprints))
	for i, f := range fingerprints {
		r := q.records[f]
		losses[i] = &suspicion.FingerprintLosses{
			Fingerprint: f, Kind: r.Kind, Losses: r.Losses, Limit: q.limitOf(r), With: r.With, Confirmed: r.confirmed(at),
		}
	}
	suspicion.Classify(losses)
	for i, f := range fingerprints {
		if q.records[f].Standing != losses[i].Standing {
			changed[f] = losses[i].Standing
		}
	}
}

// setStanding changes the standing of r and assigns a new version to the change. Entries needn't know of parts
// that are only suspects.
func (q *quarantine) setStanding(r *record, s suspicion.Standing, at time.Time) {
	if r.Standing == s {
		return
	}
	known := r.Kind == suspicion.WholeRequest || r.Standing == suspicion.Quarantined || s == suspicion.Quarantined
	r.Standing = s
	if r.Kind == suspicion.Part && known && r.Since == 0 {
		r.Since = at.UnixNano()
	}
	if known {
		q.touch(r, at)
	}
}

// touch assigns a new version to a change of r.
func (q *quarantine) touch(r *record, at time.Time) {
	q.version++
	r.Version, r.ChangedAt = q.version, at.UnixNano()
}

// remove deletes the record of a fingerprint, which makes it clear.
func (q *quarantine) remove(f suspicion.Fingerprint) {
	r, ok := q.records[f]
	if !ok {
		return
	}
	delete(q.records, f)
	if r.Kind == suspicion.Part {
		q.parts--
	}
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
	q.updateStandings(at)
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
