package route

import "slices"

// decide returns the decision for candidate s with its plan and reason.
func (q *Query) decide(all []Estimate, s int) Decision {
	if s == None {
		return Decision{Server: None, Reason: NoCandidate}
	}
	e := &all[s]
	d := Decision{
		Server:    s,
		Identity:  q.Cell.Candidates[s].Identity,
		Plan:      q.plan(s, e.Split),
		TTFT:      seconds(e.TTFT),
		Cost:      e.Cost,
		Estimates: all,
	}
	d.Reason = reason(&d, e)
	return d
}

// plan returns the steps for candidate s: the first split pieces are imported if they are missing.
func (q *Query) plan(s, split int) []Step {
	steps := make([]Step, len(q.Request.Pieces))
	held := q.heldBy(s)
	for i := range steps {
		steps[i] = q.step(held[i], i < split, q.sources[i])
	}
	return steps
}

func (q *Query) step(held, wanted bool, source Copy) Step {
	if held {
		return Step{Source: InMemory}
	}
	if wanted && source.Store != None {
		return Step{Source: Import, Copy: source}
	}
	return Step{Source: Recompute}
}

func reason(d *Decision, e *Estimate) Reason {
	if e.Rank == MaybeLost {
		return OnlySuspects
	}
	if e.Rank == Reserved {
		return ReserveTaken
	}
	if len(d.Estimates) == 1 {
		return OnlyCandidate
	}
	return planReason(d.Plan)
}

func planReason(plan []Step) Reason {
	why := LeastCost
	for _, s := range plan {
		if s.Source == Import {
			return PrefixImported
		}
		if s.Source == InMemory {
			why = PrefixInMemory
		}
	}
	return why
}

// FixedPlan returns the steps for server s by the rule of common KV cache connectors. Pieces in
// engine memory are used; missing pieces are imported if imports is set and a store has a copy.
func FixedPlan(r *Request, c *Cell, s int, imports bool) []Step {
	steps := make([]Step, len(r.Pieces))
	for i := range r.Pieces {
		steps[i] = fixedStep(&r.Pieces[i], c, s, imports)
	}
	return steps
}

func fixedStep(p *Piece, c *Cell, s int, imports bool) Step {
	if slices.Contains(p.Engines, s) {
		return Step{Source: InMemory}
	}
	if !imports {
		return Step{Source: Recompute}
	}
	for _, copied := range p.Copies {
		if c.Stores[copied.Store].LinkRate > 0 {
			return Step{Source: Import, Copy: copied}
		}
	}
	return Step{Source: Recompute}
}
