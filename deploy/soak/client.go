package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	random     *rand.Rand
}

func newClient(name, address string, r *record, e *executions, serverLimits *limits, l *leaving, seed uint64) *client {
	return &client{
		name: name, address: address, record: r, executions: e, limits: serverLimits, leaving: l, random: rand.New(rand.NewPCG(seed, 7)),
		// net/http would retry a request on its own after a connection error, and the
		// soak would attribute the second execution to the site. sendRequest therefore sends a
		// body that can't be rewound.
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
}

var requestKinds = []string{"read", "once", "once", "stream", "prompt"}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c.sendRequest(ctx, n)
		sleep(ctx, time.Duration(c.random.IntN(15))*time.Millisecond)
	}
}

// sendRequest sends a request and checks its answer.
func (c *client) sendRequest(ctx context.Context, n int) {
	kind := requestKinds[c.random.IntN(len(requestKinds))]
	attempt := fmt.Sprintf("%s-%d", c.name, n)
	tenant := 1 + c.random.IntN(2)
	body := strings.Repeat("x", c.random.IntN(2000))
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	// net/http can't rewind this reader, and so doesn't send the body twice.
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/"+kind+"/"+attempt, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		c.record.reportViolation("request: %v", err)
		return
	}
	q.Host, q.ContentLength = "soak", int64(len(body))
	q.Header.Set("Attempt-Id", attempt)
	q.Header.Set("X-Api-Key", fmt.Sprint("k", tenant))
	q.Header.Set("Deadline-Ms", "4000")
	q.Header.Set("Tenant", "forged")
	if kind == "prompt" {
		q.Header.Set("Model", model)
		q.Header.Set("Token-Counts", "120,12")
		q.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:80,%x:40", c.random.IntN(20), n+1000))
	}
	r, err := c.http.Do(q)
	if err != nil {
		c.record.countAnswer(kind, 0)
		return
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		c.record.countAnswer(kind, 0)
		return
	}
	c.record.countAnswer(kind, r.StatusCode)
	if r.Header.Get("Server-Limit") != "" {
		c.limits.recordPassedOn(attempt, r.Header.Get("Instance-Id"))
	}
	if r.Header.Get("Server-Leaving") == "1" {
		c.leaving.recordPassedOn(attempt, r.Header.Get("Instance-Id"))
	}
	c.checkAnswer(kind, attempt, fmt.Sprint("t", tenant), body, r.StatusCode, string(b))
}

// checkAnswer checks a complete answer.
func (c *client) checkAnswer(kind, attempt, tenant, body string, status int, got string) {
	switch status {
	case http.StatusOK:
		want := fmt.Sprintf("%s /%s/%s %s", attempt, kind, attempt, body)
		if kind == "stream" || kind == "prompt" {
			want = wholeStream(attempt)
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

func wholeStream(attempt string) string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, attempt)
	}
	return b.String()
}
