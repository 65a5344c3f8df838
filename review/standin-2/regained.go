package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes and times of the case.
const (
	sharedTokens, ownTokens = 12800, 40
	sharedParts             = 16
	enginesStarted          = 9
	// ownLarge is the size of the largest prompt of the sheet, without shared parts; fillers are enough of these for the engines'
	// memory.
	ownLarge, fillers = 17000, 63
	// frozen is how long a machine of the core is frozen, caughtUp how long it counts as lost after that.
	frozen, caughtUp = 1200 * time.Millisecond, 4 * time.Second
	// storeDown is how long the store is down. It is used again some seconds after it has returned.
	storeDown, storeUsed = 2 * time.Second, 8 * time.Second
	// quickList and slowList are how long the two stores take to list their parts.
	quickList, slowList = 20 * time.Millisecond, 300 * time.Millisecond
	maxHandOvers        = 8
)

// kvSite is a deployment with engines and two stores.
type kvSite struct {
	*place
	stores  [2]*store
	engines []*engine

	mu       sync.Mutex
	started  int
	broken   int
	fetches  map[string]int
	crashes  int
	crashing bool
	// placed is the store to which each shared part was last saved.
	placed map[string]string
}

func newKVSite(p *place, entries, room int) (*kvSite, error) {
	s := &kvSite{place: p, fetches: map[string]int{}, placed: map[string]string{}}
	for i, list := range []time.Duration{quickList, slowList} {
		x, err := newStore(p, fmt.Sprint("store-", i), fmt.Sprint(p.network, 150+i), zones[1], list)
		if err != nil {
			return nil, err
		}
		x.room = room
		s.stores[i] = x
	}
	if err := p.start(3, entries); err != nil {
		return nil, err
	}
	for range enginesStarted {
		if err := s.addEngine(); err != nil {
			return nil, err
		}
	}
	if err := p.putConfig(s.config()); err != nil {
		return nil, err
	}
	return s, p.awaitReady()
}

func (s *kvSite) addEngine() error {
	s.mu.Lock()
	n := s.started
	s.started++
	s.mu.Unlock()
	e, err := newEngine(s.place, fmt.Sprint("i-engine-", n), fmt.Sprint(s.network, 100+n), zones[n%len(zones)], s.stores[:])
	if err != nil {
		return err
	}
	e.onFetch, e.onSave = s.fetched, s.saving
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = append(s.engines, e)
	return nil
}

// config is a config as on the pages, with one route.
func (s *kvSite) config() any {
	services := []any{map[string]any{
		"name": "signal-llm", "health_check": "/health", "max_connections": 620, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": engineSlots, "kv_capacity_tokens": engineTokens, "kv_token_bytes": tokenBytes, "link_mbps": 130000.0, "moves": true, "backups": true,
			"managed": true, "stride": 3, "max_concurrent": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": modelName}},
		},
	}}
	for _, x := range s.stores {
		services = append(services, map[string]any{
			"name": x.name, "kv_store_addr": x.address, "zone": x.zone, "kv_capacity_tokens": x.room, "link_mbps": 79000.0, "max_concurrent": 12, "managed": true, "first_ms": 6.0,
		})
	}
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "audit", "host": "h.example", "path_prefix": "/audit/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1000, "priority": 1,
			"service": "signal-llm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 400,
		}},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{"k1"}, "priority": 1}},
	}
}

// fetched records how a fetch ended.
func (s *kvSite) fetched(e *engine, attempt string, p part, store, outcome string) {
	s.mu.Lock()
	s.fetches[outcome]++
	if outcome == notWhole || outcome == freed {
		s.broken++
	}
	s.mu.Unlock()
	s.note("%s: part %s from %s at %s: %s", attempt, p.id, store, e.id, outcome)
}

// saving records that an engine begins to save a part, and crashes the engine meanwhile if the case wants that.
func (s *kvSite) saving(e *engine, p part, store string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed[p.id] = store
	if !s.crashing || s.crashes == 2 || store != s.stores[1].name {
		return
	}
	s.crashes++
	time.AfterFunc(20*time.Millisecond, func() {
		s.note("%s crashes while it saves part %s", e.id, p.id)
		e.crash()
	})
}

// prompt sends a prompt with a shared part and a part of its own to an entry, and returns the status.
func (s *kvSite) prompt(entry int, attempt string, shared int) int {
	prefix := fmt.Sprintf("%s:%d,%x:%d", partID(shared), sharedTokens, time.Now().UnixNano(), ownTokens)
	status, err := s.send(entry, attempt, prefix, sharedTokens+ownTokens)
	s.note("%s: part %s through %s: status %d, %v", attempt, partID(shared), s.entries[entry].name, status, err)
	return status
}

// send sends a prompt to an entry and reads the answer.
func (s *kvSite) send(entry int, attempt, prefix string, tokens int) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/audit/x", s.entries[entry].ip, frontPort)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("prompt"))
	if err != nil {
		return 0, err
	}
	q.Host = "h.example"
	q.Header.Set(names["attempt"], attempt)
	q.Header.Set(names["key"], "k1")
	q.Header.Set(names["deadline"], "12000")
	q.Header.Set(names["model"], modelName)
	q.Header.Set(names["counts"], fmt.Sprintf("%d,12", tokens))
	q.Header.Set(names["prefix"], prefix)
	r, err := s.http.Do(q)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

func partID(n int) string { return fmt.Sprintf("%x", 0xa000+n) }

// fill sends large prompts without shared parts, so that shared parts leave the engines' memory.
func (s *kvSite) fill() {
	var all sync.WaitGroup
	for i := range fillers {
		all.Go(func() { s.send(i%2, fmt.Sprint("large-", i), fmt.Sprintf("%x:%d", 0xb000+i, ownLarge), ownLarge) })
	}
	all.Wait()
}

// prompts sends a prompt with each of the shared parts at about the same time, and returns how many were served.
func (s *kvSite) prompts(name string, shared []int) int {
	var all sync.WaitGroup
	var served atomic.Int64
	for i, n := range shared {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			if s.prompt(i%2, fmt.Sprintf("%s-%d", name, n), n) == http.StatusOK {
				served.Add(1)
			}
		})
	}
	all.Wait()
	return int(served.Load())
}

// holder returns the control replica that was granted the lease for orders last, and the fencing number.
func (s *kvSite) holder() (found *program, fencing float64) {
	for _, c := range s.controls {
		for _, f := range c.logged("lease-held") {
			if n, ok := f["fencing"].(float64); ok && f["reason"] == "granted" && n > fencing {
				found, fencing = c, n
			}
		}
	}
	return found, fencing
}

// freeze freezes a machine of the core and wakes it again. It returns when the machine counts as caught up.
func (s *kvSite) freeze(c *program) {
	s.note("%s freezes", c.name)
	c.signal(syscall.SIGSTOP)
	time.Sleep(frozen)
	c.signal(syscall.SIGCONT)
	s.note("%s wakes", c.name)
	time.Sleep(caughtUp)
}

// regained checks that no request takes memory from a store that isn't whole there, when the lease for orders returns to a
// control replica that had it before.
func regained(p *place, trouble bool) (int, error) {
	s, err := newKVSite(p, 2, storeTokens)
	if err != nil {
		return 0, err
	}
	time.Sleep(2500 * time.Millisecond)
	every := make([]int, sharedParts)
	for i := range every {
		every[i] = i
	}
	s.note("%d of %d prompts served, whose parts are saved", s.prompts("first", every), sharedParts)
	whole := func() bool {
		a, _ := s.stores[0].held()
		b, _ := s.stores[1].held()
		return a+b >= sharedParts && b > 0
	}
	if !await(10*time.Second, whole) {
		return 0, fmt.Errorf("%w: the parts weren't saved", errNotRun)
	}
	s.fill()
	if trouble {
		// Until each replica has held the lease.
		held := map[string]bool{}
		for i := 0; ; i++ {
			c, fencing := s.holder()
			if c == nil || i == maxHandOvers {
				return 0, fmt.Errorf("%w: not all replicas have held the lease", errNotRun)
			}
			held[c.name] = true
			s.note("%s holds the lease with number %.0f", c.name, fencing)
			if len(held) == len(s.controls) {
				break
			}
			s.freeze(c)
		}
	}
	s.note("store-1 goes down with its parts")
	s.stores[1].crash()
	time.Sleep(storeDown)
	if err := s.stores[1].boot(); err != nil {
		return 0, err
	}
	s.note("store-1 is back, empty")
	time.Sleep(storeUsed)
	var again []int
	s.mu.Lock()
	for _, n := range every {
		if s.placed[partID(n)] == s.stores[1].name {
			again = append(again, n)
		}
	}
	s.crashing = true
	s.mu.Unlock()
	s.note("%d of %d prompts served whose parts store-1 had", s.prompts("again", again), len(again))
	s.mu.Lock()
	s.crashing = false
	crashes := s.crashes
	s.mu.Unlock()
	for range crashes {
		if err := s.addEngine(); err != nil {
			return 0, err
		}
	}
	cut := s.stores[1].cutOff()
	if len(cut) == 0 {
		return 0, fmt.Errorf("%w: no write broke off", errNotRun)
	}
	s.note("store-1 has parts whose writes broke off: %v", cut)
	time.Sleep(3 * time.Second)
	return s.takeOver(every, cut, trouble)
}

// takeOver lets the lease pass to another replica and sends prompts with the parts whose writes broke off right after that.
func (s *kvSite) takeOver(every []int, cut []string, trouble bool) (int, error) {
	c, _ := s.holder()
	listed := s.stores[0].nextList()
	var frozen sync.WaitGroup
	if trouble {
		frozen.Go(func() { s.freeze(c) })
		select {
		case <-listed:
		case <-time.After(10 * time.Second):
			return 0, fmt.Errorf("%w: the lease didn't pass to another replica", errNotRun)
		}
	}
	// The new holder lists both stores, one of which answers sooner.
	time.Sleep(40 * time.Millisecond)
	var all sync.WaitGroup
	var served atomic.Int64
	for i, id := range cut {
		for _, n := range every {
			if partID(n) != id {
				continue
			}
			for entry := range 2 {
				all.Go(func() {
					time.Sleep(time.Duration(i*2+entry) * 40 * time.Millisecond)
					if s.prompt(entry, fmt.Sprintf("late-%d-%d", n, entry), n) == http.StatusOK {
						served.Add(1)
					}
				})
			}
		}
	}
	all.Wait()
	frozen.Wait()
	if trouble {
		now, fencing := s.holder()
		s.note("%s holds the lease with number %.0f", now.name, fencing)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note("%d of %d late prompts served; fetches by outcome: %v", served.Load(), 2*len(cut), s.fetches)
	if served.Load() == 0 {
		return 0, fmt.Errorf("%w: no late prompt was served", errNotRun)
	}
	return s.broken, nil
}
