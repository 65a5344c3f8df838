package caller

import (
	"context"
	"time"

	"hornbeamwood/internal/base/wait"
)

// retryPause is the time between attempts of a request that had left its server.
const retryPause = 250 * time.Millisecond

// secureSuccessor reserves another server that may get the request at once, and spends a retry on it.
//
// An attempt whose server is silent is ended only after that. The answer of a sound server that
// continues would be given up for nothing if no other server took the request. A prompt without an
// event leaves for the queue too, if there is an engine that it can wait for.
func (j *job) secureSuccessor(now time.Time) bool {
	if !j.granted && !j.Budget.Available(j.service.Name, now) {
		return false
	}
	if _, refused := j.Guard.Quarantined(j.workspace.Name, j.attributes(), now); refused {
		return false
	}
	c, ok := j.chooseNow(now)
	if !ok && j.mayQueue(now) {
		return j.spendRetry(now)
	}
	if !ok || !j.candidate(c.server, now).Usable(now) || !j.reserveNow(c.server.ID) {
		return false
	}
	if !j.spendRetry(now) {
		j.releaseServer(c.server.ID)
		return false
	}
	c.reserved = true
	j.successor = &c
	return true
}

// mayQueue returns whether the request is a prompt without an event that can wait for another engine and that
// the queue wouldn't refuse.
func (j *job) mayQueue(now time.Time) bool {
	if !j.queues() || j.streamed.started || j.Queue.Preview(j.queueItem()).Unservable {
		return false
	}
	for _, c := range j.candidates(now) {
		if c.Usable(now) && !j.Site.Busy(c.Server.ID) && !j.outdated(j.Site.Version(c.Server, j.request.Prompt.Model)) {
			return true
		}
	}
	return false
}

// chooseNow returns a server that has capacity for the request now.
func (j *job) chooseNow(now time.Time) (choice, bool) {
	if !j.queues() {
		return j.pickPlain(now)
	}
	e := *j.service.Engine
	c, ok := j.chooseEngine(e)
	return c, ok && c.fits && j.admitted(e, c, silenceCheckInterval)
}

// next returns the server for the next attempt: the secured one if it may still get the request.
func (j *job) next(ctx context.Context) (choice, bool) {
	c := j.successor
	if c == nil {
		return j.choose(ctx)
	}
	j.successor = nil
	if j.stillReady(c.server) && !j.Backoffs.Active(c.server.ID, time.Now()) {
		return *c, true
	}
	j.releaseServer(c.server.ID)
	return j.choose(ctx)
}

// releaseSuccessor cancels the reservation of a server that is not tried.
func (j *job) releaseSuccessor() {
	if j.successor != nil {
		j.releaseServer(j.successor.server.ID)
		j.successor = nil
	}
}

// awaitSuccessor waits for a server that takes a stream that has begun, or a request that has left
// its server. It returns false if there is none in time.
//
// Any server may be the next but the one that was tried last, unless it is the only one.
func (j *job) awaitSuccessor(ctx context.Context) bool {
	last := j.tried[max(0, len(j.tried)-1):]
	for j.mayAwaitSuccessor() && wait.For(ctx, retryPause) {
		for _, j.tried = range [][]string{last, nil} {
			if j.secureSuccessor(time.Now()) {
				return true
			}
		}
	}
	if ctx.Err() != nil && !ending(ctx) {
		j.abandon()
	}
	return false
}

// mayAwaitSuccessor returns whether the request may run once more although its last attempt failed.
//
// The caller of a stream that has begun can't be refused any more. The number of its attempts is
// bounded by the pauses and the budget.
func (j *job) mayAwaitSuccessor() bool {
	if j.streamed.unnumbered || !j.route.Retryable() || j.runs >= j.route.MaxAttempts || time.Until(j.deadline) < retryPause+minRemaining {
		return false
	}
	return j.streamed.started || j.left && j.tries < maxTries
}
