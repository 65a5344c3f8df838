package ledger

import (
	"cmp"
	"slices"
	"time"
)

func (l *ledger) lookup(q *Lookup) Result {
	s := l.shard(q.Scope.Workspace)
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.records[q.Scope]
	if !ok {
		return Result{Kind: Absent}
	}
	if r.heapIndex != notQueued && r.expires <= l.at.Load() {
		return s.lookupExpired(r, q)
	}
	return r.result(q.Digest, q.Attempt)
}

// lookupExpired returns the result of q for an expired record that no command has processed yet.
func (s *shard) lookupExpired(r *record, q *Lookup) Result {
	if r.phase != live {
		return Result{Kind: Absent}
	}
	expired := *r
	expired.phase = unknown
	return expired.result(q.Digest, q.Attempt)
}

func (l *ledger) countsOf(workspace string) Counts {
	var sum Counts
	for i := range l.shards {
		s := l.shards[i].Load()
		s.mu.RLock()
		for w, c := range s.counts {
			if workspace == "" || workspace == w {
				sum = sum.add(*c)
			}
		}
		s.mu.RUnlock()
	}
	return sum
}

func (l *ledger) unknowns(q *UnknownsQuery) Unknowns {
	var u Unknowns
	for i := range l.shards {
		u.Calls = append(u.Calls, l.shards[i].Load().unknowns(q.Workspace)...)
	}
	slices.SortFunc(u.Calls, func(a, b UnknownCall) int { return compareScopes(a.Scope, b.Scope) })
	limit := q.Limit
	if limit <= 0 || limit > maxUnknown {
		limit = maxUnknown
	}
	u.Calls = u.Calls[:min(limit, len(u.Calls))]
	return u
}

func (s *shard) unknowns(workspace string) []UnknownCall {
	s.mu.RLock()
	defer s.mu.RUnlock()
	total := 0
	for w, c := range s.counts {
		if workspace == "" || workspace == w {
			total += c.Unknown
		}
	}
	if total == 0 {
		return nil
	}
	calls := make([]UnknownCall, 0, total)
	for _, r := range s.records {
		if r.phase == unknown && (workspace == "" || workspace == r.scope.Workspace) {
			calls = append(calls, r.unknownCall())
		}
	}
	return calls
}

func (r *record) unknownCall() UnknownCall {
	return UnknownCall{
		Scope:       r.scope,
		Attempt:     r.attempt,
		Entry:       r.owner.entry,
		Incarnation: r.owner.incarnation,
		Since:       time.Unix(0, r.since).UTC(),
	}
}

func compareScopes(a, b Scope) int {
	return cmp.Or(
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Key, b.Key),
	)
}
