package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stampServers is how many servers the service has. One of them is grey, a share of 0.143; the pages have 0.14 to 0.15.
	stampServers = 7
	// greyTime is how long it is grey: for_s of the pages.
	greyTime = 6500 * time.Millisecond
	// The grey server fails greyFails in greyEvery of its requests.
	greyEvery, greyFails = 5, 2
	// stamps is how many requests the clients send, one every stampPause.
	stamps     = 200
	stampPause = 20 * time.Millisecond
)

const refusedConfig = `{"version":3,"routes":[{"name":"r-stamp","host":"pule25.example","path_prefix":"/stamp/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"desk","max_attempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"desk","health_check":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"jeye930","api_keys":["key-1"],"priority":1}]}`

// runs holds which attempts have run, and for which batch.
type runs struct {
	mu       sync.Mutex
	attempts map[string]bool
	batches  map[string]int
}

func (r *runs) add(attempt, batch string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[attempt] = true
	r.batches[batch]++
}

func (r *runs) ran(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[attempt]
}

// refused has one server fail part of the requests that it has run with a 503 that doesn't say that the request has not
// run, and checks that no caller is told so.
func refused(s *site, trouble bool) error {
	all := &runs{attempts: map[string]bool{}, batches: map[string]int{}}
	var greyUntil atomic.Int64
	for i := range stampServers {
		grey, served := trouble && i == 0, 0
		var mu sync.Mutex
		handle := func(x *server, w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get(names["attempt"])
			b, err := io.ReadAll(q.Body)
			if err != nil || id == "" {
				return
			}
			mu.Lock()
			served++
			fails := grey && served%greyEvery < greyFails && time.Now().UnixMilli() < greyUntil.Load()
			mu.Unlock()
			all.add(id, string(b))
			time.Sleep(15 * time.Millisecond)
			w.Header().Set(names["attempt"], id)
			w.Header().Set(names["stamp"], "3e1b.07."+id)
			w.Header().Set(names["load"], "1,0,6")
			if fails {
				s.record.note("%s runs %s for %s and answers 503 without saying that it hasn't run", x.id, id, b)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			fmt.Fprintf(w, "stamped %s", b)
		}
		if _, err := s.addServer(fmt.Sprint("i-desk-", i+1), "desk", zones[i%len(zones)], "[]", 6, handle); err != nil {
			return err
		}
	}
	if status, err := s.putConfig(refusedConfig); err != nil || status != http.StatusOK {
		return fmt.Errorf("%w: the config got %d, %w", errNotRun, status, err)
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	greyUntil.Store(time.Now().Add(greyTime).UnixMilli())
	served := 0
	for n := range stamps {
		if s.stampBatch(all, n) {
			served++
		}
		time.Sleep(stampPause)
	}
	twice := 0
	for batch, n := range all.batches {
		if n > 1 {
			twice++
			s.record.note("%s was stamped %d times", batch, n)
		}
	}
	s.record.note("%d of %d batches answered with success, %d stamped more than once", served, stamps, twice)
	if served < stamps/2 {
		return fmt.Errorf("%w: only %d batches were answered", errNotRun, served)
	}
	return nil
}

// stampBatch sends a request as the provider's clients do: again, once, after a status that promises that it hasn't run.
func (s *site) stampBatch(all *runs, n int) bool {
	batch := fmt.Sprint("batch-", n)
	for try := range 2 {
		id := fmt.Sprintf("9c41d07be2a%04d%d", n, try)
		q, err := http.NewRequest(http.MethodPost, "http://"+s.entries[(n+try)%len(s.entries)].ip+":8005/stamp/2f", strings.NewReader(batch))
		if err != nil {
			return false
		}
		q.Host = "pule25.example"
		q.Header.Set(names["attempt"], id)
		q.Header.Set("Deadline-Ms", "1500")
		q.Header.Set("X-Api-Key", "key-1")
		r, err := client.Do(q)
		if err != nil {
			s.record.note("%s for %s: %v", id, batch, err)
			return false
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		switch r.StatusCode {
		case http.StatusOK:
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			s.record.note("%s for %s: status %d, %s", id, batch, r.StatusCode, r.Header.Get(names["stamp"]))
			if all.ran(id) {
				s.record.breach("REFUSED: %s for %s was answered %d and has run", id, batch, r.StatusCode)
			}
		default:
			s.record.note("%s for %s: status %d", id, batch, r.StatusCode)
			return false
		}
	}
	return false
}
