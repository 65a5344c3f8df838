package observe

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/serve/share"
)

const (
	// shards is the number of locks; entries see tens of servers.
	shards = 16
	// failureWeight is the part of the newest attempt in the share of failures: about the last ten count.
	failureWeight = 0.12
	// latencyWeight is the part of the newest answer in the mean latency.
	latencyWeight = 0.15
	// asideStreak is how many attempts in a row without any answer set a server aside.
	asideStreak = 2
	// asideFirst and asideMost bound how long; it doubles with each further failure.
	asideFirst = time.Second
	asideMost  = 6 * time.Second
	// refusedFor is how long others are told of a refused connection: a server that
	// crashed is back after a second at the earliest.
	refusedFor = time.Second
	// forgetAfter is how long a server without requests is remembered.
	forgetAfter = 2 * time.Minute
)

// Attempt is one request at a server.
type Attempt struct {
	// Server is the server's ID.
	Server string
	// PrefillTokens and ReservedTokens are the prompt's tokens to be read and the most that the request holds.
	PrefillTokens, ReservedTokens int
	// FetchTokens is how many tokens it fetches from each store, by the store's address.
	FetchTokens map[string]int
	// SentAt is when it was sent.
	SentAt time.Time

	started, fetched bool
}

// Tracker follows attempts.
type Tracker interface {
	// Begin notes a request that is sent.
	Begin(a Attempt) *Attempt
	// Started notes the first event of a stream.
	Started(a *Attempt, now time.Time)
	// End notes how the attempt ended.
	End(a *Attempt, o Outcome, now time.Time)
	// Report notes a server's own load.
	Report(server string, running, waiting, slots int, now time.Time)
	// Stats returns what is known of the server.
	Stats(server string) ServerStats
	// FetchTokens returns how many tokens are on their way from a store.
	FetchTokens(store string) int
	// Loads returns what this entry has at each server with prompts, and what it has fetched from each store as reading.
	Loads() share.Loads
}

type state struct {
	ServerStats
	touched time.Time
	aside   time.Duration
}

type shard struct {
	mu      sync.Mutex
	servers map[string]*state
}

type tracker struct {
	shards [shards]shard
	// mu guards fetching, the tokens on their way from each store.
	mu       sync.Mutex
	fetching map[string]int
}

// New returns a Tracker that knows nothing.
func New() Tracker {
	t := &tracker{fetching: map[string]int{}}
	for i := range t.shards {
		t.shards[i].servers = map[string]*state{}
	}
	return t
}

func (t *tracker) shard(server string) *shard {
	return &t.shards[xxhash.Sum64String(server)%shards]
}

// state returns the state of a server; the caller holds the lock.
func (s *shard) state(server string, now time.Time) *state {
	x, ok := s.servers[server]
	if !ok {
		s.sweep(now)
		x = &state{}
		s.servers[server] = x
	}
	x.touched = now
	return x
}

func (s *shard) sweep(now time.Time) {
	for id, x := range s.servers {
		if x.InFlight == 0 && now.Sub(x.touched) > forgetAfter {
			delete(s.servers, id)
		}
	}
}

// Begin implements Tracker.
func (t *tracker) Begin(a Attempt) *Attempt {
	s := t.shard(a.Server)
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.state(a.Server, a.SentAt)
	x.InFlight++
	x.SentSinceReport++
	x.PrefillTokens += a.PrefillTokens
	x.ReservedTokens += a.ReservedTokens
	t.fetch(&a, 1)
	return &a
}

// fetch counts what an attempt fetches, until its first event or its end.
func (t *tracker) fetch(a *Attempt, sign int) {
	if sign < 0 && a.fetched {
		return
	}
	a.fetched = sign < 0
	t.mu.Lock()
	defer t.mu.Unlock()
	for store, tokens := range a.FetchTokens {
		t.fetching[store] += sign * tokens
		if t.fetching[store] <= 0 {
			delete(t.fetching, store)
		}
	}
}

// FetchTokens implements Tracker.
func (t *tracker) FetchTokens(store string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fetching[store]
}

// Started implements Tracker.
func (t *tracker) Started(a *Attempt, now time.Time) {
	s := t.shard(a.Server)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(a.Server, now).start(a, now)
	t.fetch(a, -1)
}

func (x *state) start(a *Attempt, now time.Time) {
	if a.started {
		return
	}
	a.started = true
	x.PrefillTokens -= a.PrefillTokens
	x.answered(now.Sub(a.SentAt), now)
}

func (x *state) answered(took time.Duration, now time.Time) {
	x.Answered = now
	x.ConsecutiveLosses, x.aside = 0, 0
	x.EjectedUntil = time.Time{}
	if x.Latency == 0 {
		x.Latency = took
		return
	}
	x.Latency += time.Duration(latencyWeight * float64(took-x.Latency))
}

// End implements Tracker.
func (t *tracker) End(a *Attempt, o Outcome, now time.Time) {
	s := t.shard(a.Server)
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.state(a.Server, now)
	x.InFlight--
	x.ReservedTokens -= a.ReservedTokens
	if o == Served {
		x.start(a, now)
	} else if !a.started {
		x.PrefillTokens -= a.PrefillTokens
	}
	x.judge(o, now)
	t.fetch(a, -1)
}

// judge counts an outcome.
//
// A server that crashed in silence, or that hangs while its health check is
// good, shows only in answers that don't come. Two in a row set it aside for a
// moment that doubles; one request then tries it again.
func (x *state) judge(o Outcome, now time.Time) {
	switch o {
	case Abandoned, Rejected:
		return
	case Misdirected:
		// The next announcement tells more; until it comes each try would be in vain.
		x.EjectedUntil = now.Add(asideFirst)
		return
	case Served:
		x.Failures -= failureWeight * x.Failures
		return
	case Failed:
		x.Answered = now
		x.ConsecutiveLosses = 0
	case Lost, Unreachable, Refused:
		if o == Refused {
			x.Refused = now
		}
		x.ConsecutiveLosses++
		if x.ConsecutiveLosses >= asideStreak || o != Lost {
			x.aside = min(asideMost, max(asideFirst, 2*x.aside))
			x.EjectedUntil = now.Add(x.aside)
		}
	}
	x.Failures += failureWeight * (1 - x.Failures)
}

// Report implements Tracker.
func (t *tracker) Report(server string, running, waiting, slots int, now time.Time) {
	s := t.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.state(server, now)
	x.Running, x.Waiting, x.Slots, x.Reported, x.SentSinceReport = running, waiting, slots, now, 0
}

// Stats implements Tracker.
func (t *tracker) Stats(server string) ServerStats {
	s := t.shard(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.servers[server]; ok {
		return x.ServerStats
	}
	return ServerStats{}
}

// Loads implements Tracker.
func (t *tracker) Loads() share.Loads {
	all, now := share.Loads{}, time.Now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, x := range s.servers {
			refused := 0
			if now.Sub(x.Refused) < refusedFor {
				refused = 1
			}
			if x.ReservedTokens > 0 || refused > 0 {
				all[id] = share.Load{InFlight: x.InFlight, PrefillTokens: x.PrefillTokens, ReservedTokens: x.ReservedTokens, RefusedEntries: refused}
			}
		}
		s.mu.Unlock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for store, tokens := range t.fetching {
		all[store] = share.Load{PrefillTokens: tokens}
	}
	return all
}
