package settings

import (
	"context"
	"errors"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/follower"
	"hornbeamwood/internal/settings/lease"
	"hornbeamwood/internal/settings/section"
	"hornbeamwood/internal/settings/tree"
)

// fakeLog is a control log of one replica that takes its time and can be cut off.
type fakeLog struct {
	section section.Section
	machine state.Machine
	cut     bool
	delay   func()
	// takes is how long an answer is on its way.
	takes   time.Duration
	reports []protocol.Report
}

func (l *fakeLog) ReadAll(ctx context.Context, r *protocol.Report, queries ...state.Query) (protocol.Answers, error) {
	if l.delay != nil {
		l.delay()
	}
	if d, ok := ctx.Deadline(); l.takes > 0 && ok && time.Until(d) < l.takes {
		return protocol.Answers{}, context.DeadlineExceeded
	}
	if l.cut {
		return protocol.Answers{}, errors.New("no answer")
	}
	l.reports = append(l.reports, *r)
	var a protocol.Answers
	for _, q := range queries {
		b, err := l.machine.Query(q)
		if err != nil {
			return a, err
		}
		a.Bodies = append(a.Bodies, b)
	}
	return a, nil
}

func (l *fakeLog) InForce(context.Context, uint64) (lease.Force, error) {
	return lease.Force{Waiting: []string{"entry-2"}}, nil
}

// bench is an entry with a clock that the test moves; it renews when the test says so.
type bench struct {
	log *fakeLog
	now time.Time
	*keeper
}

func newBench(t *testing.T) *bench {
	t.Helper()
	s := section.New()
	m, err := state.New(s)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{log: &fakeLog{section: s, machine: m}, now: time.Unix(1_800_000_000, 0)}
	b.edit(t, "setup", section.BootstrapOperator, 0,
		tree.Change{Action: tree.Create, Path: "/operators/ana"},
		tree.Change{Action: tree.Set, Path: "/operators/ana", Key: "key-digests", Value: tree.DigestsValue(digest.Of("ana"))})
	b.keeper = &keeper{
		Config: Config{
			Log:      b.log,
			Holder:   lease.Holder{Name: "entry-1", Incarnation: 1},
			Follower: follower.New(),
			Now:      func() time.Time { return b.now },
		},
		lease:  lease.NewKeeper(),
		cancel: func() {},
	}
	return b
}

func (b *bench) edit(t *testing.T, id, operator string, base uint64, changes ...tree.Change) {
	t.Helper()
	body, err := codec.Marshal(section.Edit{ID: id, Operator: operator, Base: base, Changes: changes})
	if err != nil {
		t.Fatal(err)
	}
	o, err := codec.Unmarshal[section.Outcome](b.log.section.Apply(b.now, body))
	if err != nil || o.Kind != section.Accepted {
		t.Fatalf("%+v, %v", o, err)
	}
}

// An entry starts with settings of its own making: none. Before it has applied
// the newest revision and had that confirmed, it must not serve under them.
func TestServesOnlyAfterTheNewestRevisionIsConfirmed(t *testing.T) {
	b := newBench(t)
	if !b.renew(t.Context()) || b.Check() == nil || b.View().Revision() != 1 {
		t.Fatalf("revision %d, %v", b.View().Revision(), b.Check())
	}
	if b.renew(t.Context()) || b.Check() != nil {
		t.Errorf("the confirmed revision gives no lease: %v", b.Check())
	}
}

// The control log can't be reached for a while. The entry goes on for its
// lease, stops, and comes back by itself with the edits that it missed.
func TestCutOffAndBack(t *testing.T) {
	b := newBench(t)
	b.renew(t.Context())
	b.renew(t.Context())
	b.log.cut = true
	b.edit(t, "missed", "ana", 1, tree.Change{Action: tree.Set, Path: "/", Key: "priority", Value: tree.IntValue(7)})
	b.now = b.now.Add(3 * time.Second)
	if b.renew(t.Context()); b.Check() != nil {
		t.Errorf("stopped before the lease ran out: %v", b.Check())
	}
	b.now = b.now.Add(time.Second)
	b.renew(t.Context())
	if v, ok := verdict.As(b.Check()); !ok || v.Verdict != verdict.NotRun || v.RetryAfter == 0 {
		t.Errorf("without a lease: %v", b.Check())
	}
	b.log.cut = false
	if b.renew(t.Context()); b.Check() == nil {
		t.Error("serves under a revision that was not confirmed after the cut")
	}
	if b.renew(t.Context()); b.Check() != nil || b.View().Revision() != 2 {
		t.Errorf("revision %d, %v", b.View().Revision(), b.Check())
	}
}

// An entry starts, and the whole tree is on its way for longer than the time between
// two reports. Given up each time it never comes, and the entry serves nobody. An
// entry that has a lease must not spend it on one answer.
func TestEntryWithoutALeaseAwaitsTheWholeTree(t *testing.T) {
	b := newBench(t)
	b.log.takes = 3 * firstLease / 2
	if !b.renew(t.Context()) || b.View().Revision() != 1 {
		t.Fatalf("revision %d", b.View().Revision())
	}
	b.renew(t.Context())
	if b.Check() != nil {
		t.Fatalf("no lease: %v", b.Check())
	}
	reports := len(b.log.reports)
	if b.renew(t.Context()); len(b.log.reports) != reports {
		t.Error("an entry with a lease waits for one answer for longer than between two reports")
	}
}

// An answer takes long. What it proves was true when the entry asked; counted
// from its arrival the lease would outlast what the leader counts.
func TestLeaseCountsFromBeforeTheRequest(t *testing.T) {
	b := newBench(t)
	b.renew(t.Context())
	b.log.delay = func() { b.now = b.now.Add(3 * time.Second) }
	b.renew(t.Context())
	if b.Check() != nil {
		t.Errorf("no lease: %v", b.Check())
	}
	b.now = b.now.Add(time.Second)
	if b.Check() == nil {
		t.Error("the lease was counted from the answer")
	}
}

// An operator makes the lease longer. The leader counts what the entry tells
// it; told the older length, it would declare an edit in force too early.
func TestReportsTheLeaseThatItCounts(t *testing.T) {
	b := newBench(t)
	b.renew(t.Context())
	b.edit(t, "longer", "ana", 1, tree.Change{Action: tree.Set, Path: "/fleet", Key: "settings-lease", Value: tree.DurationValue(10 * time.Second)})
	b.renew(t.Context())
	b.renew(t.Context())
	last := b.log.reports[len(b.log.reports)-1]
	if last.Lease != 10*time.Second || last.Applied != 2 {
		t.Errorf("reported %+v", last)
	}
	b.now = b.now.Add(9 * time.Second)
	if b.Check() != nil {
		t.Errorf("the longer lease is not used: %v", b.Check())
	}
}

func TestReleaseGivesTheLeaseBack(t *testing.T) {
	b := newBench(t)
	if err := b.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n := len(b.log.reports); n == 0 || !b.log.reports[n-1].Released {
		t.Errorf("reported %+v", b.log.reports)
	}
}

func TestWaitTellsForWhom(t *testing.T) {
	b := newBench(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := b.Wait(ctx, 1); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}
