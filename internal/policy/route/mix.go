package route

// PieceMix is the name of the element that plans imports.
const PieceMix = "piece-mix"

// pieceMix picks how many leading pieces are imported where they are missing.
// Later pieces are recomputed: an engine computes a piece only after those
// before it, so an import behind a recomputed piece arrives while the engine
// could already compute it. Without it an import is never weighed against the
// engine's own speed; one sees first tokens that wait for a slow link.
type pieceMix struct{}

func (pieceMix) Name() string { return PieceMix }

// mix is the part of an estimate that depends on the number of imported pieces.
type mix struct {
	compute     float64
	arrived     float64
	linkSeconds float64
	linkDelay   float64
	recomputed  float64
	split       int
}

// Apply sets the plan and its times to the split with the lowest price.
func (pieceMix) Apply(q *Query, c *Candidate, e *Estimate) {
	if len(q.imports) == 0 {
		return
	}
	best := mix{compute: e.Compute, recomputed: float64(e.Recomputed)}
	least := q.mixCost(e, &best)
	at := best
	perToken := 1 / prefillRate(c)
	held := q.heldBy(e.Server)
	q.resetUse()
	for k := range q.imports {
		i := &q.imports[k]
		if held[i.piece] {
			continue
		}
		at.add(i, perToken, q.use(i))
		if cost := q.mixCost(e, &at); cost < least {
			best, least = at, cost
		}
	}
	best.into(q, e)
}

// add reads a piece from its store in place of computing it.
func (m *mix) add(i *importable, perToken, arrived float64) {
	m.recomputed -= i.tokens
	m.compute -= i.tokens * perToken
	m.linkSeconds += i.link
	m.linkDelay += i.delay
	m.split = i.piece + 1
	m.arrived = max(m.arrived, arrived)
}

// mixCost returns the part of the price that depends on m.
func (q *Query) mixCost(e *Estimate, m *mix) float64 {
	return q.price.firstToken*(max(e.Wait, m.arrived)+m.compute) +
		q.price.token*m.recomputed +
		q.price.link*m.linkSeconds +
		e.BacklogPrice*m.linkDelay
}

func (m *mix) into(q *Query, e *Estimate) {
	e.Compute = m.compute
	e.Import = m.arrived
	e.LinkSeconds = m.linkSeconds
	e.LinkDelay = m.linkDelay
	e.Recomputed = int(m.recomputed)
	e.Split = m.split
	e.price(q)
}
