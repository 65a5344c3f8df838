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
