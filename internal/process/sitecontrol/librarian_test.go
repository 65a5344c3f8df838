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

// All processes of a large site were killed. The first replica to hold the lease
// owes every row to every entry; with the rows of thousands of short parts in
// front, entries learn of the long ones seconds later, and engines read them again.
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
		if sizes[p] < longPart {
			t.Errorf("a part of %d tokens is shown first", sizes[p])
		}
	}
}

// Guards against short parts of all stores keeping who tells of them from everything else, and against long waits on a small site.
func TestShortPartsComeByTheirNumber(t *testing.T) {
	if p := pauseOfShort(300, servedTogether(7, 5)); p > 50*time.Millisecond {
		t.Errorf("on a small site the next store's short parts come after %s", p)
	}
	const stores, parts = 36, 320
	served := servedTogether(291, 9)
	if served > 33 {
		t.Errorf("one process tells %d of 291 entries", served)
	}
	pause := pauseOfShort(parts, served)
	if work := time.Duration(parts*served) * partTime; pause < 3*work {
		t.Errorf("work of %s for each store leaves no time for anything else within %s", work, pause)
	}
	if all := stores * pause; all > 10*time.Second {
		t.Errorf("all short parts are told after %s", all)
	}
}

// Guards against stores of a lease that was lost holding up the short parts of those that are followed now.
func TestShortPartsOfALeftStoreHoldNobodyUp(t *testing.T) {
	l := &librarian{process: &process{board: rowtable.New(1)}}
	shelfAt := func(address string) *shelf {
		return &shelf{stock: stores.NewStoreInventory(address, 1000), cancel: func() {}}
	}
	left, first, second := shelfAt("1:1"), shelfAt("2:2"), shelfAt("3:3")
	for _, x := range []*shelf{left, first, left, second} {
		l.later(x, nil)
	}
	left.leave()
	for _, want := range []*shelf{first, second} {
		if next, ok := l.nextShort(); !ok || next.shelf != want {
			t.Errorf("next are the short parts of %+v, not those of %s", next.shelf, want.stock.Address)
		}
	}
	if _, ok := l.nextShort(); ok {
		t.Error("short parts are left to show")
	}
	if rows, _ := l.board.Since(0); len(rows) > 0 {
		t.Errorf("told before their turn: %+v", rows)
	}
}

// Guards against a new holder of the lease never counting as complete because a store is down.
func TestStoreThatIsDownAtFirstIsToldOf(t *testing.T) {
	b := rowtable.New(1)
	l := &librarian{process: &process{board: b}}
	x := &shelf{stock: stores.NewStoreInventory("1:1", 1000)}
	for _, step := range []struct {
		err  error
		rows int
	}{{errors.New("no answer"), 1}, {errors.New("no answer"), 0}, {nil, 1}, {nil, 0}, {errors.New("no answer"), 1}} {
		_, before := b.Since(0)
		l.showUp(x, step.err)
		if rows, _ := b.Since(before); len(rows) != step.rows {
			t.Errorf("told %+v after %v", rows, step.err)
		}
	}
}

// fakeStore is a store in its present start.
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

// Guards against a part being fetched by entries that haven't heard of a store's restart while others write it there anew.
func TestRestartedStoreRests(t *testing.T) {
	b := rowtable.New(1)
	f := &fakeStore{epoch: 1, held: map[stores.Part]int{{Salt: "m/1", ID: "p"}: 2000}}
	l := &librarian{process: &process{board: b}, client: f, clock: stores.NewClock(), starts: newStarts()}
	x := &shelf{stock: stores.NewStoreInventory("1:1", 5000)}
	poll := func() []rowtable.Row {
		_, before := b.Since(0)
		err := l.poll(t.Context(), x)
		l.showUp(x, l.usable(x, err))
		rows, _ := b.Since(before)
		return rows
	}
	poll()
	if !x.up {
		t.Fatal("a store that was running isn't used")
	}
	f.epoch, f.held = 2, nil
	rows := poll()
	if x.up {
		t.Error("a store that has restarted is used at once")
	}
	if len(rows) < 2 || rows[0].Topic != topic.StoresUp {
		t.Errorf("told %+v; that the store isn't used must come first", rows)
	}
	l.starts.seen["1:1"] = storeStart{epoch: 2, since: time.Now().Add(-restartQuiet)}
	poll()
	if !x.up {
		t.Error("the store isn't used again")
	}
}

// Guards against a replica that gets the lease right after a store's restart using the store at once.
func TestRestartIsNotedWithoutTheLease(t *testing.T) {
	s, now := newStarts(), time.Unix(100, 0)
	for _, x := range []struct {
		epoch   int64
		settled bool
	}{{1, true}, {1, true}, {2, false}, {2, false}} {
		s.note("1:1", x.epoch, now)
		if s.settled("1:1", now) != x.settled {
			t.Errorf("start %d: settled %v", x.epoch, !x.settled)
		}
	}
	if s.settled("1:1", now.Add(restartQuiet-1)) || !s.settled("1:1", now.Add(restartQuiet)) {
		t.Error("the store must rest for the quiet time, no longer")
	}
}

// A store is listed, and the lease is lost before its short parts are shown. Shown
// all the same they would stand beside what the next list says.
func TestNothingIsShownOfAStoreThatIsLeft(t *testing.T) {
	b := rowtable.New(1)
	l := &librarian{process: &process{board: b}}
	x := &shelf{stock: stores.NewStoreInventory("1:1", 1000), cancel: func() {}}
	x.leave()
	l.showShelf(x, "short", false, nil)
	if rows, _ := b.Since(0); len(rows) > 0 {
		t.Errorf("told %+v", rows)
	}
}

// A store holds tens of thousands of short parts. In one row they take an entry's
// link for longer than a poll may last: the poll begins anew each time, and the
// entry hears of nothing else either.
func TestListOfALargeStoreComesInShortRows(t *testing.T) {
	const parts, mostBytes = 30_000, 64 << 10
	b := rowtable.New(1)
	l := &librarian{process: &process{board: b}}
	x := &shelf{stock: stores.NewStoreInventory("1:1", 300*parts)}
	held := map[stores.Part]int{}
	var all []stores.Part
	for i := range parts {
		p := stores.Part{Salt: "m/1", ID: fmt.Sprint(i)}
		held[p] = 300
		all = append(all, p)
	}
	x.stock.ApplyListing(stores.Listing{Epoch: 1, Held: held}, time.Now())
	l.showShelf(x, "short", true, all)
	told := 0
	for at, i := uint64(0), 0; b.ChangedAfter(at); i++ {
		rows, next := b.Since(at)
		at = next
		for _, r := range rows {
			s, err := codec.Unmarshal[topic.StoreSummary](r.Value)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Value) > mostBytes {
				t.Errorf("row %s has %d bytes", r.Key, len(r.Value))
			}
			if s.Whole != (told == 0) {
				t.Errorf("row %s replaces what was told before: %v", r.Key, s.Whole)
			}
			told += len(s.Parts)
		}
	}
	if told != parts {
		t.Errorf("%d of %d parts were told", told, parts)
	}
}
