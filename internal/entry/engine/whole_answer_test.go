package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/base/verdict"
)

const fixedSeed = 20261203

// wild sends the answer of attempt a with random faults in between.
func wild(seed uint64, last int) func(connection, after int, w *fakeWriter) {
	return func(connection, after int, w *fakeWriter) {
		r := rand.New(rand.NewPCG(seed, uint64(connection)))
		if r.IntN(8) == 0 {
			w.cut()
		}
		w.accept()
		for p := max(after, 0) + 1; p <= last; p++ {
			switch r.IntN(30) {
			case 0:
				w.event("b", p, "")
			case 1:
				w.event("a", r.IntN(last+3), "")
			case 2:
				w.cut()
			case 3:
				w.done()
				return
			case 4:
				fmt.Fprint(w, ": still here\n\n")
			case 5:
				p++
			}
			finish := ""
			if p == last {
				finish = "stop"
			}
			w.event("a", p, finish)
		}
		if r.IntN(4) > 0 {
			w.done()
		}
	}
}

// Answers arrive late, crossed with those of other attempts, twice, with gaps
// or cut short, on the first connection and on each resume. What the caller
// reads must be the beginning of its own answer, and whole when it says so.
func TestCallerReadsItsOwnAnswerOnly(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(fixedSeed)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	var wholes atomic.Int32
	properties.Property("a beginning of the answer, whole at the end", prop.ForAllNoShrink(func(seed uint64) string {
		last := 1 + int(seed%12)
		f := newFakeEngine(t, wild(seed, last))
		defer f.server.Close()
		texts, err := collect(t, f.address(), Config{})
		want := wholeAnswer(last)
		if errors.Is(err, io.EOF) {
			wholes.Add(1)
			if !slices.Equal(texts, want) {
				return fmt.Sprintf("%v passed for whole", texts)
			}
			return ""
		}
		if _, ok := verdict.As(err); !ok || !slices.Equal(texts, want[:len(texts)]) {
			return fmt.Sprintf("%v, %v", texts, err)
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
	if wholes.Load() == 0 {
		t.Error("no answer was whole")
	}
}

// The caller goes away. The engine is told to stop, and an event that arrives
// afterwards reaches nobody.
func TestCallerThatLeavesCancelsTheRun(t *testing.T) {
	proceed := make(chan struct{})
	f := newFakeEngine(t, func(_, _ int, w *fakeWriter) {
		w.accept()
		w.event("a", 1, "")
		w.flush()
		<-proceed
		w.rest("a", 2, 4)
	})
	ctx, leave := context.WithCancel(context.Background())
	c := New(Config{})
	s, err := c.Run(ctx, f.address(), attempt)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	leave()
	close(proceed)
	if data, err := s.Next(); err == nil {
		t.Errorf("after the caller left came %s", data)
	}
	s.Close()
	s.Close()
	c.Wait()
	if got := f.cancels(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("cancelled %v", got)
	}
}

// A run is repeated at another engine because the first one was lost before its
// first event; then the first one answers after all. Both answers carry the
// same request, and only the attempt tells them apart.
func TestLateAnswerOfAnEarlierAttemptIsNotPassedOn(t *testing.T) {
	f := newFakeEngine(t, func(connection, after int, w *fakeWriter) {
		w.accept()
		if connection == 1 {
			w.event("earlier", 1, "")
			w.event("earlier", 2, "stop")
			w.done()
			return
		}
		w.rest("a", after+1, 3)
	})
	texts, err := collect(t, f.address(), Config{})
	if !errors.Is(err, io.EOF) || !slices.Equal(texts, wholeAnswer(3)) {
		t.Errorf("got %v, %v", texts, err)
	}
}

// A caller stops reading while its engine goes on at full speed. What the
// engine could send until it had to wait is bounded by the buffers of the two
// sockets, and doesn't grow with the answer.
func TestSlowCallerHoldsTheEngineBack(t *testing.T) {
	const total = 64 << 20
	var sent atomic.Int64
	stopped := make(chan struct{})
	padding := strings.Repeat("x", 8<<10)
	f := newFakeEngine(t, func(_, _ int, w *fakeWriter) {
		defer close(stopped)
		w.accept()
		for p := 1; sent.Load() < total; p++ {
			n, err := fmt.Fprintf(w, "data: {\"pad\":%q,\"choices\":[],\"hornbeamwood\":{\"request\":\"r\",\"attempt\":\"a\",\"position\":%d}}\n\n", padding, p)
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	})
	c := New(Config{})
	s, err := c.Run(context.Background(), f.address(), attempt)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	<-stopped
	c.Wait()
	if n := sent.Load(); n >= total {
		t.Errorf("the engine sent %d bytes to a caller that read three events", n)
	}
}
