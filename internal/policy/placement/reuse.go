package placement

import "sync"

// Returns learns how often the prompts of each workspace come back.
type Returns interface {
	// Seen counts a prompt that comes for the given time; 1 means that it is new.
	Seen(workspace string, visit int)
	// Probability returns the expected probability, 0 to 1, that such a prompt comes back.
	Probability(workspace string, visit int) float64
	// Forget drops what is known of a workspace.
	Forget(workspace string)
}

// visits is the number of visits that are told apart; later ones count as the last.
const visits = 4

// history counts the prompts of a workspace by visit.
type history [visits]float64

type returns struct {
	mutex     sync.Mutex
	prior     float64
	histories map[string]*history
}

// priorWeight is the number of prompts that the prior counts for.
const priorWeight = 20

// halfAt is the count at which all counts of a workspace are halved, so that old habits fade.
const halfAt = 2000

// NewReturns returns a Returns that expects prior until it has seen enough prompts.
func NewReturns(prior float64) Returns {
	return &returns{prior: prior, histories: map[string]*history{}}
}

func (r *returns) Seen(workspace string, visit int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	h, ok := r.histories[workspace]
	if !ok {
		h = &history{}
		r.histories[workspace] = h
	}
	h[bucket(visit)]++
	if h[0]+h[1] >= halfAt {
		h.halve()
	}
}

func (r *returns) Probability(workspace string, visit int) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	h, ok := r.histories[workspace]
	if !ok {
		return r.prior
	}
	seen, back := h.after(bucket(visit))
	return min((back+r.prior*priorWeight)/(seen+priorWeight), 1)
}

// after returns how many prompts were at visit v and how many of them came back;
// the last two visits are counted together, because the last holds all later ones.
func (h *history) after(v int) (seen, back float64) {
	if v < visits-2 {
		return h[v], h[v+1]
	}
	return h[visits-2] + h[visits-1], h[visits-1]
}

func (r *returns) Forget(workspace string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.histories, workspace)
}

func bucket(visit int) int {
	return min(max(visit, 1), visits) - 1
}

func (h *history) halve() {
	for i := range h {
		h[i] /= 2
	}
}
