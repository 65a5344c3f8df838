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

// A silent network partition isolates an entry that its callers still reach. The
// entry must stop accepting new work when the lease has expired, measured from
// before it sent the report of its last proof. Refusals must have the verdict
// NotRun and a retry time, and the entry must recover with the next proof.
func TestLeaseExpiresAndRecovers(t *testing.T) {
	l := NewEntryLease()
	if l.Check(at(0), false) == nil || l.Check(at(0), true) == nil {
		t.Fatal("an entry without any proof accepts new work")
	}
	proof := Proof{SentAt: at(0), Applied: 3, Confirmed: 3, Lease: 4 * second}
	if !l.Confirm(proof) {
		t.Fatal("the proof was not accepted")
	}
	if err := l.Check(at(3*second), false); err != nil {
		t.Errorf("within the lease: %v", err)
	}
	err := l.Check(at(4*second), false)
	if v, ok := verdict.As(err); !ok || v.Verdict != verdict.NotRun || v.Status != 503 || v.RetryAfter == 0 {
		t.Errorf("after the lease: %v", err)
	}
	proof.SentAt = at(9 * second)
	if !l.Confirm(proof) || l.Check(at(10*second), false) != nil {
		t.Error("the entry did not recover")
	}
}

// Answers arrive out of order. The answer to an earlier report must not shorten
// the lease, and one for an older revision must not apply to newer settings. A
// report that the leader answered with a newer revision proves nothing.
func TestAnswersOutOfOrderAreIgnored(t *testing.T) {
	l := NewEntryLease()
	l.Confirm(Proof{SentAt: at(5 * second), Applied: 7, Confirmed: 7, Lease: 4 * second})
	for name, p := range map[string]Proof{
		"earlier report":  {SentAt: at(2 * second), Applied: 7, Confirmed: 7, Lease: 4 * second},
		"older revision":  {SentAt: at(6 * second), Applied: 6, Confirmed: 6, Lease: 15 * second},
		"newer elsewhere": {SentAt: at(6 * second), Applied: 7, Confirmed: 8, Lease: 15 * second},
	} {
		if l.Confirm(p) {
			t.Errorf("%s: accepted", name)
		}
	}
	if l.Check(at(8*second), false) != nil || l.Check(at(9*second), false) == nil {
		t.Error("the lease is not that of the newest proof")
	}
}

// A VM is suspended, and its monotonic clock stops meanwhile. Its wall clock is
// corrected on resume. Callers must then not be served under settings from before
// the suspension.
func TestLeaseAfterSuspensionOfTheVM(t *testing.T) {
	sent := time.Now()
	l := NewEntryLease()
	l.Confirm(Proof{SentAt: sent, Applied: 1, Confirmed: 1, Lease: 4 * second})
	// Round(0) removes the monotonic reading, so that only the wall clock shows the suspension.
	if l.Check(sent.Round(0).Add(time.Minute), false) == nil {
		t.Error("a resumed VM continues under its old lease")
	}
	if l.Check(sent.Add(second), false) != nil {
		t.Error("the lease is lost without a suspension")
	}
}

func terms(revision uint64) Terms {
	return Terms{Revision: revision, Lease: 4 * second, Longest: 4 * second}
}

func renewal(name string, applied uint64) Renewal {
	return Renewal{Holder: Holder{name, 1}, Applied: applied, Lease: leaseLength}
}

// An operator waits until an edit is in force. It must not be reported in force
// while any entry still serves under the older settings.
func TestInForceWaitsForHoldersOrTheirLeases(t *testing.T) {
	h := NewHolders([]string{"a", "b"})
	if s := h.InForce(at(second), 1, 1, terms(1)); s.InForce || s.MaxWait == 0 {
		t.Errorf("a new leader answered before the leases of earlier leaders expired: %+v", s)
	}
	h.Renew(at(10*second), 1, renewal("a", 1), terms(1))
	h.Renew(at(10*second), 1, renewal("b", 1), terms(1))
	if s := h.InForce(at(11*second), 1, 2, terms(2)); s.InForce || len(s.Waiting) != 2 {
		t.Errorf("no entry has applied revision 2: %+v", s)
	}
	h.Renew(at(11*second), 1, renewal("a", 2), terms(2))
	if s := h.InForce(at(12*second), 1, 2, terms(2)); s.InForce || len(s.Waiting) != 1 || s.Waiting[0] != "b" {
		t.Errorf("b has not applied revision 2: %+v", s)
	}
	if s := h.InForce(at(10*second+lengthened(leaseLength)), 1, 2, terms(2)); !s.InForce {
		t.Errorf("the lease of b has expired: %+v", s)
	}
	if s := h.InForce(at(20*second), 1, 3, terms(2)); s.InForce {
		t.Error("a revision that does not exist is in force")
	}
	if s := h.InForce(at(21*second), 2, 2, terms(2)); s.InForce {
		t.Error("the leader of a new term answered at once")
	}
	if s := h.InForce(at(99*second), 1, 2, terms(2)); s.InForce {
		t.Error("the leader of an older term answered")
	}
}

// A delayed report arrives after a newer one. It must neither lower the entry's
// revision nor shorten its lease.
func TestRenewalsOutOfOrder(t *testing.T) {
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
	if s := h.InForce(at(11*second), 1, 2, terms(2)); !s.InForce {
		t.Errorf("got %+v", s)
	}
}

// The settings let entries serve when no quorum answers, and one entry is
// partitioned. It continues under the older settings after its lease has expired.
// An edit, even the one that requires a lease again, must not be reported in
// force until that entry has reported that it has applied it.
func TestInForceWhereEntriesServeWithoutQuorum(t *testing.T) {
	h := NewHolders([]string{"a", "b"})
	leaseless := terms(2)
	leaseless.LeaseRequiredFrom = 3
	h.InForce(at(0), 1, 2, leaseless)
	h.Renew(at(10*second), 1, renewal("a", 2), leaseless)
	if s := h.InForce(at(99*second), 1, 2, leaseless); s.InForce || len(s.Waiting) != 1 || s.Waiting[0] != "b" {
		t.Errorf("b has never reported: %+v", s)
	}
	leaseRequired := terms(3)
	leaseRequired.LeaseRequiredFrom = 3
	h.Renew(at(100*second), 1, renewal("b", 3), leaseRequired)
	if s := h.InForce(at(199*second), 1, 3, leaseRequired); s.InForce || len(s.Waiting) != 1 || s.Waiting[0] != "a" {
		t.Errorf("a still serves under revision 2: %+v", s)
	}
	h.Renew(at(200*second), 1, renewal("a", 3), leaseRequired)
	if s := h.InForce(at(201*second), 1, 3, leaseRequired); !s.InForce {
		t.Errorf("all have applied revision 3: %+v", s)
	}
	leaseRequired.Revision = 4
	if s := h.InForce(at(299*second), 1, 4, leaseRequired); !s.InForce {
		t.Errorf("all leases have expired: %+v", s)
	}
}

// A replica becomes the leader before it has applied an edit that made the lease
// longer. Entries may hold the longer lease without having reported to it. It
// must wait for the longer lease, not for the one it knew when it was elected.
func TestNewLeaderThatIsBehindWaitsTheLongerLease(t *testing.T) {
	h := NewHolders(nil)
	h.Renew(at(0), 2, renewal("a", 1), terms(1))
	longer := Terms{Revision: 2, Lease: 15 * second, Longest: 15 * second}
	h.Renew(at(3*second), 2, renewal("a", 2), longer)
	if s := h.InForce(at(6*second), 2, 2, longer); s.InForce || s.MaxWait == 0 {
		t.Errorf("an entry may hold a lease of 15 s from before: %+v", s)
	}
	if s := h.InForce(at(16*second), 2, 2, longer); !s.InForce {
		t.Errorf("all leases have expired: %+v", s)
	}
}

// Where entries may serve without a quorum, one is stopped. It accepts no new work
// from then on, so the leader need not wait for it. After a restart it has to
// report again.
func TestStoppedEntryThatMayServeWithoutQuorum(t *testing.T) {
	h := NewHolders([]string{"a"})
	leaseless := terms(2)
	leaseless.LeaseRequiredFrom = 3
	r := renewal("a", 1)
	h.Renew(at(0), 1, r, leaseless)
	r.Released = true
	h.Renew(at(second), 1, r, leaseless)
	if s := h.InForce(at(9*second), 1, 2, leaseless); !s.InForce {
		t.Errorf("a has stopped: %+v", s)
	}
	r = renewal("a", 1)
	r.Holder.Incarnation = 2
	h.Renew(at(10*second), 1, r, leaseless)
	if s := h.InForce(at(99*second), 1, 2, leaseless); s.InForce {
		t.Error("a has started again and not applied revision 2")
	}
}

// The clock of an entry is slow and that of the leader fast. Without a margin, the
// leader would declare the edit in force while the lease has not expired by the
// entry's clock.
func TestClockRatesWithinTheMargin(t *testing.T) {
	const delay = 20 * time.Millisecond
	limit := 1.0 / MarginShare
	for _, entry := range []float64{1 - limit, 1, 1 + limit} {
		for _, leader := range []float64{1 - limit, 1, 1 + limit} {
			slow, fast := clock{rate: entry}, clock{rate: leader}
			l, h := NewEntryLease(), NewHolders(nil)
			h.InForce(fast.at(-time.Minute), 1, 1, terms(1))
			h.Renew(fast.at(delay/2), 1, renewal("a", 1), terms(1))
			l.Confirm(Proof{SentAt: slow.at(0), Applied: 1, Confirmed: 1, Lease: leaseLength})
			for now := delay; now < 2*leaseLength; now += time.Millisecond {
				serves := l.Check(slow.at(now), false) == nil
				if serves && h.InForce(fast.at(now), 1, 2, terms(2)).InForce {
					t.Fatalf("rates %v and %v: revision 2 is in force at %v and the entry serves under revision 1", entry, leader, now)
				}
			}
		}
	}
}
