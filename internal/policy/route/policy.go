package route

import (
	"math/rand/v2"
	"sync"
	"time"
)

// policy is the Strategy that weighs each candidate by its elements.
type policy struct {
	name     string
	elements []Element
	queries  sync.Pool
}

// New returns the cost-based strategy; it may be used by several goroutines at once.
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

// Decide returns the cheapest candidate.
func (p *policy) Decide(now time.Time, r *Request, c *Cell, random *rand.Rand) Decision {
	q := p.queries.Get().(*Query)
	defer p.queries.Put(q)
	q.prepare(now, r, c)
	all := make([]Estimate, len(c.Candidates))
	for i := range c.Candidates {
		all[i].Server = i
		p.weigh(q, &c.Candidates[i], &all[i])
	}
	return q.decide(all, choose(all, random))
}

func (p *policy) weigh(q *Query, c *Candidate, e *Estimate) {
	for _, x := range p.elements {
		x.Apply(q, c, e)
	}
}

// tieShare is the part of the lowest cost within which candidates count as equal.
const tieShare = 0.01

// choose returns the index of a cheapest estimate, or None.
// Entries that decide at the same moment on the same figures would all take the
// first of several equal servers; a random one among them spreads the requests.
func choose(all []Estimate, random *rand.Rand) int {
	best := cheapest(all)
	if best == None {
		return None
	}
	limit := all[best].Cost * (1 + tieShare)
	seen := 0
	for i := range all {
		if all[i].Bar != all[best].Bar || all[i].Cost > limit {
			continue
		}
		seen++
		if random.IntN(seen) == 0 {
			best = i
		}
	}
	return best
}

// cheapest returns the index of the first cheapest estimate of those with the lowest Bar.
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
	if a.Bar != b.Bar {
		return a.Bar < b.Bar
	}
	return a.Cost < b.Cost
}
