package sitecontrol

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

const (
	// missedHeartbeats is how many intervals without an announcement make a
	// server silent; one may be late by a lost packet, two and a half are not.
	missedHeartbeats = 2.5
	// sweepInterval is the time between two looks for silent servers.
	sweepInterval = 300 * time.Millisecond
	// orphanTimeout is how long the replica that a server announced itself to
	// is silent until the others judge by themselves.
	orphanTimeout = 4 * time.Second
	// forgetAfter is how long the row of a server that is gone or silent is kept,
	// against announcements that were held up.
	forgetAfter = 10 * time.Minute
	// spreadTimeout bounds how long a leaving server waits until another replica has the news.
	spreadTimeout = 700 * time.Millisecond
)

// announcements keeps what backend servers say, shows it on the board and
// judges which of them have fallen silent.
type announcements struct {
	home      string
	heartbeat time.Duration
	directory directory.Directory
	board     rowtable.Table
	watchers  watch.Server
	replicas  func() int
	heard     func(address string) (time.Duration, bool)
	reachable func() bool
	logger    log.Interface

	mu sync.Mutex
	// direct is when each server last announced itself here, changed when its row last changed.
	direct, changed map[string]time.Time
	swept           time.Time
	// stood is when this process last found that it had stood still.
	stood time.Time
}

// take merges a row, wherever it comes from, and returns the board's number that includes it.
func (a *announcements) take(s directory.Server) uint64 {
	newer, matters := a.directory.Merge(s)
	if !newer && s.Silent {
		a.contradict(s)
	}
	if !newer || !matters {
		return 0
	}
	a.mu.Lock()
	a.changed[s.ID] = time.Now()
	a.mu.Unlock()
	event.ServerAnnounced.Write(a.logger, log.Fields{
		"server": s.ID, "service": s.Service, "address": s.Address, "zone": s.Zone, "born": s.StartedAt,
		"sequence": s.Sequence, "state": s.State.String(), "silent": s.Silent, "home": s.Home,
	})
	return a.show(s)
}

// contradict shows what this replica knows when another one calls a server
// silent that announces itself here.
//
// A replica that stood still or was cut off may judge so wrongly. What it says
// counts for everybody who has no later announcement, and this replica shows
// announcements that change nothing only when asked, here.
func (a *announcements) contradict(s directory.Server) {
	known, ok := a.directory.Get(s.ID)
	if ok && known.Home == a.home && !known.Silent && known.Sequence > s.Sequence {
		a.show(known)
	}
}

func (a *announcements) show(s directory.Server) uint64 {
	b, err := codec.Marshal(s)
	if err != nil {
		event.AnnouncementNotAcknowledged.Write(a.logger, log.Fields{"server": s.ID, "error": err.Error()})
		return 0
	}
	return a.board.Put(topic.Servers, s.ID, b)
}

// announce takes what a server says of itself.
func (a *announcements) announce(ctx context.Context, s directory.Server) error {
	s.Home, s.Silent = a.home, false
	if s.State != directory.Ready {
		return a.leave(ctx, s)
	}
	if known, ok := a.directory.Get(s.ID); ok && known.StartedAt > s.StartedAt {
		return nil
	}
	a.mu.Lock()
	a.direct[s.ID] = time.Now()
	a.mu.Unlock()
	a.take(s)
	return nil
}

// leave acknowledges that a server leaves only once another replica knows.
//
// The server stops soon after the acknowledgement. Were this replica cut off
// from the entries, or lost right after it, they would send requests to a
// server that is no longer there; without an acknowledgement the server tells
// the next replica.
func (a *announcements) leave(ctx context.Context, s directory.Server) error {
	if !a.reachable() {
		return a.refuse(s, "this replica hears no leader")
	}
	a.take(s)
	known, _ := a.directory.Get(s.ID)
	number := a.show(known)
	others := a.replicas() - 1
	if others <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	if !a.watchers.AwaitReplicas(ctx, number, 1) {
		return a.refuse(s, "no other replica has the news yet")
	}
	return nil
}

func (a *announcements) refuse(s directory.Server, why string) error {
	event.AnnouncementNotAcknowledged.Write(a.logger, log.Fields{"server": s.ID, "state": s.State.String(), "error": why})
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "not-acknowledged", "%s", why)
}

// depart takes a server's word that it ends.
func (a *announcements) depart(ctx context.Context, id string, born int64) error {
	s, ok := a.directory.Get(id)
	if !ok || born > s.StartedAt {
		// Nobody sends requests to a start that was never announced.
		s = directory.Server{ID: id, StartedAt: born}
	}
	if born != 0 && born < s.StartedAt {
		return nil
	}
	s.State = directory.Gone
	return a.leave(ctx, s)
}

// sweep marks servers that have fallen silent.
func (a *announcements) sweep(now time.Time) {
	a.mu.Lock()
	late := now.Sub(a.swept) > 3*sweepInterval
	a.swept = now
	if late {
		// This process stood still: what servers and replicas sent meanwhile isn't read yet.
		a.stood = now
		for id := range a.direct {
			a.direct[id] = now
		}
	}
	a.mu.Unlock()
	if late {
		return
	}
	for _, s := range a.directory.All() {
		switch {
		case s.State != directory.Gone && !s.Silent && a.silent(s, now):
			s.Silent = true
			a.take(s)
		case (s.State == directory.Gone || s.Silent) && a.age(s.ID, now) > forgetAfter:
			a.forget(s.ID)
		}
	}
}

func (a *announcements) silent(s directory.Server, now time.Time) bool {
	bound := time.Duration(missedHeartbeats * float64(a.heartbeat))
	if s.Home == a.home {
		a.mu.Lock()
		defer a.mu.Unlock()
		return now.Sub(a.direct[s.ID]) > bound
	}
	ago, ok := a.heard(s.Home)
	if now.Sub(a.stood) < orphanTimeout {
		return false
	}
	return (!ok || ago > orphanTimeout) && a.age(s.ID, now) > orphanTimeout+bound
}

func (a *announcements) age(id string, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.changed[id])
}

func (a *announcements) forget(id string) {
	a.directory.Forget(id)
	a.board.Put(topic.Servers, id, nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.direct, id)
	delete(a.changed, id)
}

// run sweeps until ctx ends.
func (a *announcements) run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			a.sweep(time.Now())
		}
	}
}
