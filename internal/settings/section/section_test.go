package section

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"hornbeamwood/internal/settings/tomlfile"
	"hornbeamwood/internal/settings/tree"
)

// Two operators edit the same revision. If both edits were accepted, the second
// would overwrite a change that its operator has not seen. The second gets a
// conflict with the operator and the differences of the first.
func TestRaceUnderEqualNumbers(t *testing.T) {
	s := newSection(t)
	if o := apply(t, s, priorityEdit("a-1", "ana", 1, 5)); o.Kind != Accepted || o.Revision != 2 {
		t.Fatalf("first: %+v", o)
	}
	o := apply(t, s, priorityEdit("b-1", "ben", 1, 7))
	if o.Kind != Conflict || o.Winner == nil {
		t.Fatalf("second: %+v", o)
	}
	w := *o.Winner
	if w.Revision != 2 || w.Operator != "ana" || !slices.Equal(w.Summary, []string{"set / priority to 5"}) {
		t.Errorf("the conflict shows %+v", w)
	}
	if got := rootPriority(t, s); got != 5 {
		t.Errorf("priority is %d", got)
	}
}

// The answer to an accepted edit is lost and the operator resends the edit after
// edits of others. Applied a second time, it would undo them; answered with a
// conflict, the operator would consider it lost although it was accepted.
func TestResendAfterLostAnswer(t *testing.T) {
	s := newSection(t)
	first := priorityEdit("a-1", "ana", 1, 5)
	apply(t, s, first)
	for i := range uint64(50) {
		if o := apply(t, s, priorityEdit(fmt.Sprint("b-", i), "ben", 2+i, int64(10+i))); o.Kind != Accepted {
			t.Fatalf("edit %d: %+v", i, o)
		}
	}
	first.Intent = 99
	if o := apply(t, s, first); o.Kind != Accepted || o.Revision != 2 || !o.Repeated {
		t.Errorf("resend: %+v", o)
	}
	if got := rootPriority(t, s); got != 59 {
		t.Errorf("the resend changed priority to %d", got)
	}
}

// The answer to a rejected edit is lost. The resent edit gets the first outcome,
// even if it would now be refused for another reason.
func TestResendOfAnEditThatLost(t *testing.T) {
	s := newSection(t)
	bad := Edit{ID: "bad", Base: 1, Operator: "ana", Changes: []tree.Change{set("/", "priority", tree.IntValue(1000))}}
	if o := apply(t, s, bad); o.Kind != Refused || !strings.Contains(o.Reasons.Error(), "out of bounds") {
		t.Fatalf("invalid edit: %+v", o)
	}
	apply(t, s, priorityEdit("a-1", "ana", 1, 5))
	lost := priorityEdit("b-1", "ben", 1, 7)
	want := apply(t, s, lost)
	apply(t, s, priorityEdit("a-2", "ana", 2, 6))
	if o := apply(t, s, lost); o.Kind != Conflict || !o.Repeated || o.Winner.Operator != want.Winner.Operator || o.Revision != want.Revision {
		t.Errorf("conflict sent again: %+v", o)
	}
	if o := apply(t, s, bad); o.Kind != Refused || !o.Repeated {
		t.Errorf("refusal sent again: %+v", o)
	}
}

// A script uses one edit ID for two edits. Answered with the outcome of the
// first, the second would seem to be in force.
func TestEditIDWithOtherContent(t *testing.T) {
	s := newSection(t)
	apply(t, s, priorityEdit("a-1", "ana", 1, 5))
	for name, e := range map[string]Edit{
		"other value":    priorityEdit("a-1", "ana", 1, 6),
		"other operator": priorityEdit("a-1", "ben", 1, 5),
		"other base":     priorityEdit("a-1", "ana", 2, 5),
	} {
		if o := apply(t, s, e); o.Kind != Reused || o.Repeated {
			t.Errorf("%s: %+v", name, o)
		}
	}
	if got := query[History](t, s, Query{Kind: QueryHistory}).Revision; got != 2 {
		t.Errorf("revision is %d", got)
	}
}

// Guards against a refusal of the first edit when it is sent again after it gave the bootstrap key to an operator.
func TestFirstEditIsSentAgainByItsOperator(t *testing.T) {
	s := newSection(t)
	first, again := setupEdit(), setupEdit()
	apply(t, s, first)
	again.Operator = "ana"
	if o := apply(t, s, again); o.Kind != Accepted || !o.Repeated || o.Revision != 1 {
		t.Errorf("sent again: %+v", o)
	}
	again.Base = 1
	if o := apply(t, s, again); o.Kind != Reused {
		t.Errorf("another edit under its ID: %+v", o)
	}
}

// An entry with slightly older settings may still accept the key of an operator
// who was removed. The section must refuse the edits of that operator.
func TestOperatorsOfTheTreeOnly(t *testing.T) {
	s := newSection(t)
	for _, name := range []string{BootstrapOperator, "eve", "", "../models/m"} {
		if o := apply(t, s, priorityEdit("x"+name, name, 1, 5)); o.Kind != Refused {
			t.Errorf("operator %q: %+v", name, o)
		}
	}
	all := Edit{ID: "all", Base: 1, Operator: "ana", Changes: []tree.Change{
		{Action: tree.Remove, Path: "/operators/ana"},
		{Action: tree.Remove, Path: "/operators/ben"},
	}}
	if o := apply(t, s, all); o.Kind != Refused || !strings.Contains(o.Reasons.Error(), "last operator") {
		t.Errorf("removal of all operators: %+v", o)
	}
}

func TestMalformedCommands(t *testing.T) {
	s := newSection(t)
	for _, b := range [][]byte{nil, {0xff}, encode(t, 3), encode(t, Edit{Operator: "ana", Base: 1}), encode(t, Edit{ID: "a b", Operator: "ana", Base: 1}), encode(t, Edit{ID: "none", Operator: "ana", Base: 1}), encode(t, Edit{ID: "late", Operator: "ana", Base: 9})} {
		if r := s.Apply(now, b); !bytes.Contains(r, []byte("refused")) {
			t.Errorf("%x: %q", b, r)
		}
	}
	for _, b := range [][]byte{nil, {0xff}, encode(t, Query{Kind: "other"})} {
		if _, err := s.Query(b); err == nil {
			t.Errorf("query %x was answered", b)
		}
	}
}

// A control replica that was down for hundreds of edits is restored from a
// snapshot. It must then have the same tree and audit trail as the others, and
// answer a resent edit from before the snapshot with its first outcome.
func TestRestoreAfterHundredsOfChanges(t *testing.T) {
	s := newSection(t)
	for i := range uint64(400) {
		apply(t, s, priorityEdit(fmt.Sprint("e-", i), "ana", 1+i, int64(i%100)))
		apply(t, s, priorityEdit(fmt.Sprint("lost-", i), "ben", 1+i, 3))
	}
	before, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	apply(t, restored, setupEdit())
	apply(t, restored, priorityEdit("stale", "ana", 1, 44))
	if err := restored.Restore(before); err != nil {
		t.Fatal(err)
	}
	after, err := restored.Snapshot()
	if err != nil || !bytes.Equal(before, after) {
		t.Fatalf("snapshot of the restored section differs: %v", err)
	}
	for _, e := range []Edit{priorityEdit("e-3", "ana", 4, 3), priorityEdit("lost-3", "ben", 4, 3), priorityEdit("next", "ana", 401, 8)} {
		a, b := apply(t, s, e), apply(t, restored, e)
		if !bytes.Equal(encode(t, a), encode(t, b)) {
			t.Errorf("%s: %+v and %+v", e.ID, a, b)
		}
	}
	if err := restored.Restore([]byte{1}); err == nil {
		t.Error("a corrupt snapshot was accepted")
	}
	if got := rootPriority(t, restored); got != 8 {
		t.Errorf("a corrupt snapshot changed priority to %d", got)
	}
}

func TestHistoryRecords(t *testing.T) {
	s := newSection(t)
	apply(t, s, priorityEdit("a-1", "ana", 1, 5))
	apply(t, s, priorityEdit("b-1", "ben", 2, 7))
	h := query[History](t, s, Query{Kind: QueryHistory, Limit: 2})
	if len(h.Records) != 2 || h.Revision != 3 || h.Oldest != 1 {
		t.Fatalf("got %+v", h)
	}
	r := h.Records[0]
	if r.Operator != "ben" || r.Base != 2 || r.ID != "b-1" || r.At != now.UnixNano() || r.Effects[0].String() != "set / priority from 5 to 7" {
		t.Errorf("got %+v", r)
	}
	d := query[Diff](t, s, Query{Kind: QueryDiff, From: 1, To: 3})
	if !d.Known || len(d.Effects) != 1 || d.Effects[0].String() != "set / priority to 7" {
		t.Errorf("got %+v", d)
	}
	x := query[Explanation](t, s, Query{Kind: QueryExplain, Path: "/models/m"})
	if !x.Found || x.Revision != 3 || len(x.Values) != 3 {
		t.Errorf("got %+v", x)
	}
}

// The history is bounded. A resent edit that is no longer in it can't be
// distinguished from a new one, but must not be applied a second time.
func TestBoundedHistoryNeverRepeatsAnEdit(t *testing.T) {
	s := newSection(t)
	first := priorityEdit("a-1", "ana", 1, 5)
	apply(t, s, first)
	for i := range uint64(maxRecords) {
		apply(t, s, priorityEdit(fmt.Sprint("b-", i), "ben", 2+i, int64(i%90)))
	}
	o := apply(t, s, first)
	if o.Kind != Conflict || o.Winner.Revision != 2 || o.Winner.Operator != "" {
		t.Errorf("resend beyond the history: %+v", o)
	}
	h := query[History](t, s, Query{Kind: QueryHistory})
	if h.Oldest != 3 {
		t.Errorf("oldest revision kept is %d", h.Oldest)
	}
	if c := query[Changes](t, s, Query{Kind: QueryChanges, Known: 1}); len(c.Whole) == 0 || len(c.Changes) != 0 {
		t.Errorf("changes beyond the history: %d whole, %d changes", len(c.Whole), len(c.Changes))
	}
}

// An edit makes hundreds of branches invalid. Its outcome is kept for resent edits
// and is part of every snapshot, so it lists only the first problems.
func TestReasonsAreBounded(t *testing.T) {
	s := newSection(t)
	e := Edit{ID: "many", Base: 1, Operator: "ana"}
	for i := range 300 {
		e.Changes = append(e.Changes, tree.Change{Action: tree.Create, Path: tree.ModelPath(fmt.Sprint("m", i))})
	}
	o := apply(t, s, e)
	if o.Kind != Refused || len(o.Reasons) != tomlfile.MaxShown+1 || o.Reasons[tomlfile.MaxShown].Message != "and 268 more" {
		t.Errorf("%s, %d reasons", o.Kind, len(o.Reasons))
	}
}
