package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Terms of the guarantee on the rate limits that servers announce. From limitGrace after
// a server has announced a limit, it gets in each limitWindow at most limitFactor times
// that limit plus limitSlack requests. Only requests from entries count that have passed
// on the limit to a caller at least limitPropagation before.
const (
	limitGrace       = 3 * time.Second
	limitWindow      = 4 * time.Second
	limitPropagation = 500 * time.Millisecond
	limitFactor      = 1.5
	limitSlack       = 5
)

const (
	// maxLimitInterval is the longest time between two limits that servers announce.
	maxLimitInterval = 3 * time.Second
	// limitDuration is how long a server announces a limit.
	limitDuration = 8 * time.Second
	// maxLimit is the highest limit in requests a second, far below the load of the servers.
	maxLimit = 9
)

// limits holds the limits that the servers of a run announce, and which entries have passed them on.
type limits struct {
	record  *record
	entries []*process

	mu sync.Mutex
	// announced maps the ID of a server to its limit.
	announced map[string]*serverLimit
	// passedOnAt is when an entry first passed on a server's limit.
	passedOnAt map[entryLimit]time.Time
}

// serverLimit is one server's limit.
type serverLimit struct {
	perSecond   float64
	announcedAt time.Time
	// arrivals are the times of the requests in the last window from entries that have passed on the limit.
	arrivals []time.Time
}

// entryLimit identifies a server's limit at an entry.
type entryLimit struct {
	entry  *process
	server string
}

func newLimits(r *record) *limits {
	return &limits{record: r, announced: map[string]*serverLimit{}, passedOnAt: map[entryLimit]time.Time{}}
}

// entry returns the entry that an attempt was sent to, or nil if that isn't known.
func (l *limits) entry(attempt string) *process {
	names := strings.Split(attempt, "-")
	if len(names) != 3 || names[0] == "probe" {
		return nil
	}
	i, err := strconv.Atoi(names[1])
	if err != nil {
		return nil
	}
	return l.entries[i%len(l.entries)]
}

// set makes the server announce a limit; zero means none.
func (l *limits) set(server string, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.passedOnAt {
		if p.server == server {
			delete(l.passedOnAt, p)
		}
	}
	delete(l.announced, server)
	if perSecond > 0 {
		l.announced[server] = &serverLimit{perSecond: perSecond, announcedAt: time.Now()}
	}
}

// recordPassedOn records that a caller got an answer to the attempt with the server's limit.
func (l *limits) recordPassedOn(attempt, server string) {
	e := l.entry(attempt)
	if e == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at := entryLimit{e, server}
	if passedOnAt, ok := l.passedOnAt[at]; l.announced[server] != nil && (!ok || passedOnAt.Before(e.lastChange())) {
		l.passedOnAt[at] = time.Now()
	}
}

// recordRequest records a request that reaches a server, and sets the server's limit in the response header.
func (l *limits) recordRequest(attempt string, s *server, h http.Header) {
	e, now := l.entry(attempt), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.announced[s.id]
	if n == nil {
		return
	}
	h.Set("Server-Limit", strconv.FormatFloat(n.perSecond, 'f', 1, 64))
	h.Set("Instance-Id", s.id)
	passedOnAt, ok := l.passedOnAt[entryLimit{e, s.id}]
	if !ok || passedOnAt.Before(e.lastChange()) || now.Sub(passedOnAt) < limitPropagation {
		return
	}
	n.arrivals = append(n.arrivals, now)
	for now.Sub(n.arrivals[0]) > limitWindow {
		n.arrivals = n.arrivals[1:]
	}
	allowed := limitFactor*n.perSecond*limitWindow.Seconds() + limitSlack
	if now.Sub(n.announcedAt) > limitGrace && float64(len(n.arrivals)) > allowed {
		l.record.reportViolation("%s has a limit of %.1f requests a second and got %d within %s, %.0f allowed", s.id, n.perSecond, len(n.arrivals), limitWindow, allowed)
	}
}

// changeLimits makes servers announce limits at random times until end. It uses a
// separate random source, so that it does not change the faults of a seed.
func changeLimits(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 17))
	var all sync.WaitGroup
	defer all.Wait()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(maxLimitInterval))))
		if !time.Now().Before(end) {
			return
		}
		s.mu.Lock()
		x := s.servers[r.IntN(len(s.servers))]
		s.mu.Unlock()
		perSecond := 1 + maxLimit*r.Float64()
		s.record.note("%s announces a limit of %.1f", x.id, perSecond)
		s.limits.set(x.id, perSecond)
		all.Go(func() {
			sleep(ctx, limitDuration)
			s.record.note("%s announces no limit", x.id)
			s.limits.set(x.id, 0)
		})
	}
}
