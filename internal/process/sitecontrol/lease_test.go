package sitecontrol

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hornbeamwood/internal/base/codec"
	controllease "hornbeamwood/internal/control/lease"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/node/boottime"
)

// leaseLog is a control log of leases with a clock of its own.
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

// holder returns a replica that asks this log for the lease.
func (l *leaseLog) holder(name string) *holder {
	return &holder{
		name: name, turn: 3 * time.Second, propose: l.propose, leads: func() bool { return true }, current: l.current,
		logger: &log.Logger{Handler: discard.New()},
	}
}

// The replica that holds the lease stands still. Entries learn nothing of stores
// until another one holds it, and engines read again what lies there. The next
// one must get the lease soon, though it may give no order before the site's time
// between two givers is over.
func TestNextHolderTellsSoonAndOrdersLate(t *testing.T) {
	l := newLeaseLog()
	first, second := l.holder("a"), l.holder("b")
	first.renew(t.Context())
	if _, ok := first.held(); !ok {
		t.Fatal("the first holder of a new site has nobody to wait for")
	}
	l.now = l.now.Add(leaseDuration - time.Millisecond)
	second.renew(t.Context())
	if second.number() != 0 {
		t.Error("two hold the lease")
	}
	l.now = l.now.Add(2 * time.Millisecond)
	second.renew(t.Context())
	if second.number() == 0 {
		t.Errorf("nobody holds the lease %s after its last renewal", leaseDuration)
	}
	if _, ok := second.held(); ok {
		t.Error("the second holder orders at once")
	}
	if wait := second.from - second.granted; wait < second.turn {
		t.Errorf("the second holder orders after %s", wait)
	}
}

// A replica is stopped as planned. The next leader must not wait until the lease
// runs out, and the stopping one must not take it back.
func TestStoppingHolderGivesTheLeaseBack(t *testing.T) {
	l := newLeaseLog()
	first, second := l.holder("a"), l.holder("b")
	first.renew(t.Context())
	first.release(t.Context())
	if first.number() != 0 || !first.stopping() {
		t.Error("it still holds the lease")
	}
	second.renew(t.Context())
	if second.number() == 0 {
		t.Error("the next holder waits for a lease that was given back")
	}
	if _, ok := second.held(); ok {
		t.Error("the second holder orders at once")
	}
}

// The answer to a renewal comes after the holder has begun to stop.
func TestLateGrantDoesNotBringTheLeaseBack(t *testing.T) {
	l := newLeaseLog()
	h := l.holder("a")
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
	h.take(r, boottime.Now())
	if h.number() != 0 {
		t.Error("it holds the lease again")
	}
}

// The holder's disk stalls and the lease runs out before the next renewal. Nobody
// else had it; if the holder began anew, engines would wait seconds for the rest
// of their new weights after each stall.
func TestHolderThatWasLateGoesOn(t *testing.T) {
	l := newLeaseLog()
	first, second := l.holder("a"), l.holder("b")
	first.renew(t.Context())
	from, fencing := first.from, first.number()
	l.now = l.now.Add(2 * leaseDuration)
	first.renew(t.Context())
	if n := first.number(); n != fencing+1 || first.from != from {
		t.Errorf("number %d after %d, orders from %s after %s", n, fencing, first.from, from)
	}
	l.now = l.now.Add(2 * leaseDuration)
	second.renew(t.Context())
	l.now = l.now.Add(2 * leaseDuration)
	first.renew(t.Context())
	if wait := first.from - first.granted; wait < first.turn {
		t.Errorf("after another holder it orders within %s", wait)
	}
}

// A replica comes to lead after a loss of all. Until it holds the lease nobody
// tells entries of the stores, and engines read again what lies there: it must
// ask at once, not at the time of its next renewal.
func TestNewLeaderAsksAtOnce(t *testing.T) {
	l := newLeaseLog()
	h := l.holder("a")
	var leads atomic.Bool
	h.leads = leads.Load
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.run(ctx)
	}()
	time.Sleep(renewInterval + leadInterval)
	began := time.Now()
	leads.Store(true)
	for h.number() == 0 && time.Since(began) < renewInterval {
		time.Sleep(time.Millisecond)
	}
	if h.number() == 0 {
		t.Errorf("no lease %s after it came to lead", time.Since(began))
	}
	cancel()
	<-ended
}

// All processes were killed and are back before the lease of the one that held it
// has run out; another replica leads now. Were it to wait, engines would read again
// for a second what lies in the stores. The old holder gives it back, and must not
// take itself for the holder again, though it has the name.
func TestRestartedHolderGivesBack(t *testing.T) {
	l := newLeaseLog()
	l.holder("a").renew(t.Context())
	l.now = l.now.Add(time.Millisecond)
	restarted, leader := l.holder("a"), l.holder("b")
	leader.renew(t.Context())
	if leader.number() != 0 {
		t.Fatal("two hold the lease")
	}
	if !restarted.giveBack(t.Context()) {
		t.Fatal("the lease was not given back")
	}
	leader.renew(t.Context())
	if leader.number() == 0 {
		t.Error("the lease is not to be had")
	}
	restarted.renew(t.Context())
	if n := restarted.number(); n != 0 {
		t.Errorf("the old holder holds it again under %d", n)
	}
	if _, ok := leader.held(); ok {
		t.Error("the next holder gives orders before the site's time between two givers")
	}
}
