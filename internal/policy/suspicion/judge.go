package suspicion

import (
	"cmp"
	"slices"
)

// Case is one fingerprint with the losses that it had a part in.
type Case struct {
	// Losses are the losses, oldest first.
	Losses []Loss
	// Standing is set by Judge.
	Standing Standing
}

// Judge sets the standing of each case.
//
// A case is quarantined when different servers in the number of limit were
// lost under it. One server that is lost again and again counts once: it may
// be the server that is broken. All who ran on a lost server share its loss;
// when one of them is condemned by another loss as well, the shared one no
// longer counts against the rest. Losses aren't given away for good: an
// innocent that was beside two culprits looks like the one culprit until the
// other two are known by further losses, and must get free then. A case whose
// losses are all explained stays a suspect, because the condemned one may be
// the innocent; its next whole answer clears it.
func Judge(cases []*Case, limit int) {
	limit = max(limit, 1)
	condemned := candidates(cases, limit)
	for _, c := range slices.Clone(condemned) {
		if servers(unexplained(c, condemned)) < limit {
			condemned = slices.DeleteFunc(condemned, func(d *Case) bool { return d == c })
		}
	}
	for _, c := range cases {
		c.Standing = stand(c, condemned)
	}
}

// candidates returns the cases that can be condemned, the weakest first: few
// servers before many, long past losses before new ones.
func candidates(cases []*Case, limit int) []*Case {
	var list []*Case
	for _, c := range cases {
		if servers(c.Losses) >= limit {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b *Case) int {
		return cmp.Or(cmp.Compare(servers(a.Losses), servers(b.Losses)), cmp.Compare(latest(a), latest(b)))
	})
	return list
}

func stand(c *Case, condemned []*Case) Standing {
	switch {
	case slices.Contains(condemned, c):
		return Quarantined
	case len(c.Losses) == 0:
		return Clear
	default:
		return Suspect
	}
}

// unexplained returns the losses of c that no other condemned case with a further loss shares.
func unexplained(c *Case, condemned []*Case) []Loss {
	var rest []Loss
	for _, l := range c.Losses {
		shared := func(d *Case) bool { return d != c && Has(d.Losses, l) && more(d.Losses, c.Losses) }
		if !slices.ContainsFunc(condemned, shared) {
			rest = append(rest, l)
		}
	}
	return rest
}

// more reports whether a has a loss that b has not.
func more(a, b []Loss) bool {
	return slices.ContainsFunc(a, func(l Loss) bool { return !Has(b, l) })
}

// servers returns the number of different servers.
func servers(losses []Loss) int {
	n := 0
	for i, l := range losses {
		if !slices.ContainsFunc(losses[:i], func(m Loss) bool { return m.Server == l.Server }) {
			n++
		}
	}
	return n
}

func latest(c *Case) int64 {
	var at int64
	for _, l := range c.Losses {
		at = max(at, l.At)
	}
	return at
}
