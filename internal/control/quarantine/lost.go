package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// lost records the loss for each request that ran on the server.
func (q *quarantine) lost(at time.Time, c *Lost) Result {
	if c.Server == "" || len(c.Running) > maxRunning {
		return Result{}
	}
	delete(q.slots, c.Server)
	loss := suspicion.Loss{Server: c.Server, Incarnation: c.Incarnation, At: at.UnixNano()}
	for _, r := range c.Running {
		q.add(loss, r, c)
	}
	q.limit = c.Servers
	q.updateStandings()
	return Result{Valid: true}
}

// add records one loss of a request. When the section holds maxRecords, a new request isn't recorded and stays clear.
func (q *quarantine) add(loss suspicion.Loss, r Running, c *Lost) {
	found, ok := q.records[r.Fingerprint]
	if !ok {
		if len(q.records) >= maxRecords {
			return
		}
		found = &record{Fingerprint: r.Fingerprint, Workspace: r.Workspace, Model: r.Model, Standing: suspicion.Clear}
		q.records[r.Fingerprint] = found
	}
	found.Window = c.Window
	if suspicion.Has(found.Losses, loss) || len(found.Losses) >= maxLosses {
		return
	}
	found.Losses = append(found.Losses, loss)
}

// updateStandings computes the standing of each record.
func (q *quarantine) updateStandings() {
	order := q.order()
	losses := make([]*suspicion.FingerprintLosses, len(order))
	for i, f := range order {
		losses[i] = &suspicion.FingerprintLosses{Losses: q.records[f].Losses}
	}
	suspicion.Classify(losses, q.limit)
	for i, f := range order {
		q.setStanding(q.records[f], losses[i].Standing)
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
// losses: passing time doesn't show that it is harmless, and each retry would
// cost servers again.
func (q *quarantine) expire(at time.Time) {
	for server, s := range q.slots {
		if s.Until <= at.UnixNano() {
			delete(q.slots, server)
		}
	}
	changed := false
	for _, r := range q.records {
		if r.Standing == suspicion.Quarantined {
			continue
		}
		recent := suspicion.Recent(r.Losses, at, r.Window)
		changed = changed || len(recent) < len(r.Losses)
		r.Losses = recent
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
	return slices.SortedFunc(maps.Keys(q.records), func(a, b suspicion.Fingerprint) int { return bytes.Compare(a[:], b[:]) })
}
