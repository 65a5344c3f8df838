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

// fakeLog is a control log with a single replica that can be slow or unreachable.
type fakeLog struct {
	section      section.Section
	machine      state.Machine
	unreachable  bool
	beforeAnswer func()
	// latency is how long an answer takes to arrive.
	latency time.Duration
	reports []protocol.Report
}

func (l *fakeLog) ReadAll(ctx context.Context, r *protocol.Report, queries ...state.Query) (protocol.ReadResponse, error) {
	if l.beforeAnswer != nil {
		l.beforeAnswer()
	}
	if d, ok := ctx.Deadline(); l.latency > 0 && ok && time.Until(d) < l.latency {
		return protocol.ReadResponse{}, context.DeadlineExceeded
	}
	if l.unreachable {
		return protocol.ReadResponse{}, errors.New("no answer")
	}
	l.reports = append(l.reports, *r)
	var a protocol.ReadResponse
	for _, q := range queries {
		b, err := l.machine.Query(q)
		if err != nil {
			return a, err
		}
		a.Bodies = append(a.Bodies, b)
	}
	return a, nil
}

func (l *fakeLog) InForce(context.Context, uint64) (lease.InForceStatus, error) {
	return lease.InForceStatus{Waiting: []string{"entry-2"}}, nil
}

// fixture is an entry with a clock that the test advances; it renews its lease only when the test calls renew.
type fixture struct {
	log *fakeLog
	now time.Time
	*leasedSettings
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := section.New()
	m, err := state.New(s)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{log: &fakeLog{section: s, machine: m}, now: time.Unix(1_800_000_000, 0)}
	f.edit(t, "setup", section.BootstrapOperator, 0,
		tree.Change{Action: tree.Create, Path: "/operators/ana"},
		tree.Change{Action: tree.Set, Path: "/operators/ana", Key: "key-digests", Value: tree.DigestsValue(digest.Of("ana"))})
	f.leasedSettings = &leasedSettings{
		Config: Config{
			Log:      f.log,
			Holder:   lease.Holder{Name: "entry-1", Incarnation: 1},
			Follower: follower.New(),
			Now:      func() time.Time { return f.now },
		},
		lease:  lease.NewEntryLease(),
		cancel: func() {},
	}
	return f
}

func (f *fixture) edit(t *testing.T, id, operator string, base uint64, changes ...tree.Change) {
	t.Helper()
	body, err := codec.Marshal(section.Edit{ID: id, Operator: operator, Base: base, Changes: changes})
	if err != nil {
		t.Fatal(err)
	}
	o, err := codec.Unmarshal[section.Outcome](f.log.section.Apply(f.now, body))
	if err != nil || o.Kind != section.Accepted {
		t.Fatalf("%+v, %v", o, err)
	}
}

// An entry starts with empty settings. It must not serve until it has applied the
// newest revision and that revision has been confirmed.
func TestServesOnlyAfterTheNewestRevisionIsConfirmed(t *testing.T) {
	f := newFixture(t)
	if !f.renew(t.Context()) || f.Check() == nil || f.View().Revision() != 1 {
		t.Fatalf("revision %d, %v", f.View().Revision(), f.Check())
	}
	if f.renew(t.Context()) || f.Check() != nil {
		t.Errorf("the confirmed revision gives no lease: %v", f.Check())
	}
}

// The control log is unreachable for a while. The entry serves until its lease
// expires, stops, and recovers by itself with the edits that it missed.
func TestControlLogOutage(t *testing.T) {
	f := newFixture(t)
	f.renew(t.Context())
	f.renew(t.Context())
	f.log.unreachable = true
	f.edit(t, "missed", "ana", 1, tree.Change{Action: tree.Set, Path: "/", Key: "priority", Value: tree.IntValue(7)})
	f.now = f.now.Add(3 * time.Second)
	if f.renew(t.Context()); f.Check() != nil {
		t.Errorf("stopped before the lease expired: %v", f.Check())
	}
	f.now = f.now.Add(time.Second)
	f.renew(t.Context())
	if v, ok := verdict.As(f.Check()); !ok || v.Verdict != verdict.NotRun || v.RetryAfter == 0 {
		t.Errorf("without a lease: %v", f.Check())
	}
	f.log.unreachable = false
	if f.renew(t.Context()); f.Check() == nil {
		t.Error("serves under a revision that was not confirmed after the outage")
	}
	if f.renew(t.Context()); f.Check() != nil || f.View().Revision() != 2 {
		t.Errorf("revision %d, %v", f.View().Revision(), f.Check())
	}
}

// An entry starts, and the transfer of the whole tree takes longer than the interval
// between reports. If each report timed out after that interval, the tree would never
// arrive and the entry would serve no requests. An entry that has a lease must not
// wait for one answer until the lease expires.
func TestEntryWithoutALeaseAwaitsTheWholeTree(t *testing.T) {
	f := newFixture(t)
	f.log.latency = 3 * initialLease / 2
	if !f.renew(t.Context()) || f.View().Revision() != 1 {
		t.Fatalf("revision %d", f.View().Revision())
	}
	f.renew(t.Context())
	if f.Check() != nil {
		t.Fatalf("no lease: %v", f.Check())
	}
	reports := len(f.log.reports)
	if f.renew(t.Context()); len(f.log.reports) != reports {
		t.Error("an entry with a lease waits for one answer longer than the report interval")
	}
}

// An answer arrives late. It proves what was true when the entry sent its report.
// Counted from the arrival of the answer, the lease would outlast the leader's record of it.
func TestLeaseCountsFromBeforeTheRequest(t *testing.T) {
	f := newFixture(t)
	f.renew(t.Context())
	f.log.beforeAnswer = func() { f.now = f.now.Add(3 * time.Second) }
	f.renew(t.Context())
	if f.Check() != nil {
		t.Errorf("no lease: %v", f.Check())
	}
	f.now = f.now.Add(time.Second)
	if f.Check() == nil {
		t.Error("the lease was counted from the answer")
	}
}

// An operator extends the lease duration. The leader uses the duration that the entry
// reports. With the previous duration it would declare an edit in force too early.
func TestReportsTheLeaseDurationInUse(t *testing.T) {
	f := newFixture(t)
	f.renew(t.Context())
	f.edit(t, "longer", "ana", 1, tree.Change{Action: tree.Set, Path: "/fleet", Key: "settings-lease", Value: tree.DurationValue(10 * time.Second)})
	f.renew(t.Context())
	f.renew(t.Context())
	last := f.log.reports[len(f.log.reports)-1]
	if last.Lease != 10*time.Second || last.Applied != 2 {
		t.Errorf("reported %+v", last)
	}
	f.now = f.now.Add(9 * time.Second)
	if f.Check() != nil {
		t.Errorf("the longer lease is not used: %v", f.Check())
	}
}

func TestReleaseReportsTheLeaseReleased(t *testing.T) {
	f := newFixture(t)
	if err := f.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n := len(f.log.reports); n == 0 || !f.log.reports[n-1].Released {
		t.Errorf("reported %+v", f.log.reports)
	}
}

func TestWaitReturnsTheContextError(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := f.Wait(ctx, 1); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}
