package choose

import (
	"time"

	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/site/directory"
)

// Candidate is a server with what is known of it.
type Candidate struct {
	// Server is what it announced.
	Server directory.Server
	// Stats is what this entry saw.
	Stats observe.ServerStats
}

const (
	// reportFresh is how old a server's report may be to count whole; its weight falls to nothing at twice that.
	reportFresh = 500 * time.Millisecond
	// refusals is how many other entries must have been refused for a server to be set aside here.
	refusals = 2
	// answeredLately is how long an answer to this entry counts for more than others' refusals.
	answeredLately = 300 * time.Millisecond
	// provenFor is how long an answer proves that a server lives whose announcements have stopped.
	provenFor = 1500 * time.Millisecond
)

// standing ranks candidates before any cost: the lower, the better.
type standing int

const (
	usable standing = iota
	// doubtful servers have stopped announcing themselves and haven't answered lately.
	doubtful
	// aside servers gave no answer to several requests in a row, or refuse connections of several entries.
	aside
)

func (c Candidate) standing(now time.Time) standing {
	switch {
	case now.Before(c.Stats.EjectedUntil), c.refuses(now):
		return aside
	case c.Server.Silent && now.Sub(c.Stats.Answered) > provenFor:
		return doubtful
	}
	return usable
}

// refuses returns whether other entries were refused by the server and this one
// has no later answer.
//
// A server that has crashed looks idle: nothing waits there. Each of many entries
// would send it a request before it knows by itself, while announcements are
// missed only seconds later. One entry may be cut off in a way of its own, two
// that are refused are not.
func (c Candidate) refuses(now time.Time) bool {
	return c.Stats.RefusedBy >= refusals && now.Sub(c.Stats.Answered) > answeredLately
}

// load returns how many requests the server has, as far as this entry can tell.
func (c Candidate) load(now time.Time) float64 {
	own := float64(c.Stats.InFlight)
	if c.Stats.Reported.IsZero() {
		return own
	}
	age := now.Sub(c.Stats.Reported)
	weight := 1 - max(0, min(1, float64(age-reportFresh)/float64(reportFresh)))
	told := float64(c.Stats.Running+c.Stats.Waiting+c.Stats.SentSinceReport) * weight
	return max(own, told)
}

// best returns the index of the candidate with the lowest cost among those of the best standing, -1 without candidates.
func best(all []Candidate, now time.Time, cost func(i int) float64) (int, float64) {
	at, rank, lowest := -1, standing(0), 0.0
	for i, c := range all {
		s, x := c.standing(now), 0.0
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
