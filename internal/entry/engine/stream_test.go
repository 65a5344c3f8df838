package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"hornbeamwood/internal/base/verdict"
)

var attempt = Request{ID: "r", Attempt: "a", Workspace: "w", Path: "/v1/chat/completions", Body: []byte("{}")}

// collect returns the texts of all events and the final error of the stream.
func collect(t testing.TB, address string, c Config) ([]string, error) {
	t.Helper()
	c.ResumeWait = 1
	client := New(c)
	s, err := client.Run(context.Background(), address, attempt)
	if err != nil {
		return nil, err
	}
	defer client.Wait()
	defer s.Close()
	var texts []string
	for {
		data, err := s.Next()
		if err != nil {
			return texts, err
		}
		_, rest, _ := strings.Cut(string(data), `"content":"`)
		text, _, _ := strings.Cut(rest, `"`)
		texts = append(texts, strings.TrimSpace(text))
	}
}

func wholeAnswer(last int) []string {
	var texts []string
	for p := range last {
		texts = append(texts, fmt.Sprintf("t%d", p+1))
	}
	return texts
}

// An engine uses one connection for several runs, so that an event of another run
// or of an earlier attempt arrives in the middle of an answer; positions are
// repeated or skipped, or the stream ends early. Each of these faults would put
// wrong, duplicate or missing text into an answer.
func TestOnlyTheWholeAnswerIsPassedOn(t *testing.T) {
	faults := map[string]func(w *fakeWriter){
		"another attempt": func(w *fakeWriter) { w.event("b", 3, "") },
		"another request": func(w *fakeWriter) {
			fmt.Fprint(w, "data: {\"hornbeamwood\":{\"request\":\"x\",\"attempt\":\"a\",\"position\":3}}\n\n")
		},
		"no attempt":         func(w *fakeWriter) { fmt.Fprint(w, "data: {\"choices\":[]}\n\n") },
		"repeated position":  func(w *fakeWriter) { w.event("a", 2, ""); w.event("a", 1, "") },
		"skipped position":   func(w *fakeWriter) { w.event("a", 4, "") },
		"negative position":  func(w *fakeWriter) { w.event("a", -3, "") },
		"end without finish": func(w *fakeWriter) { w.done() },
		"broken connection":  func(w *fakeWriter) { w.cut() },
		"plain end":          func(*fakeWriter) {},
		"cut event":          func(w *fakeWriter) { fmt.Fprint(w, "data: {\"choices\":[]"); w.cut() },
		"no JSON":            func(w *fakeWriter) { fmt.Fprint(w, "data: hello\n\n") },
		"choice out of range": func(w *fakeWriter) {
			fmt.Fprint(w, "data: {\"choices\":[{\"index\":900}],\"hornbeamwood\":{\"request\":\"r\",\"attempt\":\"a\",\"position\":3}}\n\n")
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			resumable := newFakeEngine(t, func(connection, after int, w *fakeWriter) {
				w.accept()
				if connection == 1 {
					w.event("a", 1, "")
					w.event("a", 2, "")
					fault(w)
					if name == "repeated position" {
						w.rest("a", 3, 6)
					}
					return
				}
				w.rest("a", after+1, 6)
			})
			texts, err := collect(t, resumable.address(), Config{})
			if !errors.Is(err, io.EOF) || !slices.Equal(texts, wholeAnswer(6)) {
				t.Errorf("resumed: got %v, %v", texts, err)
			}
			if name == "repeated position" {
				return
			}
			lost := newFakeEngine(t, func(_, after int, w *fakeWriter) {
				w.accept()
				if after < 0 {
					w.event("a", 1, "")
					w.event("a", 2, "")
				}
				fault(w)
			})
			texts, err = collect(t, lost.address(), Config{})
			if e, ok := verdict.As(err); !ok || e.Verdict != verdict.MayHaveRun || !slices.Equal(texts, wholeAnswer(2)) {
				t.Errorf("lost: got %v, %v", texts, err)
			}
			if n := len(lost.connections()); n != 4 {
				t.Errorf("lost: %d connections", n)
			}
			if c := lost.cancels(); len(c) != 1 || c[0] != "a" {
				t.Errorf("lost: cancelled %v", c)
			}
		})
	}
}

// An engine's answer has the headers of another attempt, for example because a
// proxy mixed up two connections. Nothing of that answer may be read.
func TestHeadersOfAnotherAttemptAreRefused(t *testing.T) {
	f := newFakeEngine(t, func(_, _ int, w *fakeWriter) {
		w.Header().Set(headerRequest, "r")
		w.Header().Set(headerAttempt, "b")
		w.WriteHeader(http.StatusOK)
		w.rest("a", 1, 3)
	})
	_, err := collect(t, f.address(), Config{})
	if e, ok := verdict.As(err); !ok || e.Verdict != verdict.MayHaveRun {
		t.Fatalf("got %v", err)
	}
}

// The engine no longer knows the run that it is to resume. The caller has a part
// of the answer and must get an error, not the rest of another run.
func TestResumeThatIsRefusedEndsWithAnError(t *testing.T) {
	f := newFakeEngine(t, func(connection, _ int, w *fakeWriter) {
		if connection > 1 {
			w.WriteHeader(http.StatusConflict)
			return
		}
		w.accept()
		w.event("a", 1, "")
		w.cut()
	})
	texts, err := collect(t, f.address(), Config{})
	if e, ok := verdict.As(err); !ok || e.Code != "stream-lost" || len(texts) != 1 {
		t.Fatalf("got %v, %v", texts, err)
	}
	if n := len(f.connections()); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// deadAddress is a loopback address without a listener. The port of a closed
// listener could already be in use by another test.
const deadAddress = "127.99.99.99:9"

// An engine refuses a request. Only the engine's own verdict, or a connection
// that could not be made, may give the refusal the verdict not-run.
func TestRefusalsCarryTrueVerdicts(t *testing.T) {
	refusing := newFakeEngine(t, func(_, _ int, w *fakeWriter) {
		w.Header().Set(verdict.Header, "not-run")
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	silent := newFakeEngine(t, func(_, _ int, w *fakeWriter) { w.WriteHeader(http.StatusInternalServerError) })
	cut := newFakeEngine(t, func(_, _ int, w *fakeWriter) { w.cut() })
	for address, want := range map[string]verdict.Verdict{
		refusing.address(): verdict.NotRun, silent.address(): verdict.MayHaveRun,
		cut.address(): verdict.MayHaveRun, deadAddress: verdict.NotRun,
	} {
		_, err := collect(t, address, Config{})
		if verdict.Of(err) != want || err == nil {
			t.Errorf("got %v instead of %s", err, want)
		}
	}
}

// Guards against an answer that looks complete although its engine ended in the middle of it and closes each
// connection that would continue it.
func TestLostStreamIsNotComplete(t *testing.T) {
	for _, last := range []int{0, 1} {
		f := newFakeEngine(t, func(connection, _ int, w *fakeWriter) {
			if connection > 1 {
				panic(http.ErrAbortHandler)
			}
			w.accept()
			if last > 0 {
				w.event("a", last, "")
			}
			w.cut()
		})
		texts, err := collect(t, f.address(), Config{})
		e, ok := verdict.As(err)
		if !ok || e.Code != "stream-lost" || errors.Is(err, io.EOF) || len(texts) != last {
			t.Errorf("after %d events: %v, %v; complete is %t", last, texts, err, errors.Is(err, io.EOF))
		}
	}
}
