package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Terms of the guarantee to the servers of a service that say that they are brittle: while they say so, at most
// maxFalls and fallShare of them fall over. A fall counts if most of the rejected requests came from entries in touch.
const (
	maxFalls  = 2
	fallShare = 0.1
)

const (
	// brittleContact is how long after a service has become brittle its servers begin to reject requests.
	brittleContact = 3 * time.Second
	// brittleDuration is how long a service is brittle, maxBrittleInterval the longest time between two such times.
	brittleDuration    = 9 * time.Second
	maxBrittleInterval = 10 * time.Second
	// maxRejections is the highest number of rejections in a second that a brittle server announces.
	maxRejections = 12
	// fallDuration is how long a server that fell over is down.
	fallDuration = 2 * time.Second
	// serverSlots is how many requests a server runs at a time while it is brittle, brittleWaiting how many wait.
	serverSlots    = 8
	brittleWaiting = 2
	// admitInterval is how often a waiting request asks for a free slot.
	admitInterval = 2 * time.Millisecond
	// overloadInterval is the time between two requests to a brittle service: about 1.6 times what three servers can run.
	overloadInterval = 5 * time.Millisecond
)

// brittle holds the services of a run whose servers say that they are brittle.
type brittle struct {
	record  *record
	limits  *limits
	inTouch func(e *process, since time.Time) bool

	mu       sync.Mutex
	services map[string]*brittleTime
}

// brittleTime is a time in which a service is brittle, or only full.
type brittleTime struct {
	since time.Time
	// full is set if the servers reject requests for want of room, but say nothing and don't fall over.
	full       bool
	rejections int
	falls      int
}

func newBrittle(r *record, l *limits) *brittle {
	return &brittle{record: r, limits: l, services: map[string]*brittleTime{}}
}

// announce sets the header of a brittle server in a response.
func (b *brittle) announce(service string, h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.services[service]; t != nil && !t.full {
		h.Set("Server-Brittle", strconv.Itoa(t.rejections))
	}
}

// rejecting returns whether the servers of the service let fewer requests wait, and how many each may reject in a second.
func (b *brittle) rejecting(service string) (rejections int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.services[service]
	if t == nil || time.Since(t.since) < brittleContact {
		return 0, false
	}
	if t.full {
		return math.MaxInt, true
	}
	return t.rejections, true
}

// recordFall counts a fall of a server of the service.
func (b *brittle) recordFall(service, server string, counts bool) {
	b.record.note("%s falls over (%s, counts: %t)", server, service, counts)
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.services[service]; t != nil && counts {
		t.falls++
	}
}

// rejection is a request that a brittle server rejected for want of room.
type rejection struct {
	at      time.Time
	inTouch bool
}

// admit waits for a slot of a brittle server. It returns false if the request was rejected or its caller has left.
func (s *server) admit(w http.ResponseWriter, q *http.Request, attempt string) bool {
	for waits := false; ; sleep(q.Context(), admitInterval) {
		rejections, limited := s.brittle.rejecting(s.service)
		s.mu.Lock()
		switch {
		case !limited || s.running < serverSlots:
			s.running++
			if waits {
				s.waiting--
			}
			s.mu.Unlock()
			return true
		case waits && q.Context().Err() != nil:
			s.waiting--
			s.mu.Unlock()
			return false
		case !waits && s.waiting >= brittleWaiting:
			falls, counts := s.reject(attempt, rejections)
			s.mu.Unlock()
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			if falls {
				s.brittle.recordFall(s.service, s.id, counts)
				go s.fall()
			}
			return false
		case !waits:
			s.waiting++
			waits = true
		}
		s.mu.Unlock()
	}
}

// release frees the slot of a request.
func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// reject records a rejection, and returns whether the server falls over and whether that counts. The lock is held.
func (s *server) reject(attempt string, allowed int) (falls, counts bool) {
	now := time.Now()
	e := s.limits.entry(attempt)
	s.rejections = append(s.rejections, rejection{now, e != nil && s.brittle.inTouch(e, now.Add(-brittleContact))})
	for now.Sub(s.rejections[0].at) >= time.Second {
		s.rejections = s.rejections[1:]
	}
	if len(s.rejections) <= allowed || s.falling {
		return false, false
	}
	s.falling = true
	n := 0
	for _, x := range s.rejections {
		if x.inTouch {
			n++
		}
	}
	return true, 2*n > len(s.rejections)
}

// fall takes the server down for a while.
func (s *server) fall() {
	s.proxy.setDown(true)
	time.Sleep(fallDuration)
	s.proxy.setDown(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.falling, s.rejections = false, nil
}

// makeBrittle makes services brittle under load at random times until end. It uses a separate random source, so that
// it does not change the faults of a seed.
func makeBrittle(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 41))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(maxBrittleInterval))))
		s.overloaded.Lock()
		if !time.Now().Before(end) {
			s.overloaded.Unlock()
			return
		}
		s.loadBrittle(ctx, r)
		s.overloaded.Unlock()
	}
}

// loadBrittle makes a service brittle for some time, sends it more requests than it can run, and checks how often its
// servers fall over.
func (s *site) loadBrittle(ctx context.Context, r *rand.Rand) {
	service := drawService(r)
	t := &brittleTime{since: time.Now(), rejections: 2 + r.IntN(maxRejections)}
	s.record.note("%s is brittle: %d", service, t.rejections)
	falls := s.overload(ctx, r, service, t, brittleDuration)
	s.record.note("%s is not brittle any more: %d falls counted", service, falls)
	s.mu.Lock()
	n := 0
	for _, x := range s.servers {
		if x.service == service {
			n++
		}
	}
	s.mu.Unlock()
	if float64(falls) > maxFalls+fallShare*float64(n) {
		s.record.reportFalls("%d servers of %s fell over %d times while they said that they can reject %d requests a second", n, service, falls, t.rejections)
	}
}

// fillService makes a service reject requests for want of room for some time.
func (s *site) fillService(ctx context.Context, r *rand.Rand, length time.Duration) {
	service := drawService(r)
	s.record.note("%s is full", service)
	s.overload(ctx, r, service, &brittleTime{since: time.Now().Add(-brittleContact), full: true}, length)
	s.record.note("%s is not full any more", service)
}

func drawService(r *rand.Rand) string {
	return []string{engineService, plainService}[r.IntN(2)]
}

// overload sends a service more requests than it can run for some time, and returns how often its servers fell over meanwhile.
func (s *site) overload(ctx context.Context, r *rand.Rand, service string, t *brittleTime, length time.Duration) int {
	kind := "stream"
	if service == engineService {
		kind = "prompt"
	}
	s.brittle.mu.Lock()
	s.brittle.services[service] = t
	s.brittle.mu.Unlock()
	s.brittleNumber++
	end, interval := time.Now().Add(length), overloadInterval*time.Duration(len(s.entries))
	var all sync.WaitGroup
	for i := range s.entries {
		name := fmt.Sprintf("%d-%d", s.seed, i+len(s.entries)*(maxEntries+s.brittleNumber))
		x := s.newClient(name, i, r.Uint64())
		all.Go(func() { x.sendAll(ctx, kind, end, interval) })
	}
	sleep(ctx, length)
	s.brittle.mu.Lock()
	falls := t.falls
	delete(s.brittle.services, service)
	s.brittle.mu.Unlock()
	all.Wait()
	return falls
}

// sendAll sends requests of one kind at an interval until end, without waiting for their answers.
func (c *client) sendAll(ctx context.Context, kind string, end time.Time, interval time.Duration) {
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		q := c.draw(n)
		q.kind = kind
		all.Go(func() { c.send(ctx, q) })
		sleep(ctx, interval)
	}
}
