package observe

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/serve/share"
)

const (
	// shards is the number of locks; an entry has tens of servers.
	shards = 16
	// failureWeight is the weight of the newest attempt in the failure rate, which covers about
	// the last ten attempts.
	failureWeight = 0.12
	// latencyWeight is the weight of the newest response in the mean latency.
	latencyWeight = 0.15
	// ejectionStreak is how many attempts in a row without any response eject a server.
	ejectionStreak = 2
	// minEjection and maxEjection bound the duration of an ejection, which doubles with each
	// further failure.
	minEjection = time.Second
	maxEjection = 6 * time.Second
	// RefusalWindow is how long other entries receive the report of a refused connection. A
	// crashed server is back after a second at the earliest.
	RefusalWindow = time.Second
	// forgetAfter is how long the state of a server without requests is kept.
	forgetAfter = 2 * time.Minute
)

// Attempt is one request at a server.
type Attempt struct {
	// Server is the server's ID, Incarnation when it started.
	Server      string
	Incarnation int64
	// Address is the server's address, Via that of the entry through which the connection leads,
	// empty if it is direct.
	Address, Via string
	// PrefillTokens and ReservedTokens are the prompt tokens to prefill and the maximum number of
	// tokens that the request needs.
	PrefillTokens, ReservedTokens int
	// FetchTokens is how many tokens it fetches from each store, by the store's address.
	FetchTokens map[string]int
	// SentAt is when it was sent.
	SentAt time.Time

	// silent is set while a loss is recorded because the server is silent.
	started, fetched, silent bool
}

// Started returns whether the first event of the attempt has arrived.
func (a *Attempt) Started() bool {
	return a.started
}

// Tracker tracks attempts.
type Tracker interface {
	// Begin records a request that is sent.
	Begin(a Attempt) *Attempt
	// Started records the first event of a stream.
	Started(a *Attempt, now time.Time)
	// Silent records that the server has been silent for so long that it may be lost, once. The attempt
	// continues.
	Silent(a *Attempt, now time.Time)
	// EndSilence records that a server that was silent continues.
	EndSilence(a *Attempt, now time.Time)
	// EventGap records the time between two consecutive events of a stream.
	EventGap(a *Attempt, gap time.Duration)
	// End records how the attempt ended.
	End(a *Attempt, o Outcome, now time.Time)
	// Report records a server's own load report.
	Report(server string, running, waiting, slots int, now time.Time)
	// Stats returns what is known of the server.
	Stats(server string) ServerStats
	// FetchTokens returns how many tokens are being fetched from a store.
	FetchTokens(store string) int
	// Loads returns this entry's load at each server with prompts. The tokens being fetched from
	// each store are included as PrefillTokens.
	Loads() share.Loads
}

type state struct {
	ServerStats
	lastUsed time.Time
	ejection time.Duration
	gaps     eventGaps
}

type shard struct {
	mu      sync.Mutex
	servers map[string]*state
}

type tracker struct {
	shards [shards]shard
	// mu guards fetching, the tokens being fetched from each store.
	mu       sync.Mutex
	fetching map[string]int
}

// New returns an empty Tracker.
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
	x.lastUsed = now
	return x
}

func (s *shard) sweep(now time.Time) {
	for id, x := range s.servers {
		if x.InFlight == 0 && now.Sub(x.lastUsed) > forgetAfter {
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
	t.countFetch(&a, 1)
	return &a
}

// countFetch adds or removes the tokens that an attempt fetches, which count until its first
// event or its end.
func (t *tracker) countFetch(a *Attempt, sign int) {
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
	s.state(a.Server, now).recordStart(a, now)
	t.countFetch(a, -1)
}

// Silent implements Tracker.
func (t *tracker) Silent(a *Attempt, now time.Time) {
	if a.silent {
		return
	}
	a.silent = true
	s := t.shard(a.Server)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(a.Server, now).recordOutcome(Lost, now)
}

// EndSilence implements Tracker.
func (t *tracker) EndSilence(a *Attempt, now time.Time) {
	if !a.silent {
		return
	}
	a.silent = false
	s := t.shard(a.Server)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(a.Server, now).recordSign(now)
}

// EventGap implements Tracker.
func (t *tracker) EventGap(a *Attempt, gap time.Duration) {
	s := t.shard(a.Server)
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.state(a.Server, a.SentAt)
	x.gaps.record(gap)
	x.ServerStats.EventGap = x.gaps.estimate
}

func (x *state) recordStart(a *Attempt, now time.Time) {
	if a.started {
		return
	}
	a.started = true
	x.PrefillTokens -= a.PrefillTokens
	if a.SentAt.After(x.AnsweredSentAt) {
		x.AnsweredSentAt, x.AnsweredIncarnation = a.SentAt, a.Incarnation
	}
	x.recordResponse(now.Sub(a.SentAt), now)
}

func (x *state) recordResponse(took time.Duration, now time.Time) {
	x.recordSign(now)
	if x.Latency == 0 {
		x.Latency = took
		return
	}
	x.Latency += time.Duration(latencyWeight * float64(took-x.Latency))
}

// recordSign records that the server works.
func (x *state) recordSign(now time.Time) {
	x.RespondedAt = now
	x.ConsecutiveLosses, x.ejection = 0, 0
	x.EjectedUntil = time.Time{}
}

// takeLossBack removes a loss that was recorded for a silence that wasn't the server's.
func (x *state) takeLossBack() {
	x.ConsecutiveLosses, x.ejection = max(0, x.ConsecutiveLosses-1), 0
	x.EjectedUntil = time.Time{}
}

func (x *state) recordWorkTime(took time.Duration) {
	if x.WorkTime == 0 {
		x.WorkTime = took
		return
	}
	x.WorkTime += time.Duration(latencyWeight * float64(took-x.WorkTime))
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
		x.recordStart(a, now)
		x.recordWorkTime(now.Sub(a.SentAt))
	} else if !a.started {
		x.PrefillTokens -= a.PrefillTokens
	}
	switch {
	case o == NoPath && a.silent:
		x.takeLossBack()
	case o != Lost || !a.silent:
		x.recordOutcome(o, now)
	}
	t.countFetch(a, -1)
}

// recordOutcome updates the state of the server with an outcome.
//
// A server that crashed silently, or hangs while its health check passes, shows only in
// missing responses. Two in a row eject it for a time that doubles; then one request tries it
// again.
func (x *state) recordOutcome(o Outcome, now time.Time) {
	switch o {
	case Abandoned, Rejected, NoPath:
		return
	case Misdirected:
		// The next announcement brings the new state; until it arrives every attempt would fail.
		x.EjectedUntil = now.Add(minEjection)
		return
	case Served:
		x.Failures -= failureWeight * x.Failures
		return
	case Failed:
		x.RespondedAt = now
		x.ConsecutiveLosses = 0
	case Lost, Unreachable, Refused:
		if o == Refused {
			x.RefusedAt = now
		}
		x.ConsecutiveLosses++
		if x.ConsecutiveLosses >= ejectionStreak || o != Lost {
			x.ejection = min(maxEjection, max(minEjection, 2*x.ejection))
			x.EjectedUntil = now.Add(x.ejection)
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
	x.Running, x.Waiting, x.Slots, x.ReportedAt, x.SentSinceReport = running, waiting, slots, now, 0
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
			if now.Sub(x.RefusedAt) < RefusalWindow {
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
