package caller

import (
	"time"

	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/serve/limit"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
)

// serverWait returns how long it is until a request may be sent to the server, which may be in backoff or have
// a limit.
func (j *job) serverWait(server string, now time.Time) time.Duration {
	return max(j.Backoffs.Wait(server, now), j.Limits.Wait(server, now))
}

// reserveServer reserves a request to the server that may be sent after the returned time. It returns
// false if that is more than maxWait from now.
func (j *job) reserveServer(server string, maxWait time.Duration, now time.Time) (time.Duration, bool) {
	wait, ok := j.Backoffs.Reserve(server, maxWait, now)
	if !ok {
		return 0, false
	}
	j.reservedAt = now
	limited, ok := j.Limits.Reserve(server, maxWait, now)
	if !ok {
		j.Backoffs.Release(server)
		return 0, false
	}
	return max(wait, limited), true
}

// releaseServer cancels a reservation.
func (j *job) releaseServer(server string) {
	j.Backoffs.Release(server)
	j.Limits.Release(server, j.reservedAt, time.Now())
}

// observeBrittle records whether the server is brittle, and whether it had no room for the request.
func (j *job) observeBrittle(s directory.Server, a *observe.Attempt, status int, answer request.Answer) {
	j.Limits.ObserveBrittle(limit.Observation{
		Server: s.ID, Service: j.service.Name, Slots: s.Slots, Tolerated: answer.Brittle, Load: answer.Load, Sent: a.SentAt,
		Rejected: answer.NotRun && backoff.Refuses(status),
		Stream:   j.route.Kind == document.Streaming,
		WorkTime: j.Tracker.Stats(s.ID).WorkTime,
	}, time.Now())
}

// mayReceive returns whether a server may still get a request that has waited for it.
func (j *job) mayReceive(s directory.Server, now time.Time) bool {
	return j.stillReady(s) && !j.Backoffs.Active(s.ID, now) && !j.Limits.Paused(s.ID, now) && j.Limits.Covers(s.ID, j.reservedAt)
}

// clearTime returns how long it is until any server where the request may run may get it, zero if one may
// get it now.
func (j *job) clearTime(now time.Time) time.Duration {
	least, any := time.Duration(0), false
	for s := range j.servers() {
		if w := j.serverWait(s.ID, now); !any || w < least {
			least, any = w, true
		}
	}
	return least
}

// soonest returns the untried server whose limit first allows a request, and how long that is
// from now.
func (j *job) soonest(now time.Time) (directory.Server, time.Duration, bool) {
	var found directory.Server
	var delay time.Duration
	ok := false
	for s := range j.untried() {
		if w := j.serverWait(s.ID, now); !ok || w < delay {
			found, delay, ok = s, w, true
		}
	}
	return found, delay, ok
}
