package sitecontrol

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hornbeamwood/internal/node/boottime"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/section"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/watch"
)

// freeOrder is an order to free parts that a store has received.
type freeOrder struct {
	address    string
	receivedAt time.Duration
	// until is the order's time limit on the boot clock, which the stores of these tests show.
	until time.Duration
}

// orderedStores are stores that record orders and answer none of those to silent ones.
type orderedStores struct {
	stores.Client
	silent func(address string) bool
	// received is called with each order.
	received func(o freeOrder)
	mu       sync.Mutex
	orders   []freeOrder
}

// Free implements stores.Client.
func (s *orderedStores) Free(ctx context.Context, address string, _ int64, _ []stores.Part, until int64) error {
	o := freeOrder{address, boottime.Now(), time.Duration(until) * time.Millisecond}
	s.mu.Lock()
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	if s.received != nil {
		s.received(o)
	}
	if s.silent(address) {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *orderedStores) all() []freeOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]freeOrder(nil), s.orders...)
}

// freeingFollower returns a follower that holds the lease and has parts to free at each of count stores.
func freeingFollower(t *testing.T, client stores.Client, count int) *storeFollower {
	t.Helper()
	n, _ := testNode(t, keys.Control)
	holder := newLeaseLog().leaseHolder("a")
	holder.renew(t.Context())
	p := &process{
		config: Config{Logger: &log.Logger{Handler: discard.New()}}, table: rowtable.New(1), section: section.New(section.Config{}),
		leaseHolder: holder, relay: idleRelay(t),
		watchServer: watch.NewServer(watch.Config{Method: watch.Watch, Node: n, Table: rowtable.New(1), CaughtUp: func() bool { return true }, Holder: func() (uint64, int64) { return 1, 0 }}),
	}
	sf := &storeFollower{process: p, client: client, clock: stores.NewClock(), starts: newStoreStarts(), followed: map[string]*followedStore{}}
	sf.clock.Observe(boottime.Now().Milliseconds())
	for i := range count {
		address := fmt.Sprintf("127.0.0.1:%d", i+1)
		x := &followedStore{inventory: stores.NewStoreInventory(address, 1000), clock: stores.NewClock(), cancel: func() {}}
		x.clock.Observe(boottime.Now().Milliseconds())
		x.inventory.ApplyListing(stores.Listing{Epoch: 1, Held: map[stores.Part]int{{Salt: "m/1", ID: "p"}: 500}}, time.Now().Add(-time.Minute))
		x.inventory.Withdraw(func(stores.Part) bool { return true }, 1, time.Now().Add(-time.Minute))
		sf.followed[address] = x
	}
	return sf
}

// freeOnce runs one search for parts to free, until all of its orders have ended.
func (sf *storeFollower) freeOnce(ctx context.Context) {
	var all sync.WaitGroup
	sf.free(ctx, &all)
	all.Wait()
}

// Guards against orders to free parts that are carried out after the lease has ended, while one store is silent: the next
// holder shows these parts, and engines fetch them.
func TestNoPartIsFreedAfterTheLease(t *testing.T) {
	const count = 6
	s := &orderedStores{silent: func(address string) bool { return address != "127.0.0.1:1" }}
	sf := freeingFollower(t, s, count)
	leaseEnd := sf.leaseHolder.until
	sf.freeOnce(t.Context())
	all := s.all()
	if len(all) != count {
		t.Errorf("%d orders, want one for each of the %d stores", len(all), count)
	}
	for _, o := range all {
		if o.receivedAt >= leaseEnd {
			t.Errorf("an order left %s after the end of the lease", o.receivedAt-leaseEnd)
		}
		if o.until > leaseEnd {
			t.Errorf("an order may be carried out until %s after the end of the lease", o.until-leaseEnd)
		}
	}
}

// Guards against a process that stood still before an order left: the store must refuse what arrives after the lease,
// also if its clock is ahead of those of other stores.
func TestTimeLimitIsOnTheClockOfTheStore(t *testing.T) {
	const ahead = time.Hour
	s := &orderedStores{silent: func(string) bool { return false }}
	sf := freeingFollower(t, s, 1)
	sf.clock.Observe((boottime.Now() + ahead).Milliseconds())
	sf.freeOnce(t.Context())
	for _, o := range s.all() {
		if o.until > sf.leaseHolder.until {
			t.Errorf("an order may be carried out until %s after the end of the lease", o.until-sf.leaseHolder.until)
		}
	}
}

// Guards against stores that fill up because another store doesn't answer.
func TestSilentStoreHoldsUpNoOther(t *testing.T) {
	const count = 6
	answered := make(chan struct{}, count)
	s := &orderedStores{
		silent: func(address string) bool { return address == "127.0.0.1:2" },
		received: func(o freeOrder) {
			if o.address != "127.0.0.1:2" {
				answered <- struct{}{}
			}
		},
	}
	sf := freeingFollower(t, s, count)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sf.freeOnce(ctx)
	}()
	for range count - 1 {
		select {
		case <-answered:
		case <-time.After(freeInterval):
			t.Fatal("a store that answers gets its order only after one that doesn't")
		}
	}
	cancel()
	<-done
}

// Guards against parts that were shown again under a later grant of the lease and are freed by an order from before it.
func TestUnfollowedStoreGetsNoOrder(t *testing.T) {
	s := &orderedStores{silent: func(string) bool { return false }}
	sf := freeingFollower(t, s, 1)
	for _, x := range sf.followed {
		x.unfollow()
	}
	sf.freeOnce(t.Context())
	if all := s.all(); len(all) > 0 {
		t.Errorf("%d orders for a store that isn't followed any more", len(all))
	}
}

// Guards against a planned stop that hands on the lease while an order to free parts is on its way.
func TestLeaseIsReleasedAfterItsOrders(t *testing.T) {
	l := newLeaseLog()
	first, second := l.leaseHolder("a"), l.leaseHolder("b")
	first.renew(t.Context())
	answered, ok := first.permit(orderMargin)
	if !ok {
		t.Fatal("no permit for the holder")
	}
	first.end(answered, true)
	lost, _ := first.permit(orderMargin)
	first.end(lost, false)
	first.release(t.Context())
	if now := boottime.Now(); now < lost.expires {
		t.Errorf("released %s before an order without a response has expired", lost.expires-now)
	}
	second.renew(t.Context())
	if second.fencingNumber() == 0 {
		t.Error("the lease wasn't released")
	}
}

// Guards against a replica that is back at once and hands on its lease while orders of its earlier process are on their way.
func TestRestartedHolderWaitsForOrdersOfItsEarlierProcess(t *testing.T) {
	l := newLeaseLog()
	l.leaseHolder("a").renew(t.Context())
	restarted, other := l.leaseHolder("a"), l.leaseHolder("b")
	restarted.startedAt, other.startedAt = boottime.Now(), boottime.Now()
	if restarted.mayRequest() {
		t.Error("it requests or releases the lease of its earlier process at once")
	}
	if !other.mayRequest() {
		t.Error("another replica waits too")
	}
	restarted.startedAt -= orderMargin
	if !restarted.mayRequest() {
		t.Errorf("it still waits %s after its start", orderMargin)
	}
}

// Guards against a leader whose clock is ahead: by the log's clock the lease of its predecessor has ended, by the
// predecessor's clock it may still free parts.
func TestPartsAreShownAfterTheEarlierHoldersLease(t *testing.T) {
	l := newLeaseLog()
	first, second := l.leaseHolder("a"), l.leaseHolder("b")
	leads := false
	second.isLeader = func() bool { return leads }
	first.renew(t.Context())
	second.observeEarlier()
	l.now = l.now.Add(time.Hour)
	leads = true
	second.renew(t.Context())
	if second.fencingNumber() == 0 {
		t.Fatal("the lease has ended by the log's clock, but isn't granted")
	}
	if _, ok := second.showable(); ok {
		t.Error("parts are shown that the earlier holder may free")
	}
	second.earlierSeenAt -= leaseDuration
	second.showFrom -= leaseDuration
	if _, ok := second.showable(); !ok {
		t.Errorf("nothing is shown %s after the last renewal by the earlier holder", leaseDuration)
	}
}
