package renewal

import (
	"context"
	"errors"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/follower"
	"hornbeamwood/internal/settings/lease"
	"hornbeamwood/internal/settings/section"
	"hornbeamwood/internal/settings/tree"
)

// fakeLog is a control log of one replica that takes its time and can be cut off.
type fakeLog struct {
	section section.Section
	cut     bool
	delay   func()
	renewed chan lease.Renewal
}

func (l *fakeLog) Renew(_ context.Context, r lease.Renewal, known uint64) (section.Changes, error) {
	if l.delay != nil {
		l.delay()
	}
	if l.cut {
		return section.Changes{}, errors.New("no answer")
	}
	if l.renewed != nil {
		l.renewed <- r
	}
	return l.section.Changes(known), nil
}

// bench is an entry with a clock that the test moves.
type bench struct {
	log    *fakeLog
	now    time.Time
	keeper lease.Keeper
	copy   follower.Follower
	*renewer
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{log: &fakeLog{section: section.New()}, now: time.Unix(1_800_000_000, 0), keeper: lease.NewKeeper(), copy: follower.New()}
	b.edit(t, "setup", section.BootstrapOperator, 0,
		tree.Change{Action: tree.Create, Path: "/operators/ana"},
		tree.Change{Action: tree.Set, Path: "/operators/ana", Key: "key-digests", Value: tree.DigestsValue(digest.Of("ana"))})
	b.renewer = newRenewer(Config{
		Log:      b.log,
		Follower: b.copy,
		Keeper:   b.keeper,
		Holder:   lease.Holder{Name: "entry-1", Incarnation: 1},
		Now:      func() time.Time { return b.now },
	})
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

func (b *bench) serves() bool {
	return b.keeper.Check(b.now, b.copy.View().Rules.Fleet.ServeWithoutQuorum) == nil
}

// An entry starts with settings of its own making: none. Before it has applied
// the newest revision and had that confirmed, a caller would be refused as
// unknown, or worse, served under nothing.
func TestServesOnlyAfterTheNewestRevisionIsConfirmed(t *testing.T) {
	b := newBench(t)
	b.round(t.Context())
	if b.serves() || b.copy.View().Revision() != 1 {
		t.Fatalf("revision %d, serves %v", b.copy.View().Revision(), b.serves())
	}
	b.round(t.Context())
	if !b.serves() {
		t.Error("the confirmed revision gives no lease")
	}
}

// The control log can't be reached for a while. The entry goes on for its
// lease, stops, and comes back by itself with the edits that it missed.
func TestCutOffAndBack(t *testing.T) {
	b := newBench(t)
	b.round(t.Context())
	b.round(t.Context())
	b.log.cut = true
	b.edit(t, "missed", "ana", 1, tree.Change{Action: tree.Set, Path: "/", Key: "priority", Value: tree.IntValue(7)})
	b.now = b.now.Add(3 * time.Second)
	if b.round(t.Context()); !b.serves() {
		t.Error("stopped before the lease ran out")
	}
	b.now = b.now.Add(time.Second)
	if b.round(t.Context()); b.serves() {
		t.Error("serves without a lease")
	}
	b.log.cut = false
	if b.round(t.Context()); b.serves() {
		t.Error("serves under a revision that was not confirmed after the cut")
	}
	if b.round(t.Context()); !b.serves() || b.copy.View().Revision() != 2 {
		t.Errorf("revision %d, serves %v", b.copy.View().Revision(), b.serves())
	}
}

// An answer takes long. What it proves was true when the entry asked; counted
// from its arrival the lease would outlast what the leader counts.
func TestLeaseCountsFromBeforeTheRequest(t *testing.T) {
	b := newBench(t)
	b.round(t.Context())
	b.log.delay = func() { b.now = b.now.Add(3 * time.Second) }
	b.round(t.Context())
	if !b.serves() {
		t.Error("no lease")
	}
	b.now = b.now.Add(time.Second)
	if b.serves() {
		t.Error("the lease was counted from the answer")
	}
}

func TestReleaseGivesTheLeaseBack(t *testing.T) {
	b := newBench(t)
	b.log.renewed = make(chan lease.Renewal, 100)
	r := New(b.Config)
	for got := range b.log.renewed {
		if got.Applied == 1 {
			break
		}
	}
	if err := r.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	close(b.log.renewed)
	var last lease.Renewal
	for got := range b.log.renewed {
		last = got
	}
	if !last.Released || last.Holder.Name != "entry-1" {
		t.Errorf("got %+v", last)
	}
}
