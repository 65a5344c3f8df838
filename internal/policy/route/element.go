package route

import "slices"

// Element is one part of the policy; it reads the query and changes the estimate of one candidate.
type Element interface {
	// Name returns the kebab-case name under which the element is switched off for a comparison.
	Name() string
	// Apply updates e, the estimate of candidate c.
	Apply(q *Query, c *Candidate, e *Estimate)
}

// Prioritized is an Element with its place in the order; lower goes first.
type Prioritized struct {
	// Element is the part of the policy.
	Element Element
	// Priority is its place.
	Priority int
}

// ordered returns the elements by priority, without those that are named.
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
