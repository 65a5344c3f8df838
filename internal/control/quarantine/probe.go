package quarantine

import (
	"slices"
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

const probeRetry = time.Second

// begin grants a server's slot to a suspect. A server runs one suspect at a
// time, and a suspect runs once at a time in the fleet. If two suspects ran on
// one server, its loss would count against both, and a harmless one could be
// quarantined with the other.
func (q *quarantine) begin(at time.Time, c *Begin) Result {
	r, ok := q.records[c.Fingerprint]
	if !ok || r.Standing == suspicion.Clear {
		return Result{Valid: true, Granted: true, Standing: suspicion.Clear}
	}
	if r.Standing == suspicion.Quarantined {
		return q.probePart(at, r)
	}
	wait := Result{Valid: true, Standing: r.Standing, RetryAfter: probeRetry, Avoid: r.servers()}
	if c.Elsewhere && slices.Contains(wait.Avoid, c.Server) {
		return wait
	}
	if s, occupied := q.slots[c.Server]; occupied && s.Attempt != c.Attempt {
		return wait
	}
	for _, s := range q.slots {
		if s.Fingerprint == c.Fingerprint && s.Attempt != c.Attempt {
			return wait
		}
	}
	lease := min(max(c.Lease, minLease), maxLease)
	q.slots[c.Server] = slot{Fingerprint: c.Fingerprint, Attempt: c.Attempt, Until: at.Add(lease).UnixNano()}
	return Result{Valid: true, Granted: true, Standing: r.Standing}
}

// probePart lets one request with a quarantined part through at times. Nobody can answer one while all are refused, so a
// sound part would stay quarantined for as long as its callers ask.
func (q *quarantine) probePart(at time.Time, r *record) Result {
	if !r.probeDue(at) {
		return Result{Valid: true, Standing: r.Standing}
	}
	r.Probes, r.ProbedAt = r.Probes+1, at.UnixNano()
	q.touch(r, at)
	return Result{Valid: true, Granted: true, Standing: r.Standing}
}

// finish releases the slot. A complete answer clears the suspect.
func (q *quarantine) finish(c *Finish) Result {
	held := false
	for server, s := range q.slots {
		if s.Attempt == c.Attempt && s.Fingerprint == c.Fingerprint {
			delete(q.slots, server)
			held = true
		}
	}
	r, ok := q.records[c.Fingerprint]
	if !ok {
		return Result{Valid: true, Standing: suspicion.Clear}
	}
	if held && c.Whole && r.Standing == suspicion.Suspect {
		q.remove(c.Fingerprint)
		return Result{Valid: true, Standing: suspicion.Clear}
	}
	return Result{Valid: true, Standing: r.Standing}
}
