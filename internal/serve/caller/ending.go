package caller

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// stopping is the reason of a request that the process can't serve before it ends.
const stopping = "stopping"

// errEnding is the cause of contexts that end because the process does.
var errEnding = errors.New("the process ends")

// untilEnding returns a context that ends with ctx, and when the process ends so soon that it can wait for servers no longer.
func (g *gateway) untilEnding(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if g.Ending == nil {
		return ctx, func() { cancel(nil) }
	}
	stop := context.AfterFunc(g.Ending, func() { cancel(errEnding) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// ending returns whether the context ended because the process does.
func ending(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errEnding)
}

// interrupt ends a request whose context has ended. Its caller is still there if that is because the process ends, and
// learns what is known of its request while its connection stands.
func (j *job) interrupt(ctx context.Context) {
	if ending(ctx) {
		j.giveUp(stopping)
		return
	}
	j.abandon()
}

// fitsBeforeEnd responds to a request that would still be running when the process ends, and returns false. Nothing of it
// has run, and another entry can serve it.
func (j *job) fitsBeforeEnd() bool {
	expected, known := j.expected.expected(j.route.Name)
	if !known {
		expected = firstAttemptTimeout(j.route)
	}
	if !j.Refusing(min(expected, time.Until(j.deadline))) {
		return true
	}
	return j.reject(http.StatusServiceUnavailable, stopping, retrySoon)
}
