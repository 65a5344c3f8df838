package sitecontrol

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"

	"hornbeamwood/internal/base/codec"
	controllease "hornbeamwood/internal/control/lease"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/node/boottime"
)

// leaseLog is a control log that holds only leases and has its own clock.
type leaseLog struct {
	section state.Section
	now     time.Time
}

func newLeaseLog() *leaseLog {
	return &leaseLog{section: controllease.New(), now: time.Unix(1000, 0)}
}

func (l *leaseLog) propose(_ context.Context, _ string, body []byte) ([]byte, error) {
	return l.section.Apply(l.now, body), nil
}

// current returns the lease as the log has it.
func (l *leaseLog) current() (controllease.Lease, bool) {
	q, err := codec.Marshal(controllease.Query{Name: ordersLease})
	if err != nil {
		return controllease.Lease{}, false
	}
	b, err := l.section.Query(q)
	if err != nil {
		return controllease.Lease{}, false
	}
	a, err := codec.Unmarshal[controllease.Answer](b)
	return a.Lease, err == nil
}

// leaseHolder returns a replica that requests the lease from this log.
func (l *leaseLog) leaseHolder(name string) *leaseHolder {
	return &leaseHolder{
		name: name, orderDelay: 3 * time.Second, propose: l.propose, isLeader: func() bool { return true }, current: l.current,
		logger: &log.Logger{Handler: discard.New()},
	}
}

// The replica that holds the lease is suspended. Until another one holds it, entries get
// no rows of stores, and engines prefill stored parts again. The next holder must get the
// lease soon, but may give no order before the site's time between orders of two holders
// is over.
func TestNextHolderGetsLeaseSoonAndOrdersLater(t *testing.T) {
	l := newLeaseLog()
	first, second := l.leaseHolder("a"), l.leaseHolder("b")
	first.renew(t.Context())
	if _, ok := first.mayOrder(); !ok {
		t.Fatal("the first holder of a new site need not wait, but may not order")
	}
	l.now = l.now.Add(leaseDuration - time.Millisecond)
	second.renew(t.Context())
	if second.fencingNumber() != 0 {
		t.Error("two replicas hold the lease")
	}
	l.now = l.now.Add(2 * time.Millisecond)
	second.renew(t.Context())
	if second.fencingNumber() == 0 {
		t.Errorf("no replica holds the lease %s after its last renewal", leaseDuration)
	}
	if _, ok := second.mayOrder(); ok {
		t.Error("the second holder orders at once")
	}
	if wait := second.ordersFrom - second.grantedAt; wait < second.orderDelay {
		t.Errorf("the second holder may order after %s", wait)
	}
}

// A replica is stopped as planned. The next leader must not wait until the lease
// expires, and the stopping replica must not acquire it again.
func TestStoppingHolderReleasesTheLease(t *testing.T) {
	l := newLeaseLog()
	first, second := l.leaseHolder("a"), l.leaseHolder("b")
	first.renew(t.Context())
	first.release(t.Context())
	if first.fencingNumber() != 0 || !first.stopping() {
		t.Error("it still holds the lease")
	}
	second.renew(t.Context())
	if second.fencingNumber() == 0 {
		t.Error("the next holder waits for a released lease")
	}
	if _, ok := second.mayOrder(); ok {
		t.Error("the second holder orders at once")
	}
}

// The answer to a renewal arrives after the holder has begun to stop.
func TestLateGrantIsIgnoredAfterRelease(t *testing.T) {
	l := newLeaseLog()
	h := l.leaseHolder("a")
	h.renew(t.Context())
	h.release(t.Context())
	b, err := codec.Marshal(controllease.Command{Acquire: &controllease.Acquire{Name: ordersLease, Holder: h.holderName(), Duration: leaseDuration}})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := l.propose(t.Context(), controllease.Name, b)
	if err != nil {
		t.Fatal(err)
	}
	r, err := codec.Unmarshal[controllease.Result](answer)
	if err != nil || !r.Granted {
		t.Fatal(r, err)
	}
	h.applyResult(r, boottime.Now())
	if h.fencingNumber() != 0 {
		t.Error("it holds the lease again")
	}
}

// The holder's disk stalls and the lease expires before the next renewal, without another
// holder in between. If the holder waited again before its first order, engines would
// wait seconds for the rest of their new weights after each stall.
func TestHolderContinuesAfterLateRenewal(t *testing.T) {
	l := newLeaseLog()
	first, second := l.leaseHolder("a"), l.leaseHolder("b")
	first.renew(t.Context())
	ordersFrom, fencing := first.ordersFrom, first.fencingNumber()
	l.now = l.now.Add(2 * leaseDuration)
	first.renew(t.Context())
	if n := first.fencingNumber(); n != fencing+1 || first.ordersFrom != ordersFrom {
		t.Errorf("fencing number %d after %d, orders from %s after %s", n, fencing, first.ordersFrom, ordersFrom)
	}
	l.now = l.now.Add(2 * leaseDuration)
	second.renew(t.Context())
	l.now = l.now.Add(2 * leaseDuration)
	first.renew(t.Context())
	if wait := first.ordersFrom - first.grantedAt; wait < first.orderDelay {
		t.Errorf("after another holder it may order within %s", wait)
	}
}

// A replica becomes leader after all processes were lost. Until it holds the lease,
// entries get no rows of the stores, and engines prefill stored parts again. It must
// request the lease at once, not at the time of its next renewal.
func TestNewLeaderRequestsLeaseAtOnce(t *testing.T) {
	l := newLeaseLog()
	h := l.leaseHolder("a")
	var isLeader atomic.Bool
	h.isLeader = isLeader.Load
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.run(ctx)
	}()
	time.Sleep(renewInterval + leaderCheckInterval)
	start := time.Now()
	isLeader.Store(true)
	for h.fencingNumber() == 0 && time.Since(start) < renewInterval {
		time.Sleep(time.Millisecond)
	}
	if h.fencingNumber() == 0 {
		t.Errorf("no lease %s after it became leader", time.Since(start))
	}
	cancel()
	<-done
}

// All processes were killed and are back before the holder's lease has expired, and
// another replica leads now. If that one waited, engines would prefill stored parts again
// for a second. The old holder releases the lease, and must not count as the holder
// again, though it has the same replica name.
func TestRestartedHolderReleasesItsLease(t *testing.T) {
	l := newLeaseLog()
	l.leaseHolder("a").renew(t.Context())
	l.now = l.now.Add(time.Millisecond)
	restarted, leader := l.leaseHolder("a"), l.leaseHolder("b")
	leader.renew(t.Context())
	if leader.fencingNumber() != 0 {
		t.Fatal("two replicas hold the lease")
	}
	if !restarted.releaseEarlier(t.Context()) {
		t.Fatal("the lease was not released")
	}
	leader.renew(t.Context())
	if leader.fencingNumber() == 0 {
		t.Error("the leader can't acquire the released lease")
	}
	restarted.renew(t.Context())
	if n := restarted.fencingNumber(); n != 0 {
		t.Errorf("the old holder holds the lease again under %d", n)
	}
	if _, ok := leader.mayOrder(); ok {
		t.Error("the next holder may order before the site's time between orders of two holders is over")
	}
}

// Guards against a data race between the log line of a released lease and a stop, and against a line that names no
// lease because the stop has already forgotten its number.
func TestReleaseIsLoggedWithItsFencingNumber(t *testing.T) {
	l := newLeaseLog()
	logged := memory.New()
	h := l.leaseHolder("a")
	h.logger = &log.Logger{Handler: logged, Level: log.InfoLevel}
	h.renew(t.Context())
	held := h.fencingNumber()
	h.release(t.Context())
	last := logged.Entries[len(logged.Entries)-1]
	if last.Fields["reason"] != "released" || last.Fields["fencing"] != held {
		t.Errorf("the line says %v, want that the lease with number %d was released", last.Fields, held)
	}
}
