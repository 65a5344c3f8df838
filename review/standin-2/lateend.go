package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	plainServers, plainRequests = 6, 24
	// cutBefore is when after the requests the link is cut, and cutLength for how long.
	cutBefore, cutLength = time.Second, 1600 * time.Millisecond
	// crashAfter is when after the cut its server crashes, crashLength how long it is down.
	crashAfter, crashLength = 200 * time.Millisecond, time.Second
)

// lateEnd checks that no answer passes for whole whose server crashed before its end, if the end of the channel arrives late.
func lateEnd(p *place, trouble bool) (int, error) {
	servers, err := p.startPlain(2, true)
	defer func() {
		for _, s := range servers {
			s.crash()
		}
	}()
	if err != nil {
		return 0, err
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	broken, whole := 0, 0
	for i := range plainRequests {
		all.Go(func() {
			attempt := fmt.Sprint("a", i)
			status, stamp, body, err := p.stamp(i%2, attempt)
			ok := bytes.Equal(body, wholeBody(attempt))
			p.note("%s: status %d, stamp %q, %d of %d bytes, err %v", attempt, status, stamp, len(body), len(wholeBody(attempt)), err)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK && err == nil {
				if ok {
					whole++
				} else {
					broken++
				}
			}
		})
	}
	time.Sleep(cutBefore)
	s := servers[0]
	if trouble {
		s.link.cut()
		p.note("the link to %s is cut", s.id)
	}
	time.Sleep(crashAfter)
	s.crash()
	p.note("%s crashes", s.id)
	time.Sleep(crashLength)
	if err := s.boot(); err != nil {
		return 0, err
	}
	p.note("%s is back", s.id)
	if trouble {
		time.Sleep(cutLength - crashAfter - crashLength)
		s.link.heal()
		p.note("the link to %s is whole", s.id)
	}
	all.Wait()
	p.note("%d answers whole, %d not whole but taken for that", whole, broken)
	if whole == 0 {
		return 0, fmt.Errorf("%w: no request was served", errNotRun)
	}
	return broken, nil
}

// startPlain starts the system and plain servers, each behind a link or not, of which the entries have learned then.
func (p *place) startPlain(entries int, linked bool) (servers []*plain, err error) {
	if err := p.start(3, entries); err != nil {
		return nil, err
	}
	for i := range plainServers {
		s, err := newPlain(p, fmt.Sprint("i-desk-", i), fmt.Sprint(p.network, 100+i), linked)
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
	}
	config := map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "stamp", "host": "h.example", "path_prefix": "/stamp/", "kind": "non_idempotent", "timeout_ms": 12000, "target_latency_ms": 4000, "priority": 1,
			"service": "desk", "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "desk", "health_check": "/health", "max_connections": 300, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{"k1"}, "priority": 1}},
	}
	if err := p.putConfig(config); err != nil {
		return servers, err
	}
	if err := p.awaitReady(); err != nil {
		return servers, err
	}
	time.Sleep(4 * time.Second)
	return servers, nil
}

// stamp sends a request that may run once and returns its answer.
func (p *place) stamp(entry int, attempt string) (int, string, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/stamp/x", p.entries[entry].ip, frontPort), strings.NewReader("work"))
	if err != nil {
		return 0, "", nil, err
	}
	q.Host = "h.example"
	q.Header.Set(names["attempt"], attempt)
	q.Header.Set(names["key"], "k1")
	q.Header.Set(names["deadline"], "12000")
	r, err := p.http.Do(q)
	if err != nil {
		return 0, "", nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, r.Header.Get(names["stamp"]), b, err
}
