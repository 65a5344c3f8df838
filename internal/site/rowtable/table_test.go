package rowtable

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against a watcher that keeps outdated rows after it missed an answer or got only
// some of the rows, and polls again from its last revision: an entry would send requests to a
// server that has left until the server's row changes again.
func TestWatcherEndsWithTheSameRows(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("same rows", prop.ForAll(func(steps []uint16) bool {
		table, watched, revision := New(1), map[string]string{}, uint64(0)
		want := map[string]string{}
		for _, s := range steps {
			key, value := fmt.Sprint(s%7), fmt.Sprint(s/7%5)
			table.Put(1, key, []byte(value))
			want[key] = value
			if s%3 != 0 {
				continue
			}
			rows, next := table.Since(revision)
			for _, r := range rows {
				watched[r.Key] = string(r.Value)
			}
			revision = next
		}
		rows, _ := table.Since(revision)
		for _, r := range rows {
			watched[r.Key] = string(r.Value)
		}
		return fmt.Sprint(watched) == fmt.Sprint(want)
	}, gen.SliceOf(gen.UInt16())))
	properties.TestingRun(t)
}

// Rows that each fill an answer are sent one by one, and the rows after them are not skipped.
func TestLargeRowsComeOneByOne(t *testing.T) {
	table := New(1)
	for _, k := range []string{"a", "b", "c"} {
		table.Put(1, k, make([]byte, MaxAnswerBytes-1))
	}
	revision, got := uint64(0), ""
	for range 3 {
		rows, next := table.Since(revision)
		if len(rows) != 1 {
			t.Fatalf("got %d rows", len(rows))
		}
		got, revision = got+rows[0].Key, next
	}
	if got != "abc" {
		t.Errorf("got %s", got)
	}
}

func TestWaitEndsWithAChange(t *testing.T) {
	table := New(1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		table.Wait(ctx, 0)
		close(done)
	}()
	table.Put(1, "a", []byte("x"))
	<-done
	if ctx.Err() != nil {
		t.Error("the wait ended by its timeout")
	}
}

// Guards against a table that fails, or sends a row that is gone, once rows have been removed.
func TestRemovedRowsAreNotSent(t *testing.T) {
	table := New(1)
	for i := range 500 {
		table.Put(1, fmt.Sprint(i), []byte("x"))
		if i >= 10 {
			table.Remove(1, fmt.Sprint(i-10))
		}
	}
	rows, _ := table.Since(0)
	if len(rows) != 10 || rows[0].Key != "490" {
		t.Errorf("got %d rows", len(rows))
	}
	table.Put(1, "0", []byte("x"))
	if rows, _ := table.Since(500); len(rows) != 1 || rows[0].Key != "0" {
		t.Errorf("got %v instead of the row that is back", rows)
	}
}
