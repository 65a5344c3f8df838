package route

// EngineMemory is the name of the element that accounts for the pieces in engine memory.
const EngineMemory = "engine-memory"

type engineMemory struct{}

func (engineMemory) Name() string { return EngineMemory }

// Apply sets the compute time for the case that all pieces missing from engine memory are
// recomputed.
func (engineMemory) Apply(q *Query, c *Candidate, e *Estimate) {
	for i, held := range q.heldBy(e.Server) {
		if !held {
			e.Recomputed += q.Request.Pieces[i].Tokens
		}
	}
	e.Compute = float64(e.Recomputed+q.tail) / prefillRate(c)
	e.price(q)
}
