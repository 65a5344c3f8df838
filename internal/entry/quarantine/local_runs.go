package quarantine

import (
	"time"

	"hornbeamwood/internal/entry/completion"
	"hornbeamwood/internal/policy/suspicion"
)

// dispatchTimeout bounds the time from claiming a slot to the dispatch of its request.
// Without it a request that is refused in between would keep its slot until the lease expires.
const dispatchTimeout = 5 * time.Second

// slot is a suspect's permission to run, held by this entry.
type slot struct {
	attempt   string
	claimedAt time.Time
}

// localRuns tracks the requests that run in this entry.
type localRuns struct {
	// slots holds the slots of suspects by fingerprint.
	slots map[completion.Fingerprint]slot
	// running counts the runs of each fingerprint by server.
	running map[completion.Fingerprint]map[string]int
	// suspects counts the running suspects by server.
	suspects map[string]int
}

func newLocalRuns() localRuns {
	return localRuns{
		slots:    map[completion.Fingerprint]slot{},
		running:  map[completion.Fingerprint]map[string]int{},
		suspects: map[string]int{},
	}
}

// claimSlot claims the slot of a suspect and returns its attempt, or false when this entry already runs
// the request or the request is not a suspect.
func (r *localRuns) claimSlot(now time.Time, f completion.Fingerprint, s suspicion.Standing, newAttempt func() string) (string, bool) {
	if s != suspicion.Suspect {
		return "", false
	}
	held, ok := r.slots[f]
	if ok && (len(r.running[f]) > 0 || now.Sub(held.claimedAt) < dispatchTimeout) {
		return "", false
	}
	if !ok {
		held.attempt = newAttempt()
	}
	held.claimedAt = now
	r.slots[f] = held
	return held.attempt, true
}

// unclaimSlot undoes claimSlot when the log did not grant the slot.
func (r *localRuns) unclaimSlot(f completion.Fingerprint, attempt string) {
	if r.slots[f].attempt == attempt {
		delete(r.slots, f)
	}
}

func (r *localRuns) startRun(f completion.Fingerprint, server string) {
	if r.running[f] == nil {
		r.running[f] = map[string]int{}
	}
	r.running[f][server]++
	if _, held := r.slots[f]; held {
		r.suspects[server]++
	}
}

// endRun removes one run. If the fingerprint held a slot, endRun frees it and returns its attempt.
func (r *localRuns) endRun(f completion.Fingerprint, server string) (string, bool) {
	if r.running[f][server]--; r.running[f][server] <= 0 {
		delete(r.running[f], server)
	}
	if len(r.running[f]) == 0 {
		delete(r.running, f)
	}
	held, ok := r.slots[f]
	if !ok {
		return "", false
	}
	delete(r.slots, f)
	if r.suspects[server]--; r.suspects[server] <= 0 {
		delete(r.suspects, server)
	}
	return held.attempt, true
}
