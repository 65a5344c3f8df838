package section

import (
	"fmt"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/settings/tree"
)

// QueryKind is the kind of a Query.
type QueryKind string

const (
	// QueryChanges requests the changes since a known revision; the answer is Changes.
	QueryChanges QueryKind = "changes"
	// QueryHistory requests a part of the audit trail; the answer is History.
	QueryHistory QueryKind = "history"
	// QueryBranch requests a branch and its descendants; the answer is Dump.
	QueryBranch QueryKind = "branch"
	// QueryExplain requests the effective values of a branch; the answer is Explanation.
	QueryExplain QueryKind = "explain"
	// QueryDiff requests the differences between two revisions; the answer is Diff.
	QueryDiff QueryKind = "diff"
)

// maxHistory is the maximum number of records in one answer.
const maxHistory = 200

// Query is a query to the section.
type Query struct {
	// Kind is the kind of the query.
	Kind QueryKind `cbor:"kind"`
	// Known is the revision that the client has, for QueryChanges.
	Known uint64 `cbor:"known,omitempty"`
	// Path identifies the branch, for QueryBranch and QueryExplain.
	Path tree.Path `cbor:"path,omitempty"`
	// From is the earlier revision, for QueryDiff.
	From uint64 `cbor:"from,omitempty"`
	// To is the later revision, for QueryDiff, or the newest revision to return, for QueryHistory; 0 means the newest of all.
	To uint64 `cbor:"to,omitempty"`
	// Limit is the maximum number of records, for QueryHistory.
	Limit int `cbor:"limit,omitempty"`
}

var answers = map[QueryKind]func(*section, Query) ([]byte, error){
	QueryChanges: answer((*section).changes),
	QueryHistory: answer((*section).auditTrail),
	QueryBranch:  answer((*section).branchDump),
	QueryExplain: answer((*section).explain),
	QueryDiff:    answer((*section).diff),
}

// answer returns a function that encodes the result of f.
func answer[T any](f func(*section, Query) T) func(*section, Query) ([]byte, error) {
	return func(s *section, q Query) ([]byte, error) {
		return codec.Marshal(f(s, q))
	}
}

// Check implements state.Section.
func (s *section) Check(command []byte) error {
	_, err := codec.UnmarshalStrict[Edit](command)
	return err
}

// Query implements state.Section.
func (s *section) Query(query []byte) ([]byte, error) {
	q, err := codec.Unmarshal[Query](query)
	if err != nil {
		return nil, err
	}
	f, ok := answers[q.Kind]
	if !ok {
		return nil, fmt.Errorf("settings: unknown query %q", q.Kind)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return f(s, q)
}

// changes returns the differences since a known revision, whose size does not
// depend on the size of the tree. It returns the whole tree only if the history
// no longer has all of those edits or has more than maxDelta differences.
func (s *section) changes(q Query) Changes {
	c := Changes{From: q.Known, Revision: s.revision}
	if q.Known >= s.revision {
		return c
	}
	records, ok := s.history.after(q.Known)
	count := 0
	for _, r := range records {
		count += len(r.Effects)
	}
	if !ok || count > maxDelta {
		c.Whole = s.tree.Branches(tree.RootPath)
		return c
	}
	for _, r := range records {
		for _, e := range r.Effects {
			c.Changes = append(c.Changes, e.Change())
		}
	}
	return c
}

func (s *section) auditTrail(q Query) History {
	h := History{Revision: s.revision}
	if n := len(s.history.records); n > 0 {
		h.Oldest = s.history.records[0].Revision
	}
	limit := q.Limit
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	for i := len(s.history.records) - 1; i >= 0 && len(h.Records) < limit; i-- {
		r := s.history.records[i]
		if q.To == 0 || r.Revision <= q.To {
			h.Records = append(h.Records, r)
		}
	}
	return h
}

func (s *section) branchDump(q Query) Dump {
	p, err := tree.ParsePath(string(q.Path))
	if err != nil || !s.tree.Has(p) {
		return Dump{Revision: s.revision}
	}
	return Dump{Revision: s.revision, Found: true, Branches: s.tree.Branches(p)}
}

func (s *section) explain(q Query) Explanation {
	x := Explanation{Revision: s.revision}
	p, err := tree.ParsePath(string(q.Path))
	if err != nil || !s.tree.Has(p) {
		return x
	}
	x.Found = true
	for _, e := range s.tree.Explain(p) {
		x.Values = append(x.Values, EffectiveValue{Key: e.Setting.Name, Value: e.Value, From: e.From})
	}
	return x
}

func (s *section) diff(q Query) Diff {
	d := Diff{Revision: s.revision, From: q.From, To: q.To}
	if d.To == 0 || d.To > s.revision {
		d.To = s.revision
	}
	records, ok := s.history.after(q.From)
	d.Known = ok && q.From <= d.To
	if !d.Known {
		return d
	}
	for _, r := range records {
		if r.Revision <= d.To {
			d.Effects = append(d.Effects, r.Effects...)
		}
	}
	d.Effects = tree.Net(d.Effects)
	return d
}
