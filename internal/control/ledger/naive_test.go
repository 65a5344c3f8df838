package ledger

import "time"

// naive is a reference implementation of the ledger: one list that is scanned completely for each command.
type naive struct {
	at      int64
	records []*naiveRecord
	fences  map[string]uint64
}

type naiveRecord struct {
	claim   Claim
	phase   phase
	answer  Answer
	expires int64
}

func (n *naive) apply(at time.Time, c Command) Result {
	n.at = at.UnixNano()
	n.expire()
	switch {
	case c.Claim != nil:
		return n.claim(c.Claim)
	case c.Outcome != nil:
		return n.outcome(c.Outcome)
	case c.Release != nil:
		return n.release(c.Release)
	case c.MarkUnknown != nil:
		r := n.find(c.MarkUnknown.Scope)
		if r == nil || r.claim.Attempt != c.MarkUnknown.Attempt {
			return Result{Kind: Stale}
		}
		if r.phase == live {
			r.phase = unknown
		}
		return r.result(Digest{}, c.MarkUnknown.Attempt)
	case c.Resolve != nil:
		return n.resolve(c.Resolve)
	default:
		return n.abandon(c.Abandon)
	}
}

func (n *naive) expire() {
	var kept []*naiveRecord
	for _, r := range n.records {
		expired := r.phase != unknown && r.expires <= n.at
		if expired && r.phase == live {
			r.phase = unknown
			expired = false
		}
		if !expired {
			kept = append(kept, r)
		}
	}
	n.records = kept
}

func (n *naive) find(s Scope) *naiveRecord {
	for _, r := range n.records {
		if r.claim.Scope == s {
			return r
		}
	}
	return nil
}

func (n *naive) claim(c *Claim) Result {
	if c.Incarnation <= n.fences[c.Entry] {
		return Result{Kind: Stale}
	}
	r := n.find(c.Scope)
	if r == nil {
		r = &naiveRecord{}
		n.records = append(n.records, r)
	} else if r.phase != released {
		return r.result(c.Digest, c.Attempt)
	} else if r.claim.Attempt == c.Attempt {
		return Result{Kind: Stale}
	}
	*r = naiveRecord{claim: *c, expires: n.at + int64(max(c.Keep, minRetention))}
	return Result{Kind: Granted, Attempt: c.Attempt, Entry: c.Entry}
}

func (r *naiveRecord) result(d Digest, attempt string) Result {
	if r.phase == released {
		return Result{Kind: Absent}
	}
	if d != (Digest{}) && d != r.claim.Digest {
		return Result{Kind: Mismatch}
	}
	found := Result{Attempt: r.claim.Attempt, Entry: r.claim.Entry}
	switch {
	case r.phase == settled:
		found.Kind, found.Answer = Found, &r.answer
	case r.phase == unknown:
		found.Kind = Unknown
	case r.claim.Attempt == attempt:
		found.Kind = Granted
	default:
		found.Kind, found.RetryAfter = Busy, busyRetry
	}
	return found
}

func (n *naive) outcome(o *Outcome) Result {
	r := n.find(o.Scope)
	if r == nil || r.claim.Attempt != o.Attempt || r.claim.Digest != o.Digest || r.phase == released {
		return Result{Kind: Stale}
	}
	if r.phase != settled {
		r.phase, r.answer, r.expires = settled, o.Answer, n.at+int64(max(r.claim.Keep, minRetention))
	}
	return Result{Kind: Done, Attempt: r.claim.Attempt}
}

func (n *naive) release(c *Release) Result {
	r := n.find(c.Scope)
	if r == nil {
		claim := Claim{Scope: c.Scope, Attempt: c.Attempt}
		n.records = append(n.records, &naiveRecord{claim: claim, phase: released, expires: n.at + int64(releasedRetention)})
		return Result{Kind: Done}
	}
	if r.claim.Attempt != c.Attempt || r.phase == settled {
		return Result{Kind: Stale}
	}
	r.phase, r.expires = released, n.at+int64(releasedRetention)
	return Result{Kind: Done}
}

func (n *naive) resolve(c *Resolve) Result {
	r := n.find(c.Scope)
	if r == nil {
		return Result{Kind: Absent}
	}
	if r.phase != unknown {
		return Result{Kind: Stale, Attempt: r.claim.Attempt}
	}
	r.phase, r.expires = released, n.at+int64(releasedRetention)
	if c.Ran {
		r.phase, r.answer, r.expires = settled, Answer{Dropped: true}, n.at+int64(max(r.claim.Keep, minRetention))
	}
	return Result{Kind: Done, Attempt: r.claim.Attempt}
}

func (n *naive) abandon(a *Abandon) Result {
	result := Result{Kind: Done}
	if a.Incarnation <= n.fences[a.Entry] {
		return result
	}
	n.fences[a.Entry] = a.Incarnation
	for _, r := range n.records {
		if r.phase == live && r.claim.Entry == a.Entry && r.claim.Incarnation <= a.Incarnation {
			r.phase = unknown
			result.Count++
		}
	}
	return result
}
