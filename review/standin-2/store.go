package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Sizes of the pages' sheet: KV cache of a token, and the link and the latency of the larger stores.
const (
	tokenBytes   = 35136
	storeLink    = 79e9 / 8
	firstTime    = 6 * time.Millisecond
	storeTokens  = 545415
	longestQueue = 2 * time.Second
)

// part is a part of a prompt under its salt.
type part struct{ salt, id string }

// kept is a part in a store. Until it is complete, and for ever if its writer broke off, it is partial.
type kept struct {
	tokens int
	whole  bool
	broken bool
	// since is when it became whole.
	since time.Time
}

// store is a stand-in of a store with `managed`.
type store struct {
	place      *place
	name, zone string
	address    string
	listTime   time.Duration
	server     *http.Server
	mu         sync.Mutex
	epoch      int64
	up         bool
	parts      map[part]*kept
	events     feed
	linkFree   time.Time
	// room is how many tokens it holds, slow how many times as long transfers take.
	room, slow int
	// listedAt is when it last answered a list.
	listedAt time.Time
	// listing, if not nil, is closed when the next list has been answered.
	listing chan struct{}
}

func newStore(p *place, name, ip, zone string, listTime time.Duration) (*store, error) {
	s := &store{place: p, name: name, zone: zone, address: ip + ":8746", listTime: listTime, events: newFeed(), room: storeTokens, slow: 1}
	return s, s.boot()
}

// boot starts the store, empty.
func (s *store) boot() error {
	l, err := listen(s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.epoch, s.up, s.parts, s.linkFree = time.Now().UnixNano(), true, map[part]*kept{}, time.Time{}
	s.events.restart()
	s.mu.Unlock()
	m := http.NewServeMux()
	m.HandleFunc("GET "+names["events"], s.serveEvents)
	m.HandleFunc("GET "+names["list"], s.serveList)
	m.HandleFunc("POST "+names["free"], s.serveFree)
	m.HandleFunc("GET "+names["report"], func(w http.ResponseWriter, _ *http.Request) {
		s.reply(w, map[string]any{"kv_used": 0, "kv_total": s.room})
	})
	s.server = &http.Server{Handler: m}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// crash ends the store. Its parts are lost.
func (s *store) crash() {
	s.mu.Lock()
	s.up, s.parts = false, map[part]*kept{}
	s.events.restart()
	s.mu.Unlock()
	_ = s.server.Close()
}

func (s *store) reply(w http.ResponseWriter, v map[string]any) {
	s.mu.Lock()
	v["boot_epoch"], v["clock_ms"] = s.epoch, time.Now().UnixMilli()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveEvents(w http.ResponseWriter, q *http.Request) {
	next, lost, all := s.events.since(q, &s.mu)
	s.reply(w, map[string]any{"next": next, "lost": lost, "events": all})
}

func (s *store) serveList(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(s.listTime)
	held, partial := [][]any{}, [][]any{}
	s.mu.Lock()
	next := len(s.events.all)
	for p, k := range s.parts {
		if k.whole {
			held = append(held, []any{p.salt, p.id, k.tokens, modelName})
		} else {
			partial = append(partial, []any{p.salt, p.id, 0, k.tokens})
		}
	}
	s.mu.Unlock()
	s.place.note("%s lists %d whole parts and %d partial ones", s.name, len(held), len(partial))
	s.reply(w, map[string]any{"next": next, "held": held, "partial": partial})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listedAt = time.Now()
	if s.listing != nil {
		close(s.listing)
		s.listing = nil
	}
}

// nextList returns a channel that is closed once the store has answered another list.
func (s *store) nextList() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listing = make(chan struct{})
	return s.listing
}

// cutOff returns the IDs of the parts whose writes broke off.
func (s *store) cutOff() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for p, k := range s.parts {
		if k.broken {
			all = append(all, p.id)
		}
	}
	slices.Sort(all)
	return all
}

func (s *store) serveFree(w http.ResponseWriter, q *http.Request) {
	var order struct {
		Parts [][2]string `json:"parts"`
		Epoch *int64      `json:"boot_epoch"`
		Until *int64      `json:"until_ms"`
	}
	if json.NewDecoder(q.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	stale := order.Epoch != nil && *order.Epoch != s.epoch || order.Until != nil && time.Now().UnixMilli() > *order.Until
	if !stale {
		for _, x := range order.Parts {
			p := part{x[0], x[1]}
			if k := s.parts[p]; k != nil && k.whole {
				s.events.add("-", p, 0)
			}
			delete(s.parts, p)
		}
	}
	s.mu.Unlock()
	s.place.note("%s is told to free %v; out of date: %t", s.name, order.Parts, stale)
	if stale {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.reply(w, map[string]any{})
}

// transfer reserves the link for a transfer of so many tokens and returns when it ends, and false if it would wait too long.
// Transfers run one after another, and between zones they take twice as long. The caller holds the lock.
func (s *store) transfer(tokens int, zone string) (time.Time, bool) {
	now := time.Now()
	start := s.linkFree
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > longestQueue {
		return now, false
	}
	takes := time.Duration(float64(tokens*tokenBytes) / storeLink * float64(time.Second))
	if zone != s.zone {
		takes *= 2
	}
	s.linkFree = start.Add(firstTime + takes*time.Duration(s.slow))
	return s.linkFree, true
}

// save begins to write a part, whose space is reserved at once. It returns when the write has ended. It breaks off when the
// writer does.
func (s *store) save(p part, tokens int, zone string, broke <-chan struct{}) {
	s.mu.Lock()
	used := tokens
	for _, k := range s.parts {
		used += k.tokens
	}
	if !s.up || s.parts[p] != nil || used > s.room {
		s.mu.Unlock()
		return
	}
	ends, ok := s.transfer(tokens, zone)
	if !ok {
		s.mu.Unlock()
		return
	}
	k, epoch := &kept{tokens: tokens}, s.epoch
	s.parts[p] = k
	s.mu.Unlock()
	select {
	case <-time.After(time.Until(ends)):
	case <-broke:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch || s.parts[p] != k {
		return
	}
	if time.Now().Before(ends) {
		k.broken = true
		return
	}
	k.whole, k.since = true, time.Now()
	s.events.add("+", p, tokens)
}

// Outcomes of a fetch.
const (
	missed   = "missed"
	taken    = "taken"
	notWhole = "taken although it isn't whole"
	freed    = "taken although it was freed meanwhile"
	given    = "not taken"
)

// fetch fetches a part for an engine by the deadline. It reads all tokens for which space is reserved.
func (s *store) fetch(p part, zone string, until time.Time) string {
	s.mu.Lock()
	k := s.parts[p]
	if !s.up || k == nil {
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
		return missed
	}
	begins := s.linkFree
	ends, ok := s.transfer(k.tokens, zone)
	s.mu.Unlock()
	if !ok || ends.After(until) {
		return given
	}
	// What counts is the state when the transfer begins: a write that is queued before it has ended then.
	time.Sleep(time.Until(begins))
	s.mu.Lock()
	here, whole := s.parts[p] == k, k.whole
	s.mu.Unlock()
	if !here {
		return missed
	}
	time.Sleep(time.Until(ends))
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !whole:
		return notWhole
	case s.parts[p] != k:
		return freed
	}
	return taken
}

// setSlow sets how many times as long transfers take.
func (s *store) setSlow(x int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = x
}

// held returns how many parts are whole, and how many writes broke off.
func (s *store) held() (whole, broken int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.parts {
		if k.whole {
			whole++
		}
		if k.broken {
			broken++
		}
	}
	return whole, broken
}

// wholeSince returns since when the store has the whole part, and whether it has.
func (s *store) wholeSince(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, k := range s.parts {
		if p.id == id && k.whole {
			return k.since, true
		}
	}
	return time.Time{}, false
}

// lastListed returns when the store last answered a list.
func (s *store) lastListed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listedAt
}
