package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Terms of the guarantee on requests that crash each server that runs them. From
// crashContact after such a request has crashed crashedServers servers, or requests with one
// part crashedByPart servers, it reaches servers at most crashRetries times. Only requests
// from entries count that, like all replicas, got no signal in that time.
const (
	crashedServers = 3
	crashedByPart  = 5
	crashContact   = 3 * time.Second
	crashRetries   = 3
)

const (
	// crashPrefix begins the body of a request that crashes servers.
	crashPrefix = "crash-"
	// crashDuration is how long one such request is repeated, crashPause the longest time between two repetitions.
	crashDuration = 8 * time.Second
	crashPause    = 600 * time.Millisecond
	// replaceDelay is how long it takes until a crashed server is replaced.
	replaceDelay = 500 * time.Millisecond
)

// crashing holds what each of the crashing requests of a run has done, by its body, and each of the crashing parts.
type crashing struct {
	record   *record
	replicas []*process

	mu sync.Mutex
	// count is how many such requests there have been.
	count int
	runs  map[string]*crashingRuns
}

// crashingRuns is what one crashing request has done.
type crashingRuns struct {
	crashes int
	// lastAt is when it crashed the last server that it may.
	lastAt  time.Time
	retries int
}

func newCrashing(r *record) *crashing {
	return &crashing{record: r, runs: map[string]*crashingRuns{}}
}

// next returns the number of a new crashing request.
func (c *crashing) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return c.count - 1
}

// recordArrival records that a server gets a request with that content through the entry. The content may crash so many
// servers.
func (c *crashing) recordArrival(content string, servers int, e *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.runs[content]
	if x == nil {
		x = &crashingRuns{}
		c.runs[content] = x
	}
	x.crashes++
	if x.crashes == servers {
		x.lastAt = time.Now()
	}
	if x.crashes <= servers || time.Since(x.lastAt) <= crashContact || e == nil || !c.inTouch(e) {
		return
	}
	if x.retries++; x.retries > crashRetries {
		c.record.reportViolation("%s has crashed %d servers and reached %d more than %s after the first %d", content, x.crashes, x.retries, crashContact, servers)
	}
}

// inTouch returns whether neither the entry nor a replica has got a signal recently.
func (c *crashing) inTouch(e *process) bool {
	for _, p := range append([]*process{e}, c.replicas...) {
		if time.Since(p.lastChange()) <= crashContact {
			return false
		}
	}
	return true
}

// crashServer makes the server crash and has another one take its place, unless that has been done already.
func (s *site) crashServer(x *server) {
	x.crash()
	time.Sleep(replaceDelay)
	s.mu.Lock()
	at := slices.Index(s.servers, x)
	if at >= 0 {
		s.servers = slices.Delete(slices.Clone(s.servers), at, at+1)
	}
	closed := s.closed
	s.mu.Unlock()
	if at < 0 || closed {
		return
	}
	if err := s.addServer(x.service); err != nil {
		s.record.reportViolation("start a server: %v", err)
	}
}

// sendCrashing repeats crashing requests of all kinds through all entries until end. It uses a
// separate random source, so that it does not change the faults of a seed.
func sendCrashing(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 23))
	kinds := []string{"once", "prompt", "read", "stream"}
	for time.Now().Before(end) && ctx.Err() == nil {
		n := s.crashing.next()
		kind, body := kinds[n%len(kinds)], fmt.Sprint(crashPrefix, s.seed, "-", n)
		s.record.note("%s is repeated as %s", body, kind)
		for i, until := 0, time.Now().Add(crashDuration); time.Now().Before(until) && time.Now().Before(end) && ctx.Err() == nil; i++ {
			entry := r.IntN(len(s.fronts))
			attempt := fmt.Sprintf("crash%d-%d-%d", n, entry, i)
			go s.sendCrashingRequest(ctx, entry, kind, attempt, body, "1:80,2:40")
			sleep(ctx, time.Duration(r.Int64N(int64(crashPause))))
		}
	}
}

func (s *site) sendCrashingRequest(ctx context.Context, entry int, kind, attempt, body, prefix string) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.fronts[entry].address()+"/"+kind+"/crash", strings.NewReader(body))
	if err != nil {
		s.record.reportViolation("request: %v", err)
		return
	}
	q.Host, q.Close = "soak", true
	q.Header.Set("Attempt-Id", attempt)
	q.Header.Set("X-Api-Key", "k1")
	q.Header.Set("Deadline-Ms", "2000")
	if kind == "prompt" {
		q.Header.Set("Model", model)
		q.Header.Set("Token-Counts", "120,12")
		q.Header.Set("Prompt-Prefix", prefix)
	}
	if r, err := http.DefaultClient.Do(q); err == nil {
		s.record.countAnswer("crashing "+kind, r.StatusCode)
		_ = r.Body.Close()
	}
}
