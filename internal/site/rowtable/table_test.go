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

// An entry that missed an answer, or got only a part of the rows, asks again
// from the last number that it has. After any number of changes it must hold
// exactly what the board holds: a server that has left would otherwise get
// requests for as long as nothing else is told of it.
func TestWatcherEndsWithTheSameRows(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("same rows", prop.ForAll(func(steps []uint16) bool {
		b, held, at := New(1), map[string]string{}, uint64(0)
		want := map[string]string{}
		for _, s := range steps {
			key, value := fmt.Sprint(s%7), fmt.Sprint(s/7%5)
			b.Put(1, key, []byte(value))
			want[key] = value
			if s%3 != 0 {
				continue
			}
			rows, next := b.Since(at)
			for _, r := range rows {
				held[r.Key] = string(r.Value)
			}
			at = next
		}
		rows, _ := b.Since(at)
		for _, r := range rows {
			held[r.Key] = string(r.Value)
		}
		return fmt.Sprint(held) == fmt.Sprint(want)
	}, gen.SliceOf(gen.UInt16())))
	p.TestingRun(t)
}

// Rows that each fill an answer come one by one, and what follows is not forgotten.
func TestLargeRowsComeOneByOne(t *testing.T) {
	b := New(1)
	for _, k := range []string{"a", "b", "c"} {
		b.Put(1, k, make([]byte, MaxAnswerBytes-1))
	}
	at, got := uint64(0), ""
	for range 3 {
		rows, next := b.Since(at)
		if len(rows) != 1 {
			t.Fatalf("got %d rows", len(rows))
		}
		got, at = got+rows[0].Key, next
	}
	if got != "abc" {
		t.Errorf("got %s", got)
	}
}

func TestWaitEndsWithAChange(t *testing.T) {
	b := New(1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		b.Wait(ctx, 0)
		close(done)
	}()
	b.Put(1, "a", []byte("x"))
	<-done
	if ctx.Err() != nil {
		t.Error("the wait ended by its timeout")
	}
}
