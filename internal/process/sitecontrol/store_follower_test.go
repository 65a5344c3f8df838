package sitecontrol

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
)

// All processes of a large site were killed. The first replica to hold the lease must
// send every row to every entry. If the rows of thousands of short parts came first,
// entries would learn of the long ones seconds later, and engines would prefill them
// again.
func TestLongPartsAreShownFirst(t *testing.T) {
	sizes := map[stores.Part]int{}
	var all []stores.Part
	for i := range 100 {
		p := stores.Part{Salt: "m/1", ID: fmt.Sprint(i)}
		sizes[p] = 300
		if i%10 == 0 {
			sizes[p] = 13_000
		}
		all = append(all, p)
	}
	long, short := bySize(all, sizes)
	if len(long) != 10 || len(short) != 90 {
		t.Errorf("%d long and %d short parts", len(long), len(short))
	}
	for _, p := range long {
		if sizes[p] < longPartTokens {
			t.Errorf("a part of %d tokens is shown first", sizes[p])
		}
	}
}

// Guards against the short parts of all stores taking all the time of the process that sends them, and against long pauses on a small site.
func TestShortPartsPauseGrowsWithPartsAndEntries(t *testing.T) {
	if p := shortPartsPause(300, entriesPerProcess(7, 5)); p > 50*time.Millisecond {
		t.Errorf("on a small site the next store's short parts are shown after %s", p)
	}
	const stores, parts = 36, 320
	served := entriesPerProcess(291, 9)
	if served > 33 {
		t.Errorf("one process sends to %d of 291 entries", served)
	}
	pause := shortPartsPause(parts, served)
	if work := time.Duration(parts*served) * partSendTime; pause < 3*work {
		t.Errorf("work of %s for each store leaves too little time for other work within %s", work, pause)
	}
	if all := stores * pause; all > 10*time.Second {
		t.Errorf("all short parts are shown after %s", all)
	}
}

// Guards against stores of a lease that was lost delaying the short parts of those that are followed now.
func TestShortPartsOfUnfollowedStoresAreSkipped(t *testing.T) {
	sf := &storeFollower{process: &process{table: rowtable.New(1)}}
	storeAt := func(address string) *followedStore {
		return &followedStore{inventory: stores.NewStoreInventory(address, 1000), cancel: func() {}}
	}
	unfollowed, first, second := storeAt("1:1"), storeAt("2:2"), storeAt("3:3")
	for _, x := range []*followedStore{unfollowed, first, unfollowed, second} {
		sf.queueShortParts(x, nil)
	}
	unfollowed.unfollow()
	for _, want := range []*followedStore{first, second} {
		if next, ok := sf.nextShortParts(); !ok || next.store != want {
			t.Errorf("next are the short parts of %+v, not those of %s", next.store, want.inventory.Address)
		}
	}
	if _, ok := sf.nextShortParts(); ok {
		t.Error("short parts remain in the queue")
	}
	if rows, _ := sf.table.Since(0); len(rows) > 0 {
		t.Errorf("shown before they were taken from the queue: %+v", rows)
	}
}

// Guards against a new lease holder never counting as complete because a store is down.
func TestStoreThatIsDownAtFirstIsShown(t *testing.T) {
	table := rowtable.New(1)
	sf := &storeFollower{process: &process{table: table}}
	x := &followedStore{inventory: stores.NewStoreInventory("1:1", 1000)}
	for _, step := range []struct {
		err  error
		rows int
	}{{errors.New("no answer"), 1}, {errors.New("no answer"), 0}, {nil, 1}, {nil, 0}, {errors.New("no answer"), 1}} {
		_, before := table.Since(0)
		sf.showStoreState(x, step.err)
		if rows, _ := table.Since(before); len(rows) != step.rows {
			t.Errorf("shown %+v after %v", rows, step.err)
		}
	}
}

// fakeStore is a store whose start and parts a test sets.
type fakeStore struct {
	stores.Client
	epoch int64
	held  map[stores.Part]int
}

// Events implements stores.Client.
func (f *fakeStore) Events(context.Context, string, int64, time.Duration) (stores.Feed, error) {
	return stores.Feed{Epoch: f.epoch}, nil
}

// List implements stores.Client.
func (f *fakeStore) List(context.Context, string) (stores.Listing, error) {
	return stores.Listing{Epoch: f.epoch, Held: f.held}, nil
}

// Guards against entries that don't know of a store's restart fetching a part that others are saving to it again.
func TestRestartedStoreIsNotUsedAtOnce(t *testing.T) {
	table := rowtable.New(1)
	f := &fakeStore{epoch: 1, held: map[stores.Part]int{{Salt: "m/1", ID: "p"}: 2000}}
	sf := &storeFollower{process: &process{table: table}, client: f, clock: stores.NewClock(), starts: newStoreStarts()}
	x := &followedStore{inventory: stores.NewStoreInventory("1:1", 5000)}
	poll := func() []rowtable.Row {
		_, before := table.Since(0)
		err := sf.poll(t.Context(), x)
		sf.showStoreState(x, sf.usable(x, err))
		rows, _ := table.Since(before)
		return rows
	}
	poll()
	if !x.state.Usable {
		t.Fatal("a store that has not restarted isn't used")
	}
	f.epoch, f.held = 2, nil
	rows := poll()
	if x.state.Usable {
		t.Error("a store that has restarted is used at once")
	}
	if len(rows) < 2 || rows[0].Topic != topic.StoreStates {
		t.Errorf("shown %+v; the row that the store isn't used must come first", rows)
	}
	sf.starts.seen["1:1"] = storeStart{epoch: 2, since: time.Now().Add(-restartDelay)}
	poll()
	if !x.state.Usable {
		t.Error("the store isn't used again")
	}
}

// Guards against a replica that gets the lease right after a store's restart using the store at once.
func TestRestartIsRecordedWithoutTheLease(t *testing.T) {
	s, now := newStoreStarts(), time.Unix(100, 0)
	for _, x := range []struct {
		epoch      int64
		propagated bool
	}{{1, true}, {1, true}, {2, false}, {2, false}} {
		s.record("1:1", x.epoch, now)
		if s.restartPropagated("1:1", now) != x.propagated {
			t.Errorf("start %d: propagated %v", x.epoch, !x.propagated)
		}
	}
	if s.restartPropagated("1:1", now.Add(restartDelay-1)) || !s.restartPropagated("1:1", now.Add(restartDelay)) {
		t.Error("the store must stay unused for exactly the restart delay")
	}
}

// A store is listed, and the lease is lost before its short parts are shown. If they were
// still shown, their rows would mix with those of the next list.
func TestNothingIsShownOfAnUnfollowedStore(t *testing.T) {
	table := rowtable.New(1)
	sf := &storeFollower{process: &process{table: table}}
	x := &followedStore{inventory: stores.NewStoreInventory("1:1", 1000), cancel: func() {}}
	x.unfollow()
	sf.showStoreParts(x, "short", false, nil)
	if rows, _ := table.Since(0); len(rows) > 0 {
		t.Errorf("shown %+v", rows)
	}
}

// A store holds tens of thousands of short parts. In one row they would occupy an entry's
// link for longer than a poll may last. The poll would start again each time, and the
// entry would get no other rows either.
func TestListOfALargeStoreIsSplitIntoShortRows(t *testing.T) {
	const parts, maxRowBytes = 30_000, 64 << 10
	table := rowtable.New(1)
	sf := &storeFollower{process: &process{table: table}}
	x := &followedStore{inventory: stores.NewStoreInventory("1:1", 300*parts)}
	held := map[stores.Part]int{}
	var all []stores.Part
	for i := range parts {
		p := stores.Part{Salt: "m/1", ID: fmt.Sprint(i)}
		held[p] = 300
		all = append(all, p)
	}
	x.inventory.ApplyListing(stores.Listing{Epoch: 1, Held: held}, time.Now())
	sf.showStoreParts(x, "short", true, all)
	shown := 0
	for at, i := uint64(0), 0; table.ChangedAfter(at); i++ {
		rows, next := table.Since(at)
		at = next
		for _, r := range rows {
			leased, err := codec.Unmarshal[topic.Leased[topic.StoreSummary]](r.Value)
			if err != nil {
				t.Fatal(err)
			}
			s := leased.Value
			if len(r.Value) > maxRowBytes {
				t.Errorf("row %s has %d bytes", r.Key, len(r.Value))
			}
			if s.ReplacesEarlier != (shown == 0) {
				t.Errorf("row %s replaces what was shown before: %v", r.Key, s.ReplacesEarlier)
			}
			shown += len(s.Parts)
		}
	}
	if shown != parts {
		t.Errorf("%d of %d parts were shown", shown, parts)
	}
}
