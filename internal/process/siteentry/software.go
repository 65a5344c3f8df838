package siteentry

import (
	"sync"
	"time"

	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/origin"
)

// staleHeartbeats is how many intervals of announcements pass at most between the start of a server and the moment
// when this entry knows of it.
const staleHeartbeats = 2

// restartTime is how long after a refused connection a server may restart without an announcement.
const restartTime = 10 * time.Second

// incarnation is what this entry knows of a server's newest start.
type incarnation struct {
	startedAt int64
	software  string
	learnedAt time.Time
	// changed is the first incarnation since the server's software last changed, and changedAt when this entry
	// learned of it; zero if it hasn't changed.
	changed   int64
	changedAt time.Time
}

// softwareChanges records when this entry learned that servers have restarted, perhaps with other software.
type softwareChanges struct {
	mu      sync.Mutex
	servers map[string]incarnation
}

func newSoftwareChanges() *softwareChanges {
	return &softwareChanges{servers: map[string]incarnation{}}
}

// observe records the newest row of a server.
func (c *softwareChanges) observe(v directory.Server, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.servers[v.ID]
	if ok && known.startedAt == v.StartedAt {
		return
	}
	x := incarnation{startedAt: v.StartedAt, software: v.Software, learnedAt: now, changed: known.changed, changedAt: known.changedAt}
	if ok && known.software != v.Software {
		x.changed, x.changedAt = v.StartedAt, now
	}
	c.servers[v.ID] = x
}

func (c *softwareChanges) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.servers, id)
}

// newest returns the newest known incarnation of a server.
func (c *softwareChanges) newest(id string) (incarnation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, ok := c.servers[id]
	return x, ok
}

// SoftwareCertain implements caller.Site.
//
// A server may restart under its ID. Requests reach the new incarnation from its start on, its announcement some
// time later.
func (s *site) SoftwareCertain(o origin.Origin, began time.Time) bool {
	x, ok := s.software.newest(o.Server)
	if !ok || o.Incarnation >= x.changed {
		return true
	}
	return began.Before(x.changedAt.Add(-staleHeartbeats * s.heartbeat))
}

// RestartExpected implements caller.Site.
func (s *site) RestartExpected(v directory.Server, refusedAt time.Time) bool {
	if s.outOfStep(time.Now()) {
		return true
	}
	if refusedAt.IsZero() || time.Since(refusedAt) > restartTime {
		return false
	}
	x, ok := s.software.newest(v.ID)
	return !ok || x.learnedAt.Before(refusedAt)
}

// recordAnswer records that a poll that was sent at that time was answered now. An answer that waited in this process's
// buffers while it stood still doesn't show what has changed since.
func (s *site) recordAnswer(sent, now time.Time) {
	s.suspension.detect()
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent.After(s.resumedAt) {
		s.answeredAt = now
	}
}

// outOfStep returns whether the rows are so old that servers may have restarted under their IDs, and announced it,
// without the entry's knowledge.
func (s *site) outOfStep(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.answeredAt) > liveReplicaTimeout
}

// OnlySoftware implements caller.Site. The rows of servers that are gone are kept for longer than streams last.
func (s *site) OnlySoftware(service string) (string, bool) {
	if !s.hasRecentAnswer(time.Now()) {
		return "", false
	}
	software := ""
	for _, v := range s.directory.All() {
		if v.Service != service {
			continue
		}
		if v.Software == "" || software != "" && v.Software != software {
			return "", false
		}
		software = v.Software
	}
	return software, software != ""
}

// hasRecentAnswer returns whether a replica that had caught up has answered recently.
func (s *site) hasRecentAnswer(now time.Time) bool {
	return s.replicasFollowed(now) > 0
}

// replicasFollowed returns how many replicas that had caught up have answered recently.
func (s *site) replicasFollowed(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.caughtUp {
		if now.Sub(at) <= liveReplicaTimeout {
			n++
		}
	}
	return n
}
