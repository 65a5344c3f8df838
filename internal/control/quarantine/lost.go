package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// lost adds the loss to each request that ran on the server.
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
	q.judge()
	return Result{Valid: true}
}

// add notes one loss; beyond the bound on records the request isn't noted and stays clear.
func (q *quarantine) add(loss suspicion.Loss, r Running, c *Lost) {
	have, ok := q.records[r.Fingerprint]
	if !ok {
		if len(q.records) >= maxRecords {
			return
		}
		have = &record{Fingerprint: r.Fingerprint, Workspace: r.Workspace, Model: r.Model, Standing: suspicion.Clear}
		q.records[r.Fingerprint] = have
	}
	have.Window = c.Window
	if suspicion.Has(have.Losses, loss) || len(have.Losses) >= maxLosses {
		return
	}
	have.Losses = append(have.Losses, loss)
}

// judge gives each record its standing.
func (q *quarantine) judge() {
	order := q.order()
	cases := make([]*suspicion.Case, len(order))
	for i, f := range order {
		cases[i] = &suspicion.Case{Losses: q.records[f].Losses}
	}
	suspicion.Judge(cases, q.limit)
	for i, f := range order {
		q.stand(q.records[f], cases[i].Standing)
	}
}

// stand sets a record's standing.
func (q *quarantine) stand(r *record, s suspicion.Standing) {
	if r.Standing == s {
		return
	}
	r.Standing = s
	q.version++
	r.Version = q.version
}

// remove makes a fingerprint clear.
func (q *quarantine) remove(f suspicion.Fingerprint) {
	r, ok := q.records[f]
	if !ok {
		return
	}
	delete(q.records, f)
	// One that never was anything but clear is unknown to the entries.
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

// expire drops losses that are too old. A quarantined request keeps its: time
// is no sign that it is harmless, and each retry would cost servers again.
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
	q.judge()
	for _, f := range q.order() {
		if len(q.records[f].Losses) == 0 {
			q.remove(f)
		}
	}
}

// order returns the fingerprints in one order on all replicas, which is what
// versions and snapshots depend on.
func (q *quarantine) order() []suspicion.Fingerprint {
	return slices.SortedFunc(maps.Keys(q.records), func(a, b suspicion.Fingerprint) int { return bytes.Compare(a[:], b[:]) })
}
