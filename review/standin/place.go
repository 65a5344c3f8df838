package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// issues is how many requests the client sends, one every issuePause.
	issues     = 120
	issuePause = 20 * time.Millisecond
	// lostEvery is in how many answers of two servers in four one is lost: share 0.5 and x 0.05 of the pages; lostTime is their for_s.
	lostEvery = 20
	lostTime  = 4 * time.Second
)

// placeConfig returns a config; with the second route it has two routes for one host and prefix.
func placeConfig(version int, second bool) string {
	routes := `{"name":"r-issue","host":"Pule25.example","path_prefix":"/issue/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"desk","max_attempts":1}`
	if second {
		routes += `,{"name":"r-status","host":"pule25.example","path_prefix":"/issue/","kind":"idempotent","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"desk","max_attempts":2}`
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"desk","health_check":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"jeye930","api_keys":["key-1"],"priority":1}]}`, version, routes)
}

// place sends a config with two routes for one host and prefix, whose hosts differ in a capital letter. It must be refused, and
// no request of the route that was there may run twice.
func place(s *site, trouble bool) error {
	all := &runs{attempts: map[string]bool{}, batches: map[string]int{}}
	var lostUntil atomic.Int64
	for i := range 4 {
		var mu sync.Mutex
		served := 0
		handle := func(x *server, w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get(names["attempt"])
			b, err := io.ReadAll(q.Body)
			if err != nil || id == "" {
				return
			}
			all.add(id, id)
			mu.Lock()
			served++
			lost := trouble && i < 2 && served%lostEvery == lostEvery/2 && time.Now().UnixMilli() < lostUntil.Load()
			mu.Unlock()
			time.Sleep(15 * time.Millisecond)
			if lost {
				s.record.note("%s runs %s, and its answer is lost by a reset", x.id, id)
				resetConnection(w)
				return
			}
			w.Header().Set(names["attempt"], id)
			w.Header().Set(names["stamp"], "3e1b.07."+id)
			fmt.Fprintf(w, "issued %s", b)
		}
		if _, err := s.addServer(fmt.Sprint("i-desk-", i+1), "desk", zones[i%len(zones)], "[]", 6, handle); err != nil {
			return err
		}
	}
	if status, err := s.putConfig(placeConfig(3, false)); err != nil || status != http.StatusOK {
		return fmt.Errorf("%w: the first config got %d, %w", errNotRun, status, err)
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		status, err := s.putConfig(placeConfig(7, true))
		if err != nil {
			return err
		}
		s.record.note("the config with two routes for one host and prefix got %d", status)
		if status == http.StatusOK {
			s.record.breach("CONFIG: an invalid config was acknowledged")
		}
		time.Sleep(configApply + configSlack)
	}
	lostUntil.Store(time.Now().Add(lostTime).UnixMilli())
	for n := range issues {
		s.sendIssue(n)
		time.Sleep(issuePause)
	}
	for id, n := range all.batches {
		if n > 1 {
			s.record.breach("TWICE: %s of the non_idempotent route ran %d times", id, n)
		}
	}
	return nil
}

// resetConnection resets the connection of a request.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (s *site) sendIssue(n int) {
	id := fmt.Sprintf("9c41d07be2b%05d", n)
	q, err := http.NewRequest(http.MethodPost, "http://"+s.entries[n%len(s.entries)].ip+":8005/issue/2f", strings.NewReader(id))
	if err != nil {
		return
	}
	q.Host = "Pule25.example"
	q.Header.Set(names["attempt"], id)
	q.Header.Set("Deadline-Ms", "1500")
	q.Header.Set("X-Api-Key", "key-1")
	r, err := client.Do(q)
	if err != nil {
		s.record.note("%s: %v", id, err)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	if r.StatusCode != http.StatusOK {
		s.record.note("%s: status %d", id, r.StatusCode)
	}
}
