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
	recomputed  int
	split       int
}

// Apply sets the plan and its times to the split with the lowest price.
func (pieceMix) Apply(q *Query, c *Candidate, e *Estimate) {
	best := mix{compute: e.Compute, recomputed: e.Recomputed}
	least := q.mixCost(e, &best)
	at := best
	perToken := 1 / c.Load.PrefillRate
	q.resetUse()
	for k, held := range q.heldBy(e.Server) {
		if held || q.sources[k].Store == None {
			continue
		}
		q.addImport(&at, k, perToken)
		if cost := q.mixCost(e, &at); cost < least {
			best, least = at, cost
		}
	}
	best.into(q, e)
}

// addImport reads piece k from its store in place of computing it.
func (q *Query) addImport(m *mix, k int, perToken float64) {
	p, source := &q.Request.Pieces[k], q.sources[k]
	m.recomputed -= p.Tokens
	m.compute -= float64(p.Tokens) * perToken
	m.linkSeconds += q.linkTime[k]
	m.linkDelay += max(q.linkTime[k], q.diskTime[k]) * q.behind(source)
	m.split = k + 1
	m.arrived = max(m.arrived, q.use(source, k))
}

// mixCost returns the part of the price that depends on m.
func (q *Query) mixCost(e *Estimate, m *mix) float64 {
	return q.price.firstToken*(max(e.Wait, m.arrived)+m.compute) +
		q.price.token*float64(m.recomputed) +
		q.price.link*m.linkSeconds +
		e.BacklogPrice*m.linkDelay
}

func (m *mix) into(q *Query, e *Estimate) {
	e.Compute = m.compute
	e.Import = m.arrived
	e.LinkSeconds = m.linkSeconds
	e.LinkDelay = m.linkDelay
	e.Recomputed = m.recomputed
	e.Split = m.split
	e.price(q)
}
