package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Terms of the guarantee on requests that have been passed on to a sound server, by an entry without unplanned
// disturbance for lossContact before the request: they get a complete answer or a refusal. Beside no planned work, at most
// chanceLosses requests on kept connections may not; that bound alone holds at an entry that is cut off from the
// servers. Planned work is a SIGTERM or SIGHUP of the entry in the plannedTime before the request or during it, or a
// change of the document in the documentTime before it or during it.
const (
	lossContact  = 3 * time.Second
	chanceLosses = 3
	plannedTime  = 7 * time.Second
	documentTime = 3 * time.Second
	// cutoffAfter is how long after a SIGTERM an entry may end requests that were sent at most acceptedAfter after it: the
	// last sixth of its grace period begins.
	cutoffAfter   = grace * 5 / 6
	acceptedAfter = 3 * time.Second
)

const (
	// minSilence and maxSilence bound how long a sound server is silent, maxSilenceInterval is the longest time between two silences.
	minSilence         = 500 * time.Millisecond
	maxSilence         = 2 * time.Second
	maxSilenceInterval = 1500 * time.Millisecond
	// plannedWorkDuration is how long planned work and silences are checked without other faults.
	plannedWorkDuration = 7 * time.Second
)

// requestLimits is the time after which each kind of request may end without an answer: the timeout of its route or
// the deadline of its caller.
var requestLimits = map[string]time.Duration{
	"read": 2 * time.Second, "once": 2 * time.Second, "stream": 4 * time.Second, "prompt": 4 * time.Second,
}

// losses checks that requests that were passed on to sound servers get an answer.
type losses struct {
	record   *record
	limits   *limits
	fronts   func(e *process) *proxy
	cuts     *cuts
	document func() time.Time

	mu sync.Mutex
	// passedOn are the arrivals of each attempt at servers.
	passedOn map[string][]arrival
	byChance int
}

// arrival is when a request reached a server.
type arrival struct {
	server *server
	at     time.Time
}

func (l *losses) recordRequest(attempt string, s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.passedOn[attempt] = append(l.passedOn[attempt], arrival{s, time.Now()})
}

// checkLost checks whether a request that ended without a complete answer may have done so.
func (l *losses) checkLost(q request, sentAt time.Time, kept bool, cause error) {
	e, now := l.limits.entry(q.id), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.passedOn[q.id]
	if e == nil || len(all) == 0 || now.Sub(sentAt) >= requestLimits[q.kind] {
		return
	}
	names := ""
	for _, a := range all {
		// What a server has broken off can't be completed always.
		if !a.server.soundSince(a.at) {
			return
		}
		names += " " + a.server.id
	}
	if !l.fronts(e).soundSince(sentAt) || !e.onlyPlannedSince(sentAt.Add(-lossContact)) {
		return
	}
	if stopped := e.lastStop(); !stopped.IsZero() && now.Sub(stopped) >= cutoffAfter && now.Sub(stopped) <= grace+time.Second && sentAt.Sub(stopped) <= acceptedAfter {
		return
	}
	beside, strict := l.beside(e, sentAt)
	if !strict && kept {
		if l.byChance++; l.byChance <= chanceLosses {
			l.record.note("%s got no answer by chance: %v", q.id, cause)
			return
		}
	}
	if !kept && beside == cutOff {
		return
	}
	l.record.reportViolation("%s (%s) was passed on by %s to sound servers (%s) and got no complete answer after %s %s: %v",
		q.id, q.kind, e.name, names[1:], now.Sub(sentAt).Round(time.Millisecond), beside, cause)
}

// What a request may be sent beside.
const (
	cutOff      = "at an entry that is cut off"
	plannedWork = "beside a signal"
	newDocument = "beside a change of the document"
	nothing     = "beside no planned work"
)

// beside returns what a request to the entry was sent beside, and whether that is planned work, beside which no
// request may be lost.
func (l *losses) beside(e *process, sentAt time.Time) (text string, strict bool) {
	switch {
	case l.cuts.cutOffSince(e, sentAt.Add(-lossContact)):
		return cutOff, false
	case e.plannedSince(sentAt.Add(-plannedTime)):
		return plannedWork, true
	case l.document().After(sentAt.Add(-documentTime)):
		return newDocument, true
	}
	return nothing, false
}

// silenceServers makes sound servers fall silent for a while at random times until end, some of them beside a change
// of the document. It uses a separate random source, so that it does not change the faults of a seed.
func silenceServers(ctx context.Context, end time.Time, s *site, r *rand.Rand) {
	var all sync.WaitGroup
	defer all.Wait()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(maxSilenceInterval))))
		if !time.Now().Before(end) {
			return
		}
		silenced := s.drawServers(r)
		how := silent + silence(r.IntN(2))
		length := minSilence + time.Duration(r.Int64N(int64(maxSilence-minSilence)))
		for _, x := range silenced {
			s.record.note("%s is silent for %s (%d)", x.id, length, how)
			x.proxy.setSilence(how)
		}
		if r.IntN(2) == 0 {
			seed := r.Uint64()
			all.Go(func() { s.operator.putDocument(ctx, rand.New(rand.NewPCG(seed, 3))) })
		}
		all.Go(func() {
			sleep(ctx, length)
			for _, x := range silenced {
				x.proxy.setSilence(talking)
				s.record.note("%s continues", x.id)
			}
		})
	}
}

// drawServers returns a server or, at times, all servers of its service.
func (s *site) drawServers(r *rand.Rand) []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.servers[r.IntN(len(s.servers))]
	if r.IntN(3) > 0 {
		return []*server{x}
	}
	var all []*server
	for _, y := range s.servers {
		if y.service == x.service {
			all = append(all, y)
		}
	}
	return all
}

// planWork restarts entries and lets them reload, while servers fall silent, are full, refuse requests or load weights, and
// documents change, without other faults.
func (s *site) planWork(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.seed, 43))
	end := time.Now().Add(plannedWorkDuration)
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { silenceServers(ctx, end, s, rand.New(rand.NewPCG(s.seed, 47))) })
	all.Go(func() { changeWeights(ctx, end, s) })
	all.Go(func() { changeBackoffs(ctx, end, s) })
	all.Go(func() { s.fillService(ctx, rand.New(rand.NewPCG(s.seed, 61)), plannedWorkDuration) })
	for time.Now().Before(end) && ctx.Err() == nil {
		e := s.entries[r.IntN(len(s.entries))]
		if r.IntN(2) == 0 {
			s.record.note("SIGHUP of %s", e.name)
			e.signal(syscall.SIGHUP)
		} else {
			s.record.note("stop %s", e.name)
			s.stopAndRestart(ctx, e, syscall.SIGTERM, false)
		}
		sleep(ctx, time.Duration(r.Int64N(int64(time.Second))))
	}
}
