package suspicion

import (
	"cmp"
	"slices"
)

// FingerprintLosses is one fingerprint and the server losses attributed to it.
type FingerprintLosses struct {
	// Losses are the losses, oldest first.
	Losses []Loss
	// Kind is what the attribute is, WholeRequest if not set.
	Kind Kind
	// Limit is at how many lost servers it is quarantined.
	Limit int
	// With are the parts that each of its runs held too.
	With []Fingerprint
	// Fingerprint identifies the attribute.
	Fingerprint Fingerprint
	// Confirmed is set if it is a part that is quarantined and that nobody has refuted in time.
	Confirmed bool
	// Standing is set by Classify.
	Standing Standing
}

// Classify sets the standing of each fingerprint in cases.
//
// A fingerprint is quarantined if at least its limit of different servers were lost while they ran it.
// Repeated losses of one server count once, because that server may be faulty itself; under a part they count
// from repeatedLosses on, because a service may have few servers. A part needs one more server if one of them had
// begun all answers: what crashes servers mostly does so before. A loss is
// attributed to all fingerprints that were running on the lost server. If one of them is also
// quarantined because of another loss, the shared loss no longer counts against the others.
//
// The attribution is recomputed from all losses each time. An innocent fingerprint that was running
// next to two faulty ones looks like the only faulty one until further losses of the other two are
// known, and must then be released. A fingerprint whose losses are all explained by others stays a
// suspect, because the quarantined one may be the innocent one; its next complete answer clears it.
//
// Many requests share a part. If two parts that came in different requests have the same losses, one of them is
// there by chance, and the next loss shows which. They are quarantined only from repeatedLosses on. A confirmed part
// isn't released for a better explanation: it gets no further losses, and others do.
func Classify(cases []*FingerprintLosses) {
	quarantined := quarantineCandidates(cases)
	for _, c := range slices.Clone(quarantined) {
		if !c.Confirmed && !c.reachesLimit(unexplainedLosses(c, quarantined)) {
			quarantined = slices.DeleteFunc(quarantined, func(d *FingerprintLosses) bool { return d == c })
		}
	}
	for _, c := range cases {
		c.Standing = standingOf(c, quarantined)
	}
}

// quarantineCandidates returns the cases whose fingerprints can be quarantined, those with the
// least evidence first: fewer servers before more, older latest losses before newer ones.
func quarantineCandidates(cases []*FingerprintLosses) []*FingerprintLosses {
	var list []*FingerprintLosses
	for _, c := range cases {
		if c.Confirmed || c.reachesLimit(c.Losses) && !c.isAmbiguous(cases) {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b *FingerprintLosses) int {
		return cmp.Or(cmp.Compare(countServers(a.Losses), countServers(b.Losses)), cmp.Compare(latestLoss(a), latestLoss(b)))
	})
	return list
}

// reachesLimit returns whether these losses quarantine c.
func (c *FingerprintLosses) reachesLimit(losses []Loss) bool {
	limit := max(c.Limit, 1)
	if c.Kind != Part {
		return countServers(losses) >= limit
	}
	return countServers(unbegun(losses)) >= limit || countServers(losses) > limit || len(losses) >= repeatedLosses
}

// unbegun returns the losses of servers that had not begun all answers.
func unbegun(losses []Loss) []Loss {
	return slices.DeleteFunc(slices.Clone(losses), func(l Loss) bool { return l.Began })
}

// isAmbiguous returns whether c is a part, and another part that came in different requests has the same losses.
func (c *FingerprintLosses) isAmbiguous(cases []*FingerprintLosses) bool {
	if c.Kind != Part || len(c.Losses) >= repeatedLosses {
		return false
	}
	return slices.ContainsFunc(cases, func(d *FingerprintLosses) bool {
		return d != c && d.Kind == Part && d.reachesLimit(d.Losses) && !slices.Contains(c.With, d.Fingerprint) && sameLosses(c.Losses, d.Losses)
	})
}

// sameLosses returns whether a and b are the same events.
func sameLosses(a, b []Loss) bool {
	return len(a) == len(b) && !hasFurtherLoss(a, b)
}

func standingOf(c *FingerprintLosses, quarantined []*FingerprintLosses) Standing {
	switch {
	case slices.Contains(quarantined, c):
		return Quarantined
	case len(c.Losses) == 0:
		return Clear
	default:
		return Suspect
	}
}

// unexplainedLosses returns the losses of c that are not shared with another quarantined
// fingerprint that has a further loss.
func unexplainedLosses(c *FingerprintLosses, quarantined []*FingerprintLosses) []Loss {
	var rest []Loss
	for _, l := range c.Losses {
		shared := func(d *FingerprintLosses) bool {
			return d != c && Has(d.Losses, l) && hasFurtherLoss(d.Losses, c.Losses)
		}
		if !slices.ContainsFunc(quarantined, shared) {
			rest = append(rest, l)
		}
	}
	return rest
}

// hasFurtherLoss reports whether a contains a loss that b does not.
func hasFurtherLoss(a, b []Loss) bool {
	return slices.ContainsFunc(a, func(l Loss) bool { return !Has(b, l) })
}

// countServers returns the number of different servers among losses.
func countServers(losses []Loss) int {
	n := 0
	for i, l := range losses {
		if !slices.ContainsFunc(losses[:i], func(m Loss) bool { return m.Server == l.Server }) {
			n++
		}
	}
	return n
}

func latestLoss(c *FingerprintLosses) int64 {
	var at int64
	for _, l := range c.Losses {
		at = max(at, l.At)
	}
	return at
}
