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
	// server silent. A lost packet delays one announcement, but not by two and a
	// half intervals.
	missedHeartbeats = 2.5
	// sweepInterval is the time between two searches for silent servers.
	sweepInterval = 300 * time.Millisecond
	// orphanTimeout is how long the replica that a server announces itself to
	// must be without contact before the others decide whether the server is silent.
	orphanTimeout = 4 * time.Second
	// forgetAfter is how long the row of a server that is gone or silent is kept,
	// so that delayed announcements don't bring the server back.
	forgetAfter = 10 * time.Minute
	// replicationTimeout bounds how long a leaving server waits until another replica has its row.
	replicationTimeout = 700 * time.Millisecond
)

// announcements keeps the announcements of backend servers, shows them in the row
// table and detects servers that have become silent.
type announcements struct {
	// observe is called with each server that announces itself here, and with each change of another one.
	observe      func(s directory.Server)
	home         string
	heartbeat    time.Duration
	directory    directory.Directory
	table        rowtable.Table
	watchServer  watch.Server
	replicas     func() int
	sinceContact func(address string) (time.Duration, bool)
	caughtUp     func() bool
	logger       log.Interface

	mu sync.Mutex
	// lastAnnounced is when each server last announced itself here, lastChanged when its row last changed.
	lastAnnounced, lastChanged map[string]time.Time
	lastSweep                  time.Time
	// resumedAt is when this process last found that it had been suspended.
	resumedAt time.Time
}

// merge merges a row from any source and returns the table's revision that includes it, zero when nothing relevant changed.
func (a *announcements) merge(s directory.Server) uint64 {
	newer, matters := a.directory.Merge(s)
	if !newer && s.Silent {
		a.contradict(s)
	}
	if !newer || !matters {
		return 0
	}
	a.observe(s)
	a.mu.Lock()
	a.lastChanged[s.ID] = time.Now()
	a.mu.Unlock()
	event.ServerAnnounced.Write(a.logger, log.Fields{
		"server": s.ID, "service": s.Service, "address": s.Address, "zone": s.Zone, "software": s.Software, "born": s.StartedAt,
		"sequence": s.Sequence, "state": s.State.String(), "silent": s.Silent, "home": s.HomeReplica,
	})
	return a.show(s)
}

// contradict shows this replica's row when another one marks a server silent that
// announces itself here.
//
// A replica that was suspended or cut off may do so wrongly. Its row counts for everyone
// who has no later announcement. Announcements that change nothing are otherwise not
// shown, so this is the only place where the later announcement is shown.
func (a *announcements) contradict(s directory.Server) {
	known, ok := a.directory.Get(s.ID)
	if ok && known.HomeReplica == a.home && !known.Silent && known.Sequence > s.Sequence {
		a.show(known)
	}
}

func (a *announcements) show(s directory.Server) uint64 {
	b, err := codec.Marshal(s)
	if err != nil {
		event.AnnouncementNotAcknowledged.Write(a.logger, log.Fields{"server": s.ID, "error": err.Error()})
		return 0
	}
	return a.table.Put(topic.Servers, s.ID, b)
}

// announce records a server's announcement.
func (a *announcements) announce(ctx context.Context, s directory.Server) error {
	s.HomeReplica, s.Silent = a.home, false
	if s.State != directory.Ready {
		return a.leave(ctx, s)
	}
	if known, ok := a.directory.Get(s.ID); ok && known.StartedAt > s.StartedAt {
		return nil
	}
	a.mu.Lock()
	a.lastAnnounced[s.ID] = time.Now()
	a.mu.Unlock()
	if a.merge(s) == 0 {
		a.observe(s)
	}
	return nil
}

// leave records that a server leaves. It acknowledges this only once another replica
// has the row.
//
// The server stops soon after the acknowledgement. If this replica were cut off from
// the entries, or lost right after it, they would send requests to a server that no
// longer runs. Without an acknowledgement the server retries at the next replica.
func (a *announcements) leave(ctx context.Context, s directory.Server) error {
	if !a.caughtUp() {
		return a.refuse(s, "this replica has no contact with a leader")
	}
	a.merge(s)
	known, _ := a.directory.Get(s.ID)
	revision := a.show(known)
	others := a.replicas() - 1
	if others <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	if !a.watchServer.AwaitReplicas(ctx, revision, 1) {
		return a.refuse(s, "no other replica has the news yet")
	}
	return nil
}

func (a *announcements) refuse(s directory.Server, why string) error {
	event.AnnouncementNotAcknowledged.Write(a.logger, log.Fields{"server": s.ID, "state": s.State.String(), "error": why})
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "not-acknowledged", "%s", why)
}

// depart records that a server ends.
func (a *announcements) depart(ctx context.Context, id string, startedAt int64) error {
	s, ok := a.directory.Get(id)
	if !ok || startedAt > s.StartedAt {
		// No entry sends requests to an incarnation that was never announced.
		s = directory.Server{ID: id, StartedAt: startedAt}
	}
	if startedAt != 0 && startedAt < s.StartedAt {
		return nil
	}
	s.State = directory.Gone
	return a.leave(ctx, s)
}

// sweep marks servers that have become silent, and removes those that were gone or silent for long.
func (a *announcements) sweep(now time.Time) {
	a.mu.Lock()
	suspended := now.Sub(a.lastSweep) > 3*sweepInterval
	a.lastSweep = now
	if suspended {
		// This process was suspended: messages that servers and replicas sent meanwhile aren't read yet.
		a.resumedAt = now
		for id := range a.lastAnnounced {
			a.lastAnnounced[id] = now
		}
	}
	a.mu.Unlock()
	if suspended {
		return
	}
	for _, s := range a.directory.All() {
		switch {
		case s.State != directory.Gone && !s.Silent && a.silent(s, now):
			s.Silent = true
			a.merge(s)
		case (s.State == directory.Gone || s.Silent) && a.sinceChange(s.ID, now) > forgetAfter:
			a.forget(s.ID)
		}
	}
}

// silent returns whether announcements of the server have stopped coming.
func (a *announcements) silent(s directory.Server, now time.Time) bool {
	bound := time.Duration(missedHeartbeats * float64(a.heartbeat))
	if s.HomeReplica == a.home {
		a.mu.Lock()
		defer a.mu.Unlock()
		return now.Sub(a.lastAnnounced[s.ID]) > bound
	}
	ago, ok := a.sinceContact(s.HomeReplica)
	if now.Sub(a.resumedAt) < orphanTimeout {
		return false
	}
	return (!ok || ago > orphanTimeout) && a.sinceChange(s.ID, now) > orphanTimeout+bound
}

func (a *announcements) sinceChange(id string, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.lastChanged[id])
}

func (a *announcements) forget(id string) {
	a.directory.Forget(id)
	a.table.Put(topic.Servers, id, nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.lastAnnounced, id)
	delete(a.lastChanged, id)
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
