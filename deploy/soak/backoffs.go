package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Terms of the guarantee to a server that asks for rest: from restGrace after it has asked an
// entry until the end of the rest it gets at most restRequests requests from that entry, unless
// the entry got a signal since or the connections to the server were disturbed.
const (
	restGrace    = 500 * time.Millisecond
	restRequests = 2
)

const (
	// maxRestInterval is the longest time between two spells in which a server refuses all
	// requests, restSpell how long each lasts.
	maxRestInterval = 5 * time.Second
	restSpell       = 4 * time.Second
)

// restTexts are the values of Retry-After that servers send, with the rest that each means.
var restTexts = []struct {
	text string
	rest time.Duration
}{
	{"2", 2 * time.Second},
	{"1.5", 1500 * time.Millisecond},
	{"3", 3 * time.Second},
	{"2", 2 * time.Second},
	{"-1", 0},
	{"Wed, 21 Oct 2026 07:28:00 GMT", 0},
	{"1e999", 0},
}

// rests holds the servers of a run that refuse requests, and the entries that they asked for rest.
type rests struct {
	record *record
	limits *limits

	mu sync.Mutex
	// refusing maps the ID of a server that refuses requests to its value in restTexts.
	refusing map[string]int
	asked    map[entryLimit]*askedRest
}

// askedRest is the rest that an entry was asked for.
type askedRest struct {
	at, until time.Time
	requests  int
}

func newRests(r *record, l *limits) *rests {
	return &rests{record: r, limits: l, refusing: map[string]int{}, asked: map[entryLimit]*askedRest{}}
}

func (r *rests) set(server string, text int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing[server] = text
}

func (r *rests) end(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.refusing, server)
}

// refuse checks that the entry of the attempt wasn't asked for rest before, and refuses the request
// if the server refuses requests.
func (r *rests) refuse(attempt string, s *server, w http.ResponseWriter) bool {
	e, now := r.limits.entry(attempt), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	at := entryLimit{e, s.id}
	a := r.asked[at]
	if e != nil && a != nil && now.Before(a.until) && now.Sub(a.at) > restGrace && a.at.After(e.lastChange()) && s.proxy.undisturbedSince(a.at) {
		if a.requests++; a.requests > restRequests {
			r.record.reportViolation("%s asked %s for rest, and got %d requests in that time", s.id, e.name, a.requests)
		}
	}
	text, refusing := r.refusing[s.id]
	if !refusing {
		return false
	}
	x := restTexts[text]
	if e != nil && x.rest > 0 && (a == nil || !now.Before(a.until)) {
		r.asked[at] = &askedRest{at: now, until: now.Add(x.rest)}
	}
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", x.text)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// changeRests makes servers refuse requests and ask for rest at random times until end. It uses a
// separate random source, so that it does not change the faults of a seed.
func changeRests(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 29))
	var all sync.WaitGroup
	defer all.Wait()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(maxRestInterval))))
		if !time.Now().Before(end) {
			return
		}
		s.mu.Lock()
		x := s.servers[r.IntN(len(s.servers))]
		s.mu.Unlock()
		text := r.IntN(len(restTexts))
		s.record.note("%s asks for rest: %s", x.id, restTexts[text].text)
		s.rests.set(x.id, text)
		all.Go(func() {
			sleep(ctx, restSpell)
			s.record.note("%s accepts requests", x.id)
			s.rests.end(x.id)
		})
	}
}
