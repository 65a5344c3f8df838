package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// manyEntries are more than get the rows of the stores from the control replicas themselves.
	manyEntries, maxReturns = 34, 6
	// Eight parts fill a store so far that its oldest one is withdrawn once it has been idle for 15 s, and freed 4.5 s later.
	smallRoom, relayedTokens, relayedParts = 114277, 13800, 24
	// lateFrom and lateFor are when after the holder learned of that part, and for how long at most, prompts come with it.
	lateFrom, lateFor, lateEvery = 19200 * time.Millisecond, 3500 * time.Millisecond, 50 * time.Millisecond
	// slowBy is how many times as long a store's transfers take, for slowFor.
	slowBy, slowFor = 4, 5 * time.Second
)

// oneOf sends a prompt with a shared part and returns whether it was served.
func (s *kvSite) oneOf(entry int, name string, n int) bool {
	prefix := fmt.Sprintf("%s:%d,%x:%d", partID(n), relayedTokens, time.Now().UnixNano(), ownTokens)
	status, err := s.send(entry, name, prefix, relayedTokens+ownTokens)
	if status != http.StatusOK {
		s.note("%s: status %d, %v", name, status, err)
	}
	return status == http.StatusOK
}

// saveAll sends a prompt with each of the shared parts, so that the stores get them until they are full.
func (s *kvSite) saveAll(name string) {
	var all sync.WaitGroup
	for n := range relayedParts {
		all.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			s.oneOf(n%manyEntries, fmt.Sprintf("%s-%d", name, n), n)
		})
	}
	all.Wait()
	time.Sleep(time.Second)
	a, _ := s.stores[0].held()
	b, _ := s.stores[1].held()
	s.note("the stores hold %d and %d parts", a, b)
}

// relayed checks that no part is freed while it is fetched, on a site whose entries learn of the stores from relays, when the
// lease for orders returns to a control replica that had it before.
func relayed(p *place, trouble bool) (int, error) {
	s, err := newKVSite(p, manyEntries, smallRoom)
	if err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	// withdrawn are the replicas whose last word on the parts is that they aren't there.
	withdrawn := map[*program]bool{}
	for round := range 2 {
		c, _ := s.holder()
		s.saveAll(fmt.Sprint("round-", round))
		if err := s.restartStores(); err != nil {
			return 0, err
		}
		withdrawn[c] = true
		s.fill()
		time.Sleep(2 * time.Second)
		if trouble {
			s.freeze(c)
		}
	}
	c, _ := s.holder()
	delete(withdrawn, c)
	s.saveAll("last")
	s.fill()
	for i := 0; trouble; i++ {
		c, n := s.holder()
		s.note("%s holds the lease with number %.0f", c.name, n)
		if withdrawn[c] {
			break
		}
		if i == maxReturns {
			return 0, fmt.Errorf("%w: the lease didn't return", errNotRun)
		}
		s.freeze(c)
	}
	x := s.stores[1]
	for n := range relayedParts {
		known, ok := x.wholeSince(partID(n))
		if !ok {
			continue
		}
		if trouble {
			known = x.lastListed()
		}
		s.note("part %s is the first one at store-1", partID(n))
		return s.askLate(x, n, known)
	}
	return 0, fmt.Errorf("%w: store-1 has no part", errNotRun)
}

// restartStores lets the stores go down and return empty.
func (s *kvSite) restartStores() error {
	c, _ := s.holder()
	for _, x := range s.stores {
		x.crash()
	}
	s.note("the stores go down with their parts; %s holds the lease", c.name)
	time.Sleep(storeDown)
	for _, x := range s.stores {
		if err := x.boot(); err != nil {
			return err
		}
	}
	s.note("the stores are back, empty")
	return nil
}

// askLate sends prompts with a part, of which the holder has known since that time, until it is freed.
func (s *kvSite) askLate(x *store, n int, known time.Time) (int, error) {
	begin := known.Add(lateFrom)
	time.Sleep(time.Until(begin) - time.Second)
	x.setSlow(slowBy)
	defer time.AfterFunc(slowFor, func() { x.setSlow(1) }).Stop()
	s.note("store-1 is slow")
	time.Sleep(time.Until(begin))
	here := func() bool {
		_, ok := x.wholeSince(partID(n))
		return ok
	}
	var all sync.WaitGroup
	var served, sent atomic.Int64
	for i := 0; here() && time.Since(begin) < lateFor; i++ {
		all.Go(func() {
			sent.Add(1)
			if s.oneOf(i%manyEntries, fmt.Sprint("late-", i), n) {
				served.Add(1)
			}
		})
		time.Sleep(lateEvery)
	}
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note("%d of %d late prompts served; fetches by outcome: %v", served.Load(), sent.Load(), s.fetches)
	if served.Load() == 0 {
		return 0, fmt.Errorf("%w: no late prompt was served", errNotRun)
	}
	return s.broken, nil
}
