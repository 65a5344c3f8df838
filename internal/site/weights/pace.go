package weights

import "time"

const (
	// firstLoad is how long a load is taken to last before one has ended.
	firstLoad = 2 * time.Second
	// loadWeight is the part of the latest load in the mean.
	loadWeight = 0.3
)

// pace is how long engines take to load weights.
type pace struct {
	load time.Duration
	// seen says that a load has ended.
	seen bool
}

func newPace() pace {
	return pace{load: firstLoad}
}

// learnt returns how long a load takes, zero before the first one has ended.
func (r *rollout) learnt() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.pace.seen {
		return 0
	}
	return r.pace.load
}

// learn notes how long a load took, from its order to the engine's word that it is done.
func (r *rollout) learn(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.pace.seen {
		r.pace = pace{load: took, seen: true}
		return
	}
	r.pace.load += time.Duration(loadWeight * float64(took-r.pace.load))
}
