package choose

import (
	"time"

	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/site/directory"
)

// Candidate is a server together with its current load and history.
type Candidate struct {
	// Server is the server as it announced itself.
	Server directory.Server
	// Stats is what this entry observed of the server and what the other entries reported.
	Stats observe.ServerStats
}

const (
	// fullWeightAge is the maximum age of a server's load report that counts in full. Its weight
	// falls linearly to zero at twice that age.
	fullWeightAge = 500 * time.Millisecond
	// MinRefusals is how many other entries must have been refused by a server before this entry
	// treats it as ejected.
	MinRefusals = 2
	// recentAnswer is how long a response to this entry outweighs refusals seen by other entries.
	recentAnswer = 300 * time.Millisecond
	// livenessWindow is how long a response proves that a server is alive although its
	// announcements have stopped.
	livenessWindow = 1500 * time.Millisecond
)

// health ranks candidates before any cost is considered; lower is better.
type health int

const (
	usable health = iota
	// suspect servers have stopped announcing themselves and have not responded recently.
	suspect
	// ejected servers left several requests in a row without a response, or refuse connections
	// from several entries.
	ejected
)

func (c Candidate) health(now time.Time) health {
	switch {
	case now.Before(c.Stats.EjectedUntil), c.refusedByOthers(now):
		return ejected
	case c.Lost(now):
		return suspect
	}
	return usable
}

// Usable returns whether nothing speaks against sending requests to the server.
func (c Candidate) Usable(now time.Time) bool {
	return c.health(now) == usable
}

// Lost returns whether the server has neither announced itself nor responded recently.
func (c Candidate) Lost(now time.Time) bool {
	return c.Server.Silent && now.Sub(c.Stats.RespondedAt) > livenessWindow
}

// refusedByOthers returns whether other entries were refused by the server and this one has no
// later response.
//
// A crashed server looks idle, since no requests are queued there. Without this check each of
// many entries would send it a request before finding out by itself, while missed
// announcements reveal the crash only seconds later. A single refused entry may have a network
// problem of its own, so at least two must report a refusal.
func (c Candidate) refusedByOthers(now time.Time) bool {
	return c.Stats.RefusedBy >= MinRefusals && now.Sub(c.Stats.RespondedAt) > recentAnswer
}

// load returns the estimated number of requests at the server.
func (c Candidate) load(now time.Time) float64 {
	own := float64(c.Stats.InFlight)
	if c.Stats.ReportedAt.IsZero() {
		return own
	}
	age := now.Sub(c.Stats.ReportedAt)
	weight := 1 - max(0, min(1, float64(age-fullWeightAge)/float64(fullWeightAge)))
	reported := float64(c.Stats.Running+c.Stats.Waiting+c.Stats.SentSinceReport) * weight
	return max(own, reported)
}

// best returns the index and cost of the cheapest candidate among those with the best health,
// or -1 without candidates.
func best(all []Candidate, now time.Time, cost func(i int) float64) (int, float64) {
	at, rank, lowest := -1, health(0), 0.0
	for i, c := range all {
		s, x := c.health(now), 0.0
		if at >= 0 && s > rank {
			continue
		}
		x = cost(i)
		if at < 0 || s < rank || x < lowest {
			at, rank, lowest = i, s, x
		}
	}
	return at, lowest
}
