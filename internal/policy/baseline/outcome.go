package baseline

import "hornbeamwood/internal/policy/route"

// outcome returns the decision for server s.
func outcome(r *route.Request, c *route.Cell, s int, imports bool, why route.Reason) route.Decision {
	if s == route.None {
		return route.Decision{Server: route.None, Reason: route.NoCandidate}
	}
	return route.Decision{
		Server:   s,
		Identity: c.Candidates[s].Identity,
		Plan:     route.FixedPlan(r, c, s, imports),
		Reason:   why,
	}
}

// usable returns the indexes of the candidates that are not suspect, or of all candidates if every
// one is suspect.
func usable(c *route.Cell) []int {
	kept := make([]int, 0, len(c.Candidates))
	for i := range c.Candidates {
		if !c.Candidates[i].Suspect {
			kept = append(kept, i)
		}
	}
	if len(kept) > 0 {
		return kept
	}
	for i := range c.Candidates {
		kept = append(kept, i)
	}
	return kept
}
