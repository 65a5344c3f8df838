package backend

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/lease"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/fleet/orders"
	"hornbeamwood/internal/settings/rules"
)

// singleReplicaLog is a control log with a single replica that never fails.
type singleReplicaLog struct {
	leases state.Section
}

func (l *singleReplicaLog) Propose(_ context.Context, _ string, body []byte) ([]byte, error) {
	return l.leases.Apply(time.Now(), body), nil
}

func (l *singleReplicaLog) Read(_ context.Context, _ string, body []byte) ([]byte, error) {
	return l.leases.Query(body)
}

// fakeEngines load weights immediately and announce what they hold.
type fakeEngines struct {
	mu             sync.Mutex
	table          membership.Table
	all            map[string]*announcement.Announcement
	orders         map[string]int
	loseNextAnswer bool
	fenced         bool
}

func newFakeEngines(names ...string) *fakeEngines {
	f := &fakeEngines{table: membership.New(membership.Config{}), all: map[string]*announcement.Announcement{}, orders: map[string]int{}}
	for i, n := range names {
		address := string(rune('1'+i)) + ".0.0.1:80"
		f.all[address] = &announcement.Announcement{
			Identity:    n,
			Incarnation: 1,
			Zone:        "tunja",
			Address:     address,
			Kind:        announcement.Engine,
			State:       announcement.Ready,
			Holdings:    []announcement.Holding{{Model: "m", WeightVersion: "v1"}},
		}
	}
	f.announce()
	return f
}

func (f *fakeEngines) announce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.all {
		a.Sequence++
		f.table.Announce(time.Now(), *a)
	}
}

func (f *fakeEngines) Order(_ context.Context, address string, o orders.Order) (orders.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fenced {
		return orders.Answer{}, verdict.New(verdict.NotRun, 502, "refused", "refused").WithCause(ErrOldFencing)
	}
	f.orders[o.ID]++
	a := f.all[address]
	a.LastOrder = o.ID
	a.Holdings = []announcement.Holding{{Model: o.Model, WeightVersion: o.WeightVersion}}
	if f.loseNextAnswer {
		f.loseNextAnswer = false
		return orders.Answer{}, errors.New("the answer was lost")
	}
	return orders.Answer{ID: o.ID, State: orders.Done}, nil
}

func (f *fakeEngines) ReadOrder(_ context.Context, _, id string) (orders.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.orders[id] == 0 {
		return orders.Answer{}, ErrUnknownOrder
	}
	return orders.Answer{ID: id, State: orders.Done}, nil
}

func (f *fakeEngines) View() membership.View {
	f.announce()
	return f.table.View()
}

// allHold returns whether every engine holds the version.
func (f *fakeEngines) allHold(version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.all {
		if a.Holdings[0].WeightVersion != version {
			return false
		}
	}
	return true
}

func newTestOrderIssuer(t *testing.T, holder string, l *singleReplicaLog, f *fakeEngines) OrderIssuer {
	t.Helper()
	oi, err := NewOrderIssuer(OrderIssuerConfig{
		Holder:     holder,
		Controller: orders.New(orders.Config{Recheck: time.Millisecond, Flight: time.Millisecond}),
		Log:        l,
		Engines:    f,
		Servers:    f,
		Settings: func() *rules.Snapshot {
			return &rules.Snapshot{Fleet: rules.Fleet{WeightLoads: 2}, Models: map[string]rules.Model{"m": {WeightVersion: "v2"}}}
		},
		Step: time.Millisecond,
		Now:  time.Now,
	})
	if err != nil {
		t.Fatal(err)
	}
	return oi
}

func readLease(t *testing.T, l *singleReplicaLog) lease.Lease {
	t.Helper()
	q, _ := codec.Marshal(lease.Query{Name: orderLeaseName})
	b, err := l.Read(context.Background(), lease.Name, q)
	if err != nil {
		t.Fatal(err)
	}
	a, err := codec.Unmarshal[lease.Answer](b)
	if err != nil {
		t.Fatal(err)
	}
	return a.Lease
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen in 20 s", what)
		}
	}
}

// The answer to one order is lost. The engine must not receive the order a second
// time, and the next process takes over at once when this one stops.
func TestOrderIssuerRollsOut(t *testing.T) {
	l, f := &singleReplicaLog{leases: lease.New()}, newFakeEngines("engine-1", "engine-2", "engine-3")
	f.loseNextAnswer = true
	oi := newTestOrderIssuer(t, "entry-1/1", l, f)
	eventually(t, "the rollout", func() bool { return f.allHold("v2") })
	other := newTestOrderIssuer(t, "entry-2/1", l, f)
	oi.Close()
	if got := readLease(t, l); !got.Released && got.Holder != "entry-2/1" {
		t.Errorf("the lease was not released: %+v", got)
	}
	eventually(t, "the takeover", func() bool { return readLease(t, l).Holder == "entry-2/1" })
	other.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.orders {
		if n != 1 {
			t.Errorf("order %s was sent %d times", id, n)
		}
	}
}

// An engine has seen a higher fencing number: another process holds the lease,
// and this one has not noticed yet. It must stop issuing orders to all engines.
func TestOrderIssuerStopsWhenFenced(t *testing.T) {
	l, f := &singleReplicaLog{leases: lease.New()}, newFakeEngines("engine-1", "engine-2")
	f.fenced = true
	oi := newTestOrderIssuer(t, "entry-1/1", l, f)
	eventually(t, "the lease", func() bool { return readLease(t, l).Holder == "entry-1/1" })
	oi.Close()
	if f.allHold("v2") || len(f.orders) > 0 {
		t.Errorf("orders were carried out: %v", f.orders)
	}
}
