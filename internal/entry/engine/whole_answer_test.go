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

// faulty returns a script that sends the answer of attempt a with random faults.
func faulty(seed uint64, last int) func(connection, after int, w *fakeWriter) {
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

// Answers arrive interleaved with those of other attempts, with repeated or
// skipped events, or truncated, on the first connection and on each resume. What
// the caller reads must be a prefix of its own answer, and the whole answer when
// the stream ends with io.EOF.
func TestCallerReadsItsOwnAnswerOnly(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(fixedSeed)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	var complete atomic.Int32
	properties.Property("a prefix of the answer, complete at io.EOF", prop.ForAllNoShrink(func(seed uint64) string {
		last := 1 + int(seed%12)
		f := newFakeEngine(t, faulty(seed, last))
		defer f.server.Close()
		texts, err := collect(t, f.address(), Config{})
		want := wholeAnswer(last)
		if errors.Is(err, io.EOF) {
			complete.Add(1)
			if !slices.Equal(texts, want) {
				return fmt.Sprintf("%v was reported as complete", texts)
			}
			return ""
		}
		if _, ok := verdict.As(err); !ok || !slices.Equal(texts, want[:len(texts)]) {
			return fmt.Sprintf("%v, %v", texts, err)
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
	if complete.Load() == 0 {
		t.Error("no answer was complete")
	}
}

// The caller disconnects. The run is cancelled at the engine, and an event that
// arrives afterwards is not returned.
func TestCallerThatLeavesCancelsTheRun(t *testing.T) {
	proceed := make(chan struct{})
	f := newFakeEngine(t, func(_, _ int, w *fakeWriter) {
		w.accept()
		w.event("a", 1, "")
		w.flush()
		<-proceed
		w.rest("a", 2, 4)
	})
	ctx, disconnect := context.WithCancel(context.Background())
	c := New(Config{})
	s, err := c.Run(ctx, f.address(), attempt)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	disconnect()
	close(proceed)
	if data, err := s.Next(); err == nil {
		t.Errorf("got %s after the caller disconnected", data)
	}
	s.Close()
	s.Close()
	c.Wait()
	if got := f.cancels(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("cancelled %v", got)
	}
}

// A request is retried at another engine because the first one was lost before
// its first event; then the first one answers after all. Both answers carry the
// same request ID, and only the attempt ID distinguishes them.
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

// A caller stops reading while its engine keeps sending at full speed. The bytes
// that the engine can send are bounded by the buffers of the two sockets and
// don't grow with the answer.
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
