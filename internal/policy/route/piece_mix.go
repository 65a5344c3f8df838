package route

// PieceMix is the name of the element that plans imports.
const PieceMix = "piece-mix"

// pieceMix chooses how many leading pieces are imported if missing. Later pieces are recomputed: an
// engine computes a piece only after the pieces before it, so an import behind a recomputed piece
// arrives while the engine could already compute it. Without this element an import is never
// compared with the prefill rate of the engine, and first tokens wait for slow links.
type pieceMix struct{}

func (pieceMix) Name() string { return PieceMix }

// importPlan is the part of an estimate that depends on the number of imported pieces.
type importPlan struct {
	compute     float64
	arrived     float64
	linkSeconds float64
	linkDelay   float64
	recomputed  float64
	split       int
}

// Apply chooses the split with the lowest cost and sets its times in e.
func (pieceMix) Apply(q *Query, c *Candidate, e *Estimate) {
	if len(q.imports) == 0 {
		return
	}
	best := importPlan{compute: e.Compute, recomputed: float64(e.Recomputed)}
	least := q.importPlanCost(e, &best)
	at := best
	perToken := 1 / prefillRate(c)
	held := q.heldBy(e.Server)
	q.resetTransfers()
	for k := range q.imports {
		i := &q.imports[k]
		if held[i.piece] {
			continue
		}
		at.add(i, perToken, q.addTransfer(i))
		if cost := q.importPlanCost(e, &at); cost < least {
			best, least = at, cost
		}
	}
	best.applyTo(q, e)
}

// add imports a piece instead of computing it.
func (p *importPlan) add(i *importable, perToken, arrived float64) {
	p.recomputed -= i.tokens
	p.compute -= i.tokens * perToken
	p.linkSeconds += i.link
	p.linkDelay += i.delay
	p.split = i.piece + 1
	p.arrived = max(p.arrived, arrived)
}

// importPlanCost returns the part of the cost that depends on p.
func (q *Query) importPlanCost(e *Estimate, p *importPlan) float64 {
	return q.price.firstToken*(max(e.Wait, p.arrived)+p.compute) +
		q.price.token*p.recomputed +
		q.price.link*p.linkSeconds +
		e.BacklogPrice*p.linkDelay
}

func (p *importPlan) applyTo(q *Query, e *Estimate) {
	e.Compute = p.compute
	e.Import = p.arrived
	e.LinkSeconds = p.linkSeconds
	e.LinkDelay = p.linkDelay
	e.Recomputed = int(p.recomputed)
	e.Split = p.split
	e.price(q)
}
