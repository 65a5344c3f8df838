package caller

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/directory"
)

const (
	// limited is the reason of a refusal when all servers name limits that leave no room.
	limited = "server-limit"
	// limitShare is the part of the time that a caller still waits for which its
	// request waits for a server's limit; the rest is for the answer.
	limitShare = 0.5
)

// awaitLimit waits for the server whose limit leaves room first, or refuses at once
// when that is too late for the caller. Each request that waits has its place in the
// limit, so that none waits in vain.
func (j *job) awaitLimit(ctx context.Context) (choice, bool) {
	began := time.Now()
	for {
		s, ok := j.place(ctx)
		if !ok {
			return choice{}, false
		}
		// The process may have stood still, and the server may have left meanwhile.
		j.Site.AwaitFreshState(ctx)
		if ctx.Err() == nil && j.ready(s) {
			return choice{
				server: s, dispatch: j.dispatch(time.Now()), taken: true,
				fields: log.Fields{"kind": "limited", "waited-ms": time.Since(began).Milliseconds()},
			}, true
		}
		j.Limits.Return(s.ID, time.Now())
	}
}

// place takes a place in the limit that leaves room first, and waits for it.
func (j *job) place(ctx context.Context) (directory.Server, bool) {
	now := time.Now()
	s, soonest, ok := j.soonest(now)
	if !ok || ctx.Err() != nil {
		return directory.Server{}, false
	}
	rest, ok := j.Limits.Take(s.ID, time.Duration(limitShare*float64(j.deadline.Sub(now))), now)
	if !ok {
		j.refusal, j.clear = limited, soonest
		return directory.Server{}, false
	}
	wait.For(ctx, rest)
	return s, true
}

// ready returns whether the server may still be tried.
func (j *job) ready(s directory.Server) bool {
	for x := range j.untried() {
		if x.ID == s.ID && x.StartedAt == s.StartedAt {
			return true
		}
	}
	return false
}

// soonest returns the server that was not tried yet whose limit leaves room first, and how long that is from now.
func (j *job) soonest(now time.Time) (directory.Server, time.Duration, bool) {
	var found directory.Server
	var rest time.Duration
	ok := false
	for s := range j.untried() {
		if w := j.Limits.Wait(s.ID, now); !ok || w < rest {
			found, rest, ok = s, w, true
		}
	}
	return found, rest, ok
}
