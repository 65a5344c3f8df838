package placement

import "sync"

// ReuseEstimator estimates from observations how often the prompts of each workspace are sent
// again.
type ReuseEstimator interface {
	// Seen counts a prompt at its given visit; visit 1 is the first time that it is sent.
	Seen(workspace string, visit int)
	// Probability returns the estimated probability, from 0 to 1, that a prompt at the given visit
	// is sent again.
	Probability(workspace string, visit int) float64
	// Forget deletes the counts of a workspace.
	Forget(workspace string)
}

// maxVisits is the number of visits that are counted separately; later visits count as the last
// one.
const maxVisits = 4

// visitCounts counts the prompts of a workspace by visit.
type visitCounts [maxVisits]float64

type reuseEstimator struct {
	mutex  sync.Mutex
	prior  float64
	counts map[string]*visitCounts
}

// priorWeight is the weight of the prior, as a number of prompts.
const priorWeight = 20

// halveAt is the count at which all counts of a workspace are halved, so that old observations lose
// weight.
const halveAt = 2000

// NewReuseEstimator returns an estimator whose estimate is prior until it has seen enough prompts.
func NewReuseEstimator(prior float64) ReuseEstimator {
	return &reuseEstimator{prior: prior, counts: map[string]*visitCounts{}}
}

func (r *reuseEstimator) Seen(workspace string, visit int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c, ok := r.counts[workspace]
	if !ok {
		c = &visitCounts{}
		r.counts[workspace] = c
	}
	c[visitIndex(visit)]++
	if c[0]+c[1] >= halveAt {
		c.halve()
	}
}

func (r *reuseEstimator) Probability(workspace string, visit int) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c, ok := r.counts[workspace]
	if !ok {
		return r.prior
	}
	seen, reused := c.reuse(visitIndex(visit))
	return min((reused+r.prior*priorWeight)/(seen+priorWeight), 1)
}

// reuse returns how many prompts were at visit v and how many of them were sent again. The last two
// visits are counted together, because the last one includes all later visits.
func (c *visitCounts) reuse(v int) (seen, reused float64) {
	if v < maxVisits-2 {
		return c[v], c[v+1]
	}
	return c[maxVisits-2] + c[maxVisits-1], c[maxVisits-1]
}

func (r *reuseEstimator) Forget(workspace string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.counts, workspace)
}

func visitIndex(visit int) int {
	return min(max(visit, 1), maxVisits) - 1
}

func (c *visitCounts) halve() {
	for i := range c {
		c[i] /= 2
	}
}
