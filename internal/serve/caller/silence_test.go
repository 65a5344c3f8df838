package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/serve/retry"
	"hornbeamwood/internal/serve/waitqueue"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
)

const wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: b\n\nid: 4\ndata: b\n\n"

// first uses one script for the first n requests and another one for the rest.
func first(n int, begin, rest script) script {
	return func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		if s.count() <= n {
			return begin(s, c, q)
		}
		return rest(s, c, q)
	}
}

// silentAfterEvents sends events up to end and then nothing until its caller closes the connection.
func silentAfterEvents(name string, end int) script {
	return func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("A-Id"), name)
		for i := 1; i <= end; i++ {
			e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, name)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		_, _ = c.Read(make([]byte, 1))
		return false
	}
}

// setRoute changes the route of that name.
func (f *fixture) setRoute(name string, change func(*document.Route)) {
	d := f.site.table.Document()
	routes := append([]document.Route(nil), d.Routes...)
	for i := range routes {
		if routes[i].Name == name {
			change(&routes[i])
		}
	}
	d.Routes = routes
	f.site.table = document.NewTable(d)
}

// Guards against a stream that is broken off because the server at which it resumes rejects it at first.
func TestStreamGoesOnAfterRejections(t *testing.T) {
	full := answerStatus(http.StatusServiceUnavailable, "A-Not-Run: 1\r\n")
	f := newFixture(t, streamOf("a", 2, false), first(2, full, streamOf("b", 4, true)))
	f.servers[0].script = first(1, streamOf("a", 2, false), full)
	if g := f.request(t, "r1", http.MethodPost, "/resume/x"); g.err != nil || g.body != wholeStream {
		t.Errorf("got %+v", g)
	}
}

// Guards against a stream that is broken off although its server, the only one, accepts it again.
func TestStreamGoesOnAtTheSameServer(t *testing.T) {
	f := newFixture(t, first(1, streamOf("a", 2, false), streamOf("b", 4, true)))
	if g := f.request(t, "r1", http.MethodPost, "/resume/x"); g.err != nil || g.body != wholeStream {
		t.Errorf("got %+v", g)
	}
}

// Guards against a stream that is broken off because the retry budget grants its resume a moment later.
func TestStreamGoesOnWhenTheBudgetGrantsIt(t *testing.T) {
	f := newFixture(t, streamOf("a", 2, false), streamOf("b", 4, true))
	c := f.config
	c.Budget = retry.NewBudget(retry.Terms{Window: 2 * time.Second})
	for c.Budget.Spend("s", time.Now()) {
	}
	f.front.Config.Handler = New(c)
	if g := f.request(t, "r1", http.MethodPost, "/resume/x"); g.err != nil || g.body != wholeStream {
		t.Errorf("got %+v", g)
	}
}

// Guards against a stream that stays at a silent server until its caller disconnects, beside a server with room.
func TestStreamLeavesSilentServerInTime(t *testing.T) {
	f := newFixture(t, silentAfterEvents("a", 2), streamOf("b", 4, true))
	f.setRoute("resume", func(r *document.Route) { r.CallerEventTimeout = 2 * time.Second })
	began := time.Now()
	g := f.request(t, "r1", http.MethodPost, "/resume/x")
	if took := time.Since(began); g.err != nil || g.body != wholeStream || took < time.Second || took > 2*time.Second {
		t.Errorf("got %+v after %s", g, took)
	}
}

// Guards against a stream that waits for a server that is known to be lost: it has started anew, or no longer
// announces itself.
func TestStreamLeavesLostServer(t *testing.T) {
	for name, s := range map[string]directory.Server{"restarted": {ID: "s0", StartedAt: 2}, "silent": {ID: "s0", StartedAt: 1, Silent: true}} {
		f := newFixture(t, silentAfterEvents("a", 2), streamOf("b", 4, true))
		c := f.config
		c.Site = siteWithServer{f.site, s}
		f.front.Config.Handler = New(c)
		began := time.Now()
		g := f.request(t, "r1", http.MethodPost, "/resume/x")
		if took := time.Since(began); g.err != nil || g.body != wholeStream || took > 2*time.Second {
			t.Errorf("%s: got %+v after %s", name, g, took)
		}
	}
}

// siteWithServer is a site that knows the state of one server.
type siteWithServer struct {
	*fakeSite
	server directory.Server
}

func (s siteWithServer) Server(id string) (directory.Server, bool) {
	return s.server, id == s.server.ID
}

// Guards against an error response in the middle of a stream that resumes.
func TestErrorIsNotForwardedIntoStream(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusBadRequest, http.StatusInternalServerError} {
		f := newFixture(t, streamOf("a", 2, false), answerStatus(status, "A-Stamp: y\r\n"))
		if g := f.request(t, "r1", http.MethodPost, "/resume/x"); g.err == nil || g.body != "" && !strings.HasPrefix(wholeStream, g.body) {
			t.Errorf("status %d: got %+v", status, g)
		}
	}
}

// Guards against a stream that is broken off because the time until its caller disconnects is counted from the
// arrival of the request.
func TestResumeWaitsForCapacityUntilCallerLeaves(t *testing.T) {
	const timeout = 2 * time.Second
	now := time.Now()
	j := &job{
		arrived: now.Add(-3 * timeout), deadline: now.Add(3 * timeout),
		route:   document.Route{LatencyTarget: time.Second, CallerEventTimeout: timeout},
		request: request.Request{Prompt: &request.Prompt{Tokens: 10}},
	}
	if sendBy := j.queueItem().SendBy; sendBy.After(now) {
		t.Errorf("a request without an event waits for another %s", sendBy.Sub(now))
	}
	j.streamed.started = true
	j.streamed.recordEvent(now)
	if sendBy := j.queueItem().SendBy; sendBy.Before(now.Add(timeout / 2)) {
		t.Errorf("a stream waits for %s after its last event", sendBy.Sub(now))
	}
}

// Guards against further requests to a server that is silent for all requests that it has, while these wait for it.
func TestSilentServerIsEjected(t *testing.T) {
	f := newFixture(t, silentAfterEvents("a", 2))
	for i := range 2 {
		c, err := net.Dial("tcp", f.front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := fmt.Fprintf(c, "POST /resume/x HTTP/1.1\r\nHost: h\r\nA-Id: r%d\r\nContent-Length: 0\r\n\r\n", i); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(4 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if s := f.config.Tracker.Stats("s0"); time.Now().Before(s.EjectedUntil) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("after %s: %+v", silentAfter, f.config.Tracker.Stats("s0"))
		}
	}
}

// Guards against memory of engines that stays reserved for prompts at silent ones while the others have no room.
func TestPromptLeavesSilentEngineForTheQueue(t *testing.T) {
	hang := func(_ *scriptedServer, c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	}
	f := newFixture(t, hang, streamOf("b", 2, true))
	f.setRoute("prompt", func(r *document.Route) {
		r.Resumable, r.MaxAttempts, r.LatencyTarget = true, 2, 100*time.Millisecond
	})
	full := f.config.Tracker.Begin(observe.Attempt{Server: "s1", ReservedTokens: 1000, SentAt: time.Now()})
	status := f.prompt(t)
	f.awaitQueued(t)
	if n := f.config.Tracker.Stats("s0").InFlight; n != 0 || f.servers[0].count() != 1 {
		t.Errorf("%d requests in flight at the silent engine, which got %d", n, f.servers[0].count())
	}
	f.config.Tracker.End(full, observe.Served, time.Now())
	f.queue.LocalCapacityFreed()
	if got := <-status; got != http.StatusOK {
		t.Errorf("got %d", got)
	}
}

// Guards against a prompt that leaves a silent engine, which continues, for engines that may not get it.
func TestPromptStaysWhileOtherEnginesAreInBackoff(t *testing.T) {
	pausing := func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		time.Sleep(time.Second)
		return streamOf("a", 2, true)(s, c, q)
	}
	f := newFixture(t, pausing, streamOf("b", 2, true))
	f.setRoute("prompt", func(r *document.Route) {
		r.Resumable, r.MaxAttempts, r.LatencyTarget = true, 2, 100*time.Millisecond
	})
	f.config.Backoffs.Request("s1", time.Minute, time.Now())
	if got := <-f.prompt(t); got != http.StatusOK || f.servers[0].count() != 1 {
		t.Errorf("got %d after %d attempts", got, f.servers[0].count())
	}
}

// fullQueue is a queue in which no request is served in time.
type fullQueue struct{ waitqueue.Queue }

// Forecast implements waitqueue.Queue.
func (fullQueue) Forecast(*waitqueue.Waiter) waitqueue.Forecast {
	return waitqueue.Forecast{Unservable: true, ClearAfter: time.Second}
}

// Preview implements waitqueue.Queue.
func (q fullQueue) Preview(waitqueue.Item) waitqueue.Forecast {
	return q.Forecast(nil)
}

// Guards against a prompt that leaves a silent engine, which continues, for a queue that refuses it.
func TestPromptStaysWhileTheQueueIsFull(t *testing.T) {
	pausing := func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		time.Sleep(time.Second)
		return streamOf("a", 2, true)(s, c, q)
	}
	f := newFixture(t, pausing, streamOf("b", 2, true))
	f.setRoute("prompt", func(r *document.Route) {
		r.Resumable, r.MaxAttempts, r.LatencyTarget = true, 2, 100*time.Millisecond
	})
	f.config.Tracker.Begin(observe.Attempt{Server: "s1", ReservedTokens: 1000, SentAt: time.Now()})
	c := f.config
	c.Queue = fullQueue{c.Queue}
	f.front.Config.Handler = New(c)
	if got := <-f.prompt(t); got != http.StatusOK || f.servers[0].count() != 1 {
		t.Errorf("got %d after %d attempts", got, f.servers[0].count())
	}
}

// Guards against a prompt that is held until its deadline although no engine may get it in time.
func TestPromptThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, silentAfterEvents("a", 0), streamOf("b", 2, true))
	f.setRoute("prompt", func(r *document.Route) {
		r.Resumable, r.MaxAttempts, r.LatencyTarget = true, 2, 100*time.Millisecond
	})
	f.config.Tracker.Begin(observe.Attempt{Server: "s1", ReservedTokens: 1000, SentAt: time.Now()})
	status := f.prompt(t)
	f.awaitQueued(t)
	f.config.Backoffs.Request("s1", time.Minute, time.Now())
	f.queue.LocalCapacityFreed()
	select {
	case got := <-status:
		if got != http.StatusBadGateway {
			t.Errorf("got %d", got)
		}
	case <-time.After(time.Second):
		t.Error("no answer in a second")
	}
}

// Guards against a server that stays ejected for its silence although it responds again, if its responses are
// rejections or failures.
func TestServerThatRespondsAfterItsSilenceIsNotEjected(t *testing.T) {
	for name, answer := range map[string]script{
		"rejects": answerStatus(http.StatusServiceUnavailable, "A-Not-Run: 1\r\n"),
		"fails":   answerStatus(http.StatusInternalServerError, "A-Stamp: x\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(s *scriptedServer, c net.Conn, q *http.Request) bool {
				time.Sleep(600 * time.Millisecond)
				return answer(s, c, q)
			})
			for range 2 {
				f.config.Tracker.Silent(f.config.Tracker.Begin(observe.Attempt{Server: "s0", SentAt: time.Now()}), time.Now())
			}
			f.request(t, "r1", http.MethodPost, "/read/x")
			if s := f.config.Tracker.Stats("s0"); time.Now().Before(s.EjectedUntil) || s.ConsecutiveLosses != 0 {
				t.Errorf("the server counts as %+v", s)
			}
		})
	}
}

// Guards against a request that waits for the rest of a rejection, whose head has told that it did not run.
func TestRejectionIsNotAwaitedToItsEnd(t *testing.T) {
	begin := func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nA-Id: %s\r\nA-Not-Run: 1\r\nContent-Length: 2\r\n\r\nn", q.Header.Get("A-Id"))
		_, _ = c.Read(make([]byte, 1))
		return false
	}
	for _, path := range []string{"/once/x", "/read/x"} {
		f := newFixture(t, begin, answerOK("second"))
		began := time.Now()
		g := f.request(t, "r1", http.MethodPost, path)
		if took := time.Since(began); g.status != http.StatusOK || g.body != "second" || took > 250*time.Millisecond {
			t.Errorf("%s: got %+v after %s", path, g, took)
		}
	}
}

// silentWithinChunk sends event 1 and a part of the chunk of event 2 at once, and the rest after the silence.
func silentWithinChunk(silence time.Duration, part int) script {
	return func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
		first, second := "id: 1\ndata: a\n\n", "id: 2\ndata: a\n\n"
		rest := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(second), second)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", q.Header.Get("A-Id"), len(first), first, rest[:part])
		time.Sleep(silence)
		_, err := fmt.Fprint(c, rest[part:])
		return err == nil
	}
}

// Guards against events that have arrived whole and are held back until the rest of a later one arrives, which its server
// sends after a silence.
func TestEventIsForwardedBeforeTheRestOfTheNextArrives(t *testing.T) {
	const silence, soon = 500 * time.Millisecond, 200 * time.Millisecond
	// The parts end within the size of the chunk, after it, within its event, after and within a line of that, before and
	// within the end of the chunk.
	for _, part := range []int{1, 2, 3, 8, 9, 12, 17, 18, 19} {
		f := newFixture(t, silentWithinChunk(silence, part))
		began := time.Now()
		q, err := http.NewRequest(http.MethodPost, f.front.URL+"/resume/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Host = "h"
		q.Header.Set("A-Id", "r")
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		event := make([]byte, len("id: 1\ndata: a\n\n"))
		if _, err := io.ReadFull(r.Body, event); err != nil || time.Since(began) > soon {
			t.Errorf("%d bytes of the next chunk: event 1 came after %s: %v", part, time.Since(began), err)
		}
		if rest, err := io.ReadAll(r.Body); err != nil || string(rest) != "id: 2\ndata: a\n\n" {
			t.Errorf("%d bytes of the next chunk: got %q, %v", part, rest, err)
		}
		_ = r.Body.Close()
	}
}

// Guards against the last event of a stream that is held back until the end of the body arrives, which its server sends
// after a silence.
func TestLastEventIsForwardedBeforeTheEndOfTheBody(t *testing.T) {
	const silence, soon = 500 * time.Millisecond, 200 * time.Millisecond
	whole := "id: 1\ndata: a\n\nid: 2\ndata: a\n\n"
	// The parts end after the chunk, within, after and behind the size of the last one.
	for _, part := range []int{20, 21, 23, 24} {
		f := newFixture(t, silentWithinChunk(silence, part))
		began := time.Now()
		q, err := http.NewRequest(http.MethodPost, f.front.URL+"/resume/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Host = "h"
		q.Header.Set("A-Id", "r")
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(whole))
		if _, err := io.ReadFull(r.Body, got); err != nil || string(got) != whole || time.Since(began) > soon {
			t.Errorf("%d bytes after event 1: got %q after %s: %v", part, got, time.Since(began), err)
		}
		if rest, err := io.ReadAll(r.Body); err != nil || len(rest) > 0 || f.servers[0].count() != 1 {
			t.Errorf("%d bytes after event 1: got %q more, %v, after %d attempts", part, rest, err, f.servers[0].count())
		}
		_ = r.Body.Close()
	}
}

// Guards against streams that don't end, or that end whole, after a last chunk that is followed by a trailer, by nothing or
// by lines without an end.
func TestStreamEndsWithItsTrailer(t *testing.T) {
	event := "id: 1\ndata: a\n\n"
	for trailer, ok := range map[string]bool{"\r\n": true, "X-Sum: 1\r\nX-End: 2\r\n\r\n": true, "": false, "X-Sum: 1\r\n": false, strings.Repeat("X: 1\r\n", 1<<10): false} {
		f := newFixture(t, func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s", q.Header.Get("A-Id"), len(event), event, trailer)
			return ok
		})
		for i := range 2 {
			if g := f.request(t, fmt.Sprint(i), http.MethodPost, "/stream/x"); (g.err == nil) != ok || g.body != event {
				t.Errorf("trailer of %d bytes: got %q, %v", len(trailer), g.body, g.err)
			}
		}
	}
}
