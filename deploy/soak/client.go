package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

// client sends requests through one proxy and keeps its connections open as long as possible.
type client struct {
	name       string
	http       *http.Client
	address    string
	record     *record
	executions *executions
	limits     *limits
	leaving    *leaving
	losses     *losses
	random     *rand.Rand
	// The balancer, if any, chooses among the fronts in place of the client's own entry. number is the client's.
	balancer      *balancer
	fronts        []*proxy
	entry, number int
	seed          uint64
}

// newClient returns a client of the entry with the given index.
func (s *site) newClient(name string, entry int, seed uint64) *client {
	return &client{
		name: name, address: s.fronts[entry].address(), entry: entry, fronts: s.fronts, seed: s.seed, record: s.record, executions: s.executions, limits: s.limits,
		leaving: s.leaving, losses: s.losses, random: rand.New(rand.NewPCG(seed, 7)),
		// net/http would retry a request on its own after a connection error, and the
		// soak would attribute the second execution to the site. send therefore sends a
		// body that can't be rewound.
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: keptConnections,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
}

// keptConnections is how many idle connections a client keeps.
const keptConnections = 16

// request is a request of a client.
type request struct {
	id, kind string
	tenant   int
	body     string
	// number makes the last part of a prompt unique, part chooses its first part.
	number, part int
	// address is where the request is sent, empty for the client's entry. closes is set if its connection isn't kept.
	address string
	closes  bool
}

var requestKinds = []string{"read", "once", "once", "stream", "prompt"}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c.send(ctx, c.draw(n))
		sleep(ctx, time.Duration(c.random.IntN(15))*time.Millisecond)
	}
}

// draw returns a random request.
func (c *client) draw(n int) request {
	q := request{id: fmt.Sprintf("%s-%d", c.name, n), number: n}
	q.kind = requestKinds[c.random.IntN(len(requestKinds))]
	q.tenant = 1 + c.random.IntN(2)
	q.body = strings.Repeat("x", c.random.IntN(2000))
	if q.kind == "prompt" {
		q.part = c.random.IntN(20)
	}
	if c.balancer != nil {
		c.balance(&q)
	}
	return q
}

// send sends a request, checks its answer, and returns whether it was served.
func (c *client) send(running context.Context, x request) bool {
	kept, sentAt := false, time.Now()
	ctx, cancel := context.WithTimeout(running, 5*time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	// net/http can't rewind this reader, and so doesn't send the body twice.
	address := cmp.Or(x.address, c.address)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+x.kind+"/"+x.id, io.NopCloser(strings.NewReader(x.body)))
	if err != nil {
		c.record.reportViolation("request: %v", err)
		return false
	}
	q.Host, q.ContentLength = "soak", int64(len(x.body))
	q.Close = x.closes
	q.Header.Set("Attempt-Id", x.id)
	q.Header.Set("X-Api-Key", fmt.Sprint("k", x.tenant))
	q.Header.Set("Deadline-Ms", "4000")
	q.Header.Set("Tenant", "forged")
	if x.kind == "prompt" {
		q.Header.Set("Model", model)
		q.Header.Set("Token-Counts", "120,12")
		q.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:80,%x:40", x.part, x.number+1000))
	}
	r, err := c.http.Do(q)
	var b []byte
	if err == nil {
		defer r.Body.Close()
		b, err = io.ReadAll(r.Body)
	}
	if err != nil {
		c.record.countAnswer(x.kind, 0)
		if ctx.Err() == nil {
			c.losses.checkLost(x, sentAt, kept, err)
		}
		return false
	}
	c.record.countAnswer(x.kind, r.StatusCode)
	if r.Header.Get("Server-Limit") != "" {
		c.limits.recordPassedOn(x.id, r.Header.Get("Instance-Id"))
	}
	if r.Header.Get("Server-Leaving") == "1" {
		c.leaving.recordPassedOn(x.id, r.Header.Get("Instance-Id"))
	}
	c.checkAnswer(x.kind, x.id, fmt.Sprint("t", x.tenant), x.body, r.StatusCode, string(b))
	return r.StatusCode == http.StatusOK
}

// checkAnswer checks a complete answer.
func (c *client) checkAnswer(kind, attempt, tenant, body string, status int, got string) {
	switch status {
	case http.StatusOK:
		want := fmt.Sprintf("%s /%s/%s %s", attempt, kind, attempt, body)
		if kind == "stream" || kind == "prompt" {
			want = wholeStream(attempt, got)
		}
		if got != want {
			c.record.reportViolation("%s got a wrong answer: %.120q", attempt, got)
		}
		c.executions.mu.Lock()
		ranFor := c.executions.tenants[attempt]
		c.executions.mu.Unlock()
		if ranFor != tenant {
			c.record.reportViolation("%s ran for %q, not for %q", attempt, ranFor, tenant)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.record.addNotRun(attempt)
	case http.StatusNotFound, http.StatusUnauthorized, http.StatusBadRequest:
		c.record.reportViolation("%s was rejected with %d", attempt, status)
	}
	if kind == "once" && c.executions.count(attempt) > 1 {
		c.record.reportViolation("%s ran %d times", attempt, c.executions.count(attempt))
	}
}

// wholeStream returns the stream of an attempt as a server of the version sends it that wrote the first event of got.
func wholeStream(attempt, got string) string {
	_, software, _ := strings.Cut(got, "data: "+attempt+" ")
	software, _, _ = strings.Cut(software, "\n")
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %s\n\n", n, attempt, software)
	}
	return b.String()
}
