package caller

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/directory"
)

const (
	// limitReached is the reason of a refusal when the limits of all servers allow no request.
	limitReached = "server-limit"
	// limitWaitShare is the share of a caller's remaining time for which its request waits for a
	// server's limit; the rest is for the response.
	limitWaitShare = 0.5
)

// awaitLimit waits for the server whose limit first allows a request, or refuses at once if
// that is too late for the caller. Each waiting request has its own reservation in the limit,
// so that none waits in vain.
func (j *job) awaitLimit(ctx context.Context) (choice, bool) {
	began := time.Now()
	for {
		s, ok := j.reserve(ctx)
		if !ok {
			return choice{}, false
		}
		// The process may have been suspended, and the server may have left, requested a backoff or rejected requests in the meantime.
		j.Site.AwaitFreshState(ctx)
		if ctx.Err() == nil && j.mayReceive(s, time.Now()) {
			return choice{
				server: s, dispatch: j.dispatch(time.Now()), reserved: true,
				fields: log.Fields{"kind": "limited", "waited-ms": time.Since(began).Milliseconds()},
			}, true
		}
		j.releaseServer(s.ID)
	}
}

// reserve reserves a request in the limit that first allows one, and waits until it may be
// sent.
func (j *job) reserve(ctx context.Context) (directory.Server, bool) {
	now := time.Now()
	s, soonest, ok := j.soonest(now)
	if !ok || ctx.Err() != nil {
		return directory.Server{}, false
	}
	delay, ok := j.reserveServer(s.ID, time.Duration(limitWaitShare*float64(j.deadline.Sub(now))), now)
	if !ok {
		j.refusal, j.clearAfter = limitReached, soonest
		return directory.Server{}, false
	}
	wait.For(ctx, delay)
	return s, true
}

// stillReady returns whether the server may still be tried.
func (j *job) stillReady(s directory.Server) bool {
	for x := range j.untried() {
		if x.ID == s.ID && x.StartedAt == s.StartedAt {
			return true
		}
	}
	return false
}
