package suspicion

import (
	"cmp"
	"slices"
)

// FingerprintLosses is one fingerprint and the server losses attributed to it.
type FingerprintLosses struct {
	// Losses are the losses, oldest first.
	Losses []Loss
	// Standing is set by Classify.
	Standing Standing
}

// Classify sets the standing of each fingerprint in cases.
//
// A fingerprint is quarantined if at least limit different servers were lost while they ran it.
// Repeated losses of one server count once, because that server may be faulty itself. A loss is
// attributed to all fingerprints that were running on the lost server. If one of them is also
// quarantined because of another loss, the shared loss no longer counts against the others.
//
// The attribution is recomputed from all losses each time. An innocent fingerprint that was running
// next to two faulty ones looks like the only faulty one until further losses of the other two are
// known, and must then be released. A fingerprint whose losses are all explained by others stays a
// suspect, because the quarantined one may be the innocent one; its next complete answer clears it.
func Classify(cases []*FingerprintLosses, limit int) {
	limit = max(limit, 1)
	quarantined := quarantineCandidates(cases, limit)
	for _, c := range slices.Clone(quarantined) {
		if countServers(unexplainedLosses(c, quarantined)) < limit {
			quarantined = slices.DeleteFunc(quarantined, func(d *FingerprintLosses) bool { return d == c })
		}
	}
	for _, c := range cases {
		c.Standing = standingOf(c, quarantined)
	}
}

// quarantineCandidates returns the cases whose fingerprints can be quarantined, those with the
// least evidence first: fewer servers before more, older latest losses before newer ones.
func quarantineCandidates(cases []*FingerprintLosses, limit int) []*FingerprintLosses {
	var list []*FingerprintLosses
	for _, c := range cases {
		if countServers(c.Losses) >= limit {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b *FingerprintLosses) int {
		return cmp.Or(cmp.Compare(countServers(a.Losses), countServers(b.Losses)), cmp.Compare(latestLoss(a), latestLoss(b)))
	})
	return list
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
