package lease

import (
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time {
	return start.Add(d)
}

const second = time.Second

// A silent network partition cuts an entry off, while its callers still reach
// it. It must stop taking new work a lease after its last proof, counted from
// before it asked, say that nothing ran and when to ask again, and come back
// by itself.
func TestKeeperStopsAndComesBack(t *testing.T) {
	k := NewKeeper()
	if k.Check(at(0), false) == nil || k.Check(at(0), true) == nil {
		t.Fatal("an entry that has proved nothing takes new work")
	}
	proof := Proof{SentAt: at(0), Applied: 3, Confirmed: 3, Lease: 4 * second}
	if !k.Confirm(proof) {
		t.Fatal("the proof was not taken")
	}
	if err := k.Check(at(3*second), false); err != nil {
		t.Errorf("within the lease: %v", err)
	}
	err := k.Check(at(4*second), false)
	if v, ok := verdict.As(err); !ok || v.Verdict != verdict.NotRun || v.Status != 503 || v.RetryAfter == 0 {
		t.Errorf("after the lease: %v", err)
	}
	proof.SentAt = at(9 * second)
	if !k.Confirm(proof) || k.Check(at(10*second), false) != nil {
		t.Error("the entry did not come back")
	}
}

// Answers cross on the way. One that was asked for earlier must not shorten
// the lease; one for an older revision must not stand for newer settings; and
// a report that the leader answered with a newer revision proves nothing.
func TestKeeperPassesOverCrossedAnswers(t *testing.T) {
	k := NewKeeper()
	k.Confirm(Proof{SentAt: at(5 * second), Applied: 7, Confirmed: 7, Lease: 4 * second})
	for name, p := range map[string]Proof{
		"asked for earlier": {SentAt: at(2 * second), Applied: 7, Confirmed: 7, Lease: 4 * second},
		"older revision":    {SentAt: at(6 * second), Applied: 6, Confirmed: 6, Lease: 15 * second},
		"newer elsewhere":   {SentAt: at(6 * second), Applied: 7, Confirmed: 8, Lease: 15 * second},
	} {
		if k.Confirm(p) {
			t.Errorf("%s: taken", name)
		}
	}
	if k.Check(at(8*second), false) != nil || k.Check(at(9*second), false) == nil {
		t.Error("the lease is not that of the newest proof")
	}
}

// A VM is paused as a whole and its monotonic clock stands still meanwhile.
// Its wall clock is set right when it goes on; callers that reach it then must
// not be served under settings from before the pause.
func TestKeeperAfterAPauseOfTheVM(t *testing.T) {
	sent := time.Now()
	k := NewKeeper()
	k.Confirm(Proof{SentAt: sent, Applied: 1, Confirmed: 1, Lease: 4 * second})
	// Round(0) takes the monotonic reading off, so that only the wall clock shows the pause.
	if k.Check(sent.Round(0).Add(time.Minute), false) == nil {
		t.Error("a paused VM goes on under its old lease")
	}
	if k.Check(sent.Add(second), false) != nil {
		t.Error("the lease is lost without a pause")
	}
}

func terms(revision uint64) Terms {
	return Terms{Revision: revision, Lease: 4 * second, Longest: 4 * second}
}

func renewal(name string, applied uint64) Renewal {
	return Renewal{Holder: Holder{name, 1}, Applied: applied, Lease: leaseLength}
}

// An operator waits until an edit is in force. Told so while one entry still
// serves under the older settings, the operator would act on what is not yet
// true.
func TestInForceWaitsForHoldersOrTheirLeases(t *testing.T) {
	h := NewHolders([]string{"a", "b"})
	if f := h.InForce(at(second), 1, 1, terms(1)); f.InForce || f.After == 0 {
		t.Errorf("a new leader answered before the leases of earlier leaders ran out: %+v", f)
	}
	h.Renew(at(10*second), 1, renewal("a", 1), terms(1))
	h.Renew(at(10*second), 1, renewal("b", 1), terms(1))
	if f := h.InForce(at(11*second), 1, 2, terms(2)); f.InForce || len(f.Waiting) != 2 {
		t.Errorf("nobody applied revision 2: %+v", f)
	}
	h.Renew(at(11*second), 1, renewal("a", 2), terms(2))
	if f := h.InForce(at(12*second), 1, 2, terms(2)); f.InForce || len(f.Waiting) != 1 || f.Waiting[0] != "b" {
		t.Errorf("b has not applied revision 2: %+v", f)
	}
	if f := h.InForce(at(10*second+lengthened(leaseLength)), 1, 2, terms(2)); !f.InForce {
		t.Errorf("the lease of b has run out: %+v", f)
	}
	if f := h.InForce(at(20*second), 1, 3, terms(2)); f.InForce {
		t.Error("a revision that does not exist is in force")
	}
	if f := h.InForce(at(21*second), 2, 2, terms(2)); f.InForce {
		t.Error("the leader of a new term answered at once")
	}
	if f := h.InForce(at(99*second), 1, 2, terms(2)); f.InForce {
		t.Error("the leader of an older term answered")
	}
}

// A report that was delayed on its way arrives after a newer one. It must
// neither bring the entry's revision back nor shorten its lease.
func TestRenewalsThatCross(t *testing.T) {
	h := NewHolders(nil)
	h.Renew(at(0), 1, renewal("a", 2), terms(2))
	late := renewal("a", 1)
	late.Lease = second
	h.Renew(at(second), 1, late, terms(2))
	if got := h.Applied(at(3 * second))[Holder{"a", 1}]; got != 2 {
		t.Errorf("a has applied %d", got)
	}
}

func TestReleasedHolderIsNotWaitedFor(t *testing.T) {
	h := NewHolders(nil)
	h.InForce(at(0), 1, 1, terms(1))
	r := renewal("a", 1)
	h.Renew(at(10*second), 1, r, terms(1))
	r.Released = true
	h.Renew(at(11*second), 1, r, terms(1))
	if f := h.InForce(at(11*second), 1, 2, terms(2)); !f.InForce {
		t.Errorf("got %+v", f)
	}
}

// Settings let entries serve on when no quorum answers, and one is cut off.
// Its lease runs out, yet it serves on under the older settings: the edit, and
// also the one that forbids it again, must not be called in force until that
// entry has reported.
func TestInForceWhereEntriesServeWithoutQuorum(t *testing.T) {
	h := NewHolders([]string{"a", "b"})
	free := terms(2)
	free.FreeBefore = 3
	h.InForce(at(0), 1, 2, free)
	h.Renew(at(10*second), 1, renewal("a", 2), free)
	if f := h.InForce(at(99*second), 1, 2, free); f.InForce || len(f.Waiting) != 1 || f.Waiting[0] != "b" {
		t.Errorf("b was never heard: %+v", f)
	}
	bound := terms(3)
	bound.FreeBefore = 3
	h.Renew(at(100*second), 1, renewal("b", 3), bound)
	if f := h.InForce(at(199*second), 1, 3, bound); f.InForce || len(f.Waiting) != 1 || f.Waiting[0] != "a" {
		t.Errorf("a still serves under revision 2: %+v", f)
	}
	h.Renew(at(200*second), 1, renewal("a", 3), bound)
	if f := h.InForce(at(201*second), 1, 3, bound); !f.InForce {
		t.Errorf("all have applied revision 3: %+v", f)
	}
	bound.Revision = 4
	if f := h.InForce(at(299*second), 1, 4, bound); !f.InForce {
		t.Errorf("all leases have run out: %+v", f)
	}
}

// A replica becomes the leader before it has applied an edit that made the
// lease longer. Entries that hold the longer lease have not reported to it; it
// must wait that lease out and not the one that it knew when it was elected.
func TestNewLeaderThatIsBehindWaitsTheLongerLease(t *testing.T) {
	h := NewHolders(nil)
	h.Renew(at(0), 2, renewal("a", 1), terms(1))
	longer := Terms{Revision: 2, Lease: 15 * second, Longest: 15 * second}
	h.Renew(at(3*second), 2, renewal("a", 2), longer)
	if f := h.InForce(at(6*second), 2, 2, longer); f.InForce || f.After == 0 {
		t.Errorf("an entry may hold a lease of 15 s from before: %+v", f)
	}
	if f := h.InForce(at(16*second), 2, 2, longer); !f.InForce {
		t.Errorf("all leases have run out: %+v", f)
	}
}

// Where entries may serve without a quorum, one is stopped for good. It took
// no new work from then on, so nobody need wait for it; started again, it has
// to report again.
func TestStoppedEntryThatMayServeWithoutQuorum(t *testing.T) {
	h := NewHolders([]string{"a"})
	free := terms(2)
	free.FreeBefore = 3
	r := renewal("a", 1)
	h.Renew(at(0), 1, r, free)
	r.Released = true
	h.Renew(at(second), 1, r, free)
	if f := h.InForce(at(9*second), 1, 2, free); !f.InForce {
		t.Errorf("a has stopped: %+v", f)
	}
	r = renewal("a", 1)
	r.Holder.Incarnation = 2
	h.Renew(at(10*second), 1, r, free)
	if f := h.InForce(at(99*second), 1, 2, free); f.InForce {
		t.Error("a has started again and not applied revision 2")
	}
}

// The clock of an entry runs slow and that of the leader fast. Counted without
// a margin, the leader would declare the edit in force while the entry still
// took its own clock's word that the lease goes on.
func TestClockRatesWithinTheMargin(t *testing.T) {
	const delay = 20 * time.Millisecond
	limit := 1.0 / MarginShare
	for _, entry := range []float64{1 - limit, 1, 1 + limit} {
		for _, leader := range []float64{1 - limit, 1, 1 + limit} {
			slow, fast := clock{rate: entry}, clock{rate: leader}
			k, h := NewKeeper(), NewHolders(nil)
			h.InForce(fast.at(-time.Minute), 1, 1, terms(1))
			h.Renew(fast.at(delay/2), 1, renewal("a", 1), terms(1))
			k.Confirm(Proof{SentAt: slow.at(0), Applied: 1, Confirmed: 1, Lease: leaseLength})
			for now := delay; now < 2*leaseLength; now += time.Millisecond {
				serves := k.Check(slow.at(now), false) == nil
				if serves && h.InForce(fast.at(now), 1, 2, terms(2)).InForce {
					t.Fatalf("rates %v and %v: revision 2 is in force at %v and the entry serves under revision 1", entry, leader, now)
				}
			}
		}
	}
}
