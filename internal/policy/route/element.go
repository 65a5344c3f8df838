package route

import "slices"

// Element is one part of the policy. It reads the query and updates the estimate of one candidate.
type Element interface {
	// Name returns the kebab-case name by which the element is disabled for an ablation.
	Name() string
	// Apply updates e, the estimate of candidate c.
	Apply(q *Query, c *Candidate, e *Estimate)
}

// Prioritized is an Element with its priority; elements with a lower priority are applied first.
type Prioritized struct {
	// Element is the element.
	Element Element
	// Priority is its position in the order.
	Priority int
}

// ordered returns the elements by priority, except those whose names are in without.
func ordered(all []Prioritized, without []string) []Element {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b Prioritized) int { return a.Priority - b.Priority })
	kept := make([]Element, 0, len(sorted))
	for _, p := range sorted {
		if !slices.Contains(without, p.Element.Name()) {
			kept = append(kept, p.Element)
		}
	}
	return kept
}
