package caller

import (
	"time"

	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/site/document"
)

const (
	// silenceCheckInterval is the interval of the checks whether a silent server should be left.
	silenceCheckInterval = 100 * time.Millisecond
	// patienceShare is the share of the time until a caller disconnects for which a stream waits for
	// its server. The rest is for the first event of another one.
	patienceShare = 0.75
)

// timing returns the deadline of one attempt, and when its server has been silent for so long that
// another one may be better.
func (j *job) timing(a *observe.Attempt) backend.Timing {
	t := backend.Timing{Deadline: j.deadline}
	if !j.route.Retryable() || j.runs+1 >= j.route.MaxAttempts {
		return t
	}
	t.CheckAt = a.SentAt.Add(firstAttemptTimeout(j.route))
	t.Check = func(via string) (time.Time, bool) {
		now := time.Now()
		a.Via = via
		if !j.hangs(a, j.heardAt(a)) {
			j.Tracker.Silent(a, now)
		}
		if j.shouldLeave(a, now) && j.secureSuccessor(now) {
			j.left = true
			return now, false
		}
		return now.Add(silenceCheckInterval), true
	}
	return t
}

// shouldLeave returns whether another server should respond in place of one that is silent.
//
// Sound servers may be silent for some seconds and go on. A stream that has begun is late by then
// and gains nothing from another server until its caller would disconnect. Any other request gains
// if the other server still has as much time as the first one had.
func (j *job) shouldLeave(a *observe.Attempt, now time.Time) bool {
	if !j.streamed.started {
		return j.deadline.Sub(now) >= firstAttemptTimeout(j.route)
	}
	if j.streamed.unnumbered {
		return false
	}
	since := j.heardAt(a)
	patience := time.Duration(patienceShare * float64(j.route.CallerEventTimeout))
	return j.lost(a, now) || j.hangs(a, since) || patience > 0 && now.Sub(since) >= patience
}

// heardAt returns when the server of an attempt last sent an event, or got the request.
func (j *job) heardAt(a *observe.Attempt) time.Time {
	if j.streamed.lastAt.After(a.SentAt) {
		return j.streamed.lastAt
	}
	return a.SentAt
}

// lost returns whether the server of an attempt has restarted, or neither announces itself nor
// responds to others.
func (j *job) lost(a *observe.Attempt, now time.Time) bool {
	s, ok := j.Site.Server(a.Server)
	if !ok || s.StartedAt != a.Incarnation {
		return ok && s.StartedAt > a.Incarnation
	}
	return j.candidate(s, now).Lost(now)
}

// hangs returns whether the connection of an attempt, on which nothing came since then, hangs because this entry is
// cut off.
func (j *job) hangs(a *observe.Attempt, since time.Time) bool {
	return a.Via == "" && j.Client.Hangs(backend.Target{ID: a.Server, StartedAt: a.Incarnation, Address: a.Address}, since)
}

// mayRepeat returns whether the request could be sent to another server after the one that is tried next.
func (j *job) mayRepeat(now time.Time) bool {
	return j.route.Retryable() && j.runs+1 < j.route.MaxAttempts && j.Budget.Available(j.service.Name, now)
}

// firstAttemptTimeout is how long the first server may take if there may be a second one: a
// few times the route's latency target, so that a slow response is not discarded in favor of a
// new attempt.
func firstAttemptTimeout(r document.Route) time.Duration {
	const times, least = 3, 200 * time.Millisecond
	return max(times*r.LatencyTarget, least)
}
