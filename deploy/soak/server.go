package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamEvents is the number of events of a stream.
const streamEvents = 12

// executions counts what the servers executed of each attempt.
type executions struct {
	record *record
	mu     sync.Mutex
	runs   map[string]int
	// tenants is the workspace of each attempt.
	tenants map[string]string
	// late counts requests that arrived more than drainBound after a server's leave was acknowledged.
	late int
}

func (e *executions) recordRun(id, tenant string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	e.tenants[id] = tenant
}

func (e *executions) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// server is a stand-in for a backend server behind a proxy.
type server struct {
	id      string
	service string
	// software is the version of its software; it changes with a restart.
	software   string
	executions *executions
	limits     *limits
	// evacuations checks that the server gets no requests while its zone is evacuated.
	evacuations *evacuations
	zone        string
	http        *httptest.Server
	proxy       *proxy
	controls    []string
	stop        context.CancelFunc
	// engine is nil for servers of the plain service.
	engine *engine
	// backoffs holds the backoffs that it requests, leaving the entries that know by its responses that it leaves.
	backoffs *backoffs
	leaving  *leaving
	// crashing records the requests that crash servers, onCrash ends this one.
	crashing *crashing
	onCrash  func(s *server)
	// losses records the requests that the server gets, brittle when its service is brittle.
	losses  *losses
	brittle *brittle

	mu       sync.Mutex
	sequence int
	state    string
	// leaves is set once the server says in its responses that it leaves.
	leaves bool
	// leaveAcknowledged is when its leave was acknowledged.
	leaveAcknowledged time.Time
	dead              bool
	startedAt         int64
	// coldSince is when the server first started. A restart with other software doesn't make it cold: no entry can
	// know of one while no control replica runs.
	coldSince time.Time
	// coldArrivals are the times of the requests in the last second while the server is cold.
	coldArrivals []time.Time
	// running and waiting count its requests, rejections are those of the last second.
	running, waiting int
	rejections       []rejection
	// falling is set from a rejection too many until the server is back.
	falling bool
}

// drainBound is how long after the acknowledgment a leaving server may still get requests.
const drainBound = 2 * time.Second

// serverConfig holds what a server needs.
type serverConfig struct {
	id, service, zone, software string
	executions                  *executions
	limits                      *limits
	evacuations                 *evacuations
	controls                    []string
	// engine is nil for servers of the plain service.
	engine   *engine
	backoffs *backoffs
	leaving  *leaving
	crashing *crashing
	onCrash  func(s *server)
	cuts     *cuts
	losses   *losses
	brittle  *brittle
}

func newServer(c serverConfig) (*server, error) {
	s := &server{id: c.id, service: c.service, zone: c.zone, software: c.software, executions: c.executions, limits: c.limits, evacuations: c.evacuations, state: "ready", startedAt: time.Now().UnixMilli(), coldSince: time.Now(), engine: c.engine, backoffs: c.backoffs, leaving: c.leaving, crashing: c.crashing, onCrash: c.onCrash, losses: c.losses, brittle: c.brittle}
	s.http = httptest.NewServer(s)
	p, err := newProxy(strings.TrimPrefix(s.http.URL, "http://"), c.cuts)
	if err != nil {
		return nil, err
	}
	s.proxy = p
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.controls = c.controls
	go s.announce(ctx, c.controls)
	return s, nil
}

// ServeHTTP serves complete responses with a response stamp, and streams event by event.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	s.brittle.announce(s.service, w.Header())
	if s.engine.serveControl(w, q) {
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if want := q.Header.Get("Expect-Instance"); want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if !s.leaveAcknowledged.IsZero() && time.Since(s.leaveAcknowledged) > drainBound {
		s.executions.mu.Lock()
		s.executions.late++
		s.executions.mu.Unlock()
	}
	s.mu.Unlock()
	s.losses.recordRequest(id, s)
	s.evacuations.recordRequest(id, s, q.RemoteAddr)
	s.recordWhileCold(time.Now())
	s.limits.recordRequest(id, s, w.Header())
	w.Header().Set("Attempt-Id", id)
	if s.backoffs.refuse(id, s, w) {
		return
	}
	if s.leaving.recordRequest(id, s) {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Instance-Id", s.id)
	}
	if !s.engine.admits(w, q) {
		return
	}
	if strings.HasPrefix(string(body), crashPrefix) {
		s.crashBy(q, string(body), crashedServers)
		return
	}
	if p := crashingPart(q.Header.Get("Prompt-Prefix")); p != "" {
		s.crashBy(q, p, crashedByPart)
		return
	}
	if !s.admit(w, q, id) {
		return
	}
	defer s.release()
	s.executions.recordRun(id, q.Header.Get("Tenant"))
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Stamp", "mark")
	if strings.HasPrefix(q.RequestURI, "/stream/") || strings.HasPrefix(q.RequestURI, "/prompt/") {
		s.stream(w, q, id)
		return
	}
	time.Sleep(5 * time.Millisecond)
	_, _ = fmt.Fprintf(w, "%s %s %s", id, q.RequestURI, body)
}

// crashBy crashes the server for the content of a request, which may crash so many of them.
func (s *server) crashBy(q *http.Request, content string, servers int) {
	s.crashing.recordArrival(content, servers, s.limits.entry(q.Header.Get("Attempt-Id")))
	go s.onCrash(s)
	<-q.Context().Done()
}

func (s *server) stream(w http.ResponseWriter, q *http.Request, id string) {
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	software := s.software
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, id, software); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(15 * time.Millisecond)
	}
}

// announce sends heartbeats to a control replica, and switches to the next one after an error.
func (s *server) announce(ctx context.Context, controls []string) {
	for at := 0; ctx.Err() == nil; {
		if s.proxy.isDown() {
			sleep(ctx, 400*time.Millisecond)
			continue
		}
		status, state := s.announceOnce(ctx, controls[at%len(controls)])
		if status != http.StatusOK {
			at++
			continue
		}
		s.mu.Lock()
		if state == "draining" && s.leaveAcknowledged.IsZero() {
			s.leaveAcknowledged = time.Now()
		}
		s.mu.Unlock()
		sleep(ctx, 400*time.Millisecond)
	}
}

// announceOnce sends a heartbeat to a control replica and returns the status of the response and the announced state.
func (s *server) announceOnce(ctx context.Context, control string) (int, string) {
	s.mu.Lock()
	s.sequence++
	state := s.state
	h := heartbeat{
		id: s.id, service: s.service, address: s.proxy.address(), zone: s.zone, software: s.software, state: state, sequence: s.sequence,
		startedAt: s.startedAt, coldRemaining: s.coldRemaining(time.Now()), models: s.engine.models(),
	}
	s.mu.Unlock()
	return h.send(ctx, control), state
}

// announceAfter is how long a server says only in its responses that it leaves.
const announceAfter = 3 * time.Second

// leave makes the server say that it leaves, in its responses at once and in its announcements after a while.
// It keeps serving until it is stopped.
func (s *server) leave() {
	s.mu.Lock()
	s.leaves = true
	s.mu.Unlock()
	time.AfterFunc(announceAfter, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.state = "draining"
	})
}

// soundSince returns whether the server has lost nothing since the given time.
func (s *server) soundSince(at time.Time) bool {
	s.mu.Lock()
	dead := s.dead
	s.mu.Unlock()
	return !dead && s.proxy.soundSince(at)
}

// crash ends the server without an announcement.
func (s *server) crash() {
	s.mu.Lock()
	crashed := s.dead
	s.dead = true
	s.mu.Unlock()
	if crashed {
		return
	}
	s.stop()
	s.proxy.close()
	s.http.CloseClientConnections()
	s.http.Close()
}

func post(ctx context.Context, url, body string, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return 0
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	// Only the status is needed.
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
