package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Terms of the guarantee to a server that requests a backoff: from backoffGrace after it has requested one of an
// entry until the end of the backoff it gets at most backoffRequests requests from that entry, unless
// the entry got a signal since or the connections to the server were disturbed.
const (
	backoffGrace    = 500 * time.Millisecond
	backoffRequests = 2
)

const (
	// maxBackoffInterval is the longest time between two periods in which a server refuses all
	// requests, backoffDuration how long each lasts.
	maxBackoffInterval = 5 * time.Second
	backoffDuration    = 4 * time.Second
)

// backoffTexts are the values of Retry-After that servers send, with the backoff that each means.
var backoffTexts = []struct {
	text    string
	backoff time.Duration
}{
	{"2", 2 * time.Second},
	{"1.5", 1500 * time.Millisecond},
	{"3", 3 * time.Second},
	{"2", 2 * time.Second},
	{"-1", 0},
	{"Wed, 21 Oct 2026 07:28:00 GMT", 0},
	{"1e999", 0},
}

// backoffs holds the servers of a run that refuse requests, and the entries of which they requested a backoff.
type backoffs struct {
	record *record
	limits *limits

	mu sync.Mutex
	// refusing maps the ID of a server that refuses requests to its value in backoffTexts.
	refusing  map[string]int
	requested map[entryLimit]*requestedBackoff
}

// requestedBackoff is a backoff requested of an entry.
type requestedBackoff struct {
	at, until time.Time
	requests  int
}

func newBackoffs(r *record, l *limits) *backoffs {
	return &backoffs{record: r, limits: l, refusing: map[string]int{}, requested: map[entryLimit]*requestedBackoff{}}
}

func (b *backoffs) set(server string, text int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusing[server] = text
}

func (b *backoffs) end(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.refusing, server)
}

// refuse checks that the entry of the attempt has no backoff to honor, and refuses the request
// if the server refuses requests.
func (b *backoffs) refuse(attempt string, s *server, w http.ResponseWriter) bool {
	e, now := b.limits.entry(attempt), time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	at := entryLimit{e, s.id}
	a := b.requested[at]
	if e != nil && a != nil && now.Before(a.until) && now.Sub(a.at) > backoffGrace && a.at.After(e.lastChange()) && s.proxy.undisturbedSince(a.at) {
		if a.requests++; a.requests > backoffRequests {
			b.record.reportViolation("%s requested a backoff of %s, and got %d requests in that time", s.id, e.name, a.requests)
		}
	}
	text, refusing := b.refusing[s.id]
	if !refusing {
		return false
	}
	x := backoffTexts[text]
	if e != nil && x.backoff > 0 && (a == nil || !now.Before(a.until)) {
		b.requested[at] = &requestedBackoff{at: now, until: now.Add(x.backoff)}
	}
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", x.text)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// changeBackoffs makes servers refuse requests and request a backoff at random times until end. It uses a
// separate random source, so that it does not change the faults of a seed.
func changeBackoffs(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 29))
	var all sync.WaitGroup
	defer all.Wait()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(maxBackoffInterval))))
		if !time.Now().Before(end) {
			return
		}
		s.mu.Lock()
		x := s.servers[r.IntN(len(s.servers))]
		s.mu.Unlock()
		text := r.IntN(len(backoffTexts))
		s.record.note("%s requests a backoff: %s", x.id, backoffTexts[text].text)
		s.backoffs.set(x.id, text)
		all.Go(func() {
			sleep(ctx, backoffDuration)
			s.record.note("%s accepts requests", x.id)
			s.backoffs.end(x.id)
		})
	}
}
