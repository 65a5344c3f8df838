package directory

import (
	"fmt"
	"testing"
	"time"
)

// Engines start under new names and disappear for weeks. Their names must not
// fill the directory, and a new engine must not inherit the locations of the
// engine whose index it reuses, or it would get requests for pieces that it
// never had.
func TestForgottenEnginesLeaveRoom(t *testing.T) {
	now := time.Unix(0, 0)
	d := New(Config{Start: now, Servers: 4})
	for i := range 40 {
		name := fmt.Sprintf("engine-%d", i)
		e := d.Update(now, Update{Engine: name, Incarnation: 1, First: 1, Count: 1, Changes: []Change{{Key: testKeys[i%8]}}})
		if e.Outcome != Applied {
			t.Fatalf("%s: got %+v", name, e)
		}
		d.Store(now, StoreChange{Store: "store-" + name, Incarnation: 1, Key: testKeys[i%8], To: Sealed, Generation: 1, Bytes: 1})
		d.Store(now, StoreChange{Store: "store-" + name, Incarnation: 1, Key: testKeys[i%8], To: Freeing, Generation: 1})
		for j, l := range d.Lookup(testKeys) {
			want := 0
			if j == i%8 {
				want = 1
			}
			if len(l.Engines) != want || len(l.Stores) != 0 {
				t.Fatalf("after %s: piece %d is at %+v", name, j, l)
			}
		}
		now = now.Add(DefaultForget + time.Second)
		for range shardCount / sweepShards {
			d.Sweep(now)
		}
		if all := d.Deletable(now); len(all) != 0 {
			t.Fatalf("a removed store has deletions: %v", all)
		}
	}
	if pieces, locations := d.Size(); pieces != 0 || locations != 0 {
		t.Errorf("%d pieces and %d locations are left", pieces, locations)
	}
}
