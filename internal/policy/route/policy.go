package route

import (
	"math/rand/v2"
	"sync"
	"time"
)

// policy is the Strategy that estimates the cost of each candidate with its elements.
type policy struct {
	name     string
	elements []Element
	queries  sync.Pool
}

// New returns the cost-based strategy. It is safe for concurrent use.
func New(c Config) Strategy {
	if c.Elements == nil {
		c.Elements = DefaultElements()
	}
	if c.Name == "" {
		c.Name = "hornbeamwood"
	}
	p := &policy{name: c.Name, elements: ordered(c.Elements, c.Without)}
	p.queries.New = func() any { return new(Query) }
	return p
}

func (p *policy) Name() string { return p.name }

// Decide returns the candidate with the lowest cost.
func (p *policy) Decide(now time.Time, r *Request, c *Cell, random *rand.Rand) Decision {
	q := p.queries.Get().(*Query)
	defer p.queries.Put(q)
	q.prepare(now, r, c)
	all := make([]Estimate, len(c.Candidates))
	for i := range c.Candidates {
		all[i].Server = i
		p.estimate(q, &c.Candidates[i], &all[i])
	}
	return q.decide(all, choose(all, random))
}

func (p *policy) estimate(q *Query, c *Candidate, e *Estimate) {
	for _, element := range p.elements {
		element.Apply(q, c, e)
	}
}

// tieTolerance is the fraction of the lowest cost within which candidates count as equal.
const tieTolerance = 0.01

// choose returns the index of an estimate with the lowest cost, or None. Entries that decide at the
// same moment on the same figures would all take the first of several equal servers; a random
// choice among them spreads the requests.
func choose(all []Estimate, random *rand.Rand) int {
	best := cheapest(all)
	if best == None {
		return None
	}
	limit := all[best].Cost * (1 + tieTolerance)
	ties := 0
	for i := range all {
		if all[i].Rank != all[best].Rank || all[i].Cost > limit {
			continue
		}
		ties++
		if random.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

// cheapest returns the index of the first estimate with the lowest cost among those with the lowest
// Rank.
func cheapest(all []Estimate) int {
	best := None
	for i := range all {
		if best == None || less(&all[i], &all[best]) {
			best = i
		}
	}
	return best
}

func less(a, b *Estimate) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Cost < b.Cost
}
