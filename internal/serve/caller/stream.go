package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/events"
	"hornbeamwood/internal/serve/observe"
)

const (
	// pauseTimes is how many times the longest timely pause a stream may be
	// silent before it goes on at another server; engines push a request aside
	// for others now and then, for less than that.
	pauseTimes = 4
	// leastPause bounds that from below.
	leastPause = 1500 * time.Millisecond
)

// relay is the state of a stream that is passed on.
type relay struct {
	started bool
	first   time.Time
	last    int64
	// latest is when the latest event came, pause the longest time between two.
	latest time.Time
	pause  time.Duration
}

// came notes that an event came.
func (r *relay) came(now time.Time) {
	if r.first.IsZero() {
		r.first = now
	} else {
		r.pause = max(r.pause, now.Sub(r.latest))
	}
	r.latest = now
}

func (r relay) firstMillis(since time.Time) int64 {
	if r.first.IsZero() {
		return -1
	}
	return r.first.Sub(since).Milliseconds()
}

// resumeAt returns the last event that the caller has.
func (j *job) resumeAt() int64 {
	return max(j.events.last, j.request.LastEvent)
}

var (
	errOutOfOrder = errors.New("an event is missing or comes twice")
	errCaller     = errors.New("the caller takes no more")
)

// stream passes events on as they come; it returns false when the stream may go on at another server.
func (j *job) stream(ctx context.Context, a *observe.Attempt, x *backend.Exchange) (bool, string) {
	s := events.NewScanner(x)
	flush := http.NewResponseController(j.writer)
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			j.finish(a, x)
			return true, ""
		}
		if err == nil {
			err = j.forward(e, a, x)
		}
		if err != nil {
			return false, j.interrupted(ctx, a, x, err)
		}
		if s.Buffered() {
			continue
		}
		if err := flush.Flush(); err != nil {
			return false, j.interrupted(ctx, a, x, errCaller)
		}
	}
}

// forward passes one event on if it follows the last one.
//
// Events of two runs joined wrongly would be an answer that no server gave.
func (j *job) forward(e events.Event, a *observe.Attempt, x *backend.Exchange) error {
	if at := j.resumeAt(); e.HasID && at > 0 && e.ID != at+1 {
		return errOutOfOrder
	}
	if !j.events.started {
		j.begin(x.Response)
	}
	now := time.Now()
	j.events.came(now)
	j.Tracker.Started(a, now)
	if e.HasID {
		j.events.last = e.ID
	}
	if _, err := j.writer.Write(e.Raw); err != nil {
		return errCaller
	}
	if j.mayResume() {
		x.SetDeadline(wait.Earlier(j.deadline, now.Add(max(pauseTimes*j.route.EventGapTarget, leastPause))))
	} else {
		x.SetDeadline(j.deadline)
	}
	return nil
}

// begin passes the head of the stream on, once.
func (j *job) begin(r *http.Response) {
	j.events.started = true
	copyHeader(j.writer.Header(), r.Header)
	j.writer.Header().Del("Content-Length")
	j.status = r.StatusCode
	j.writer.WriteHeader(r.StatusCode)
}

// mayResume returns whether the stream could go on at another server.
func (j *job) mayResume() bool {
	return j.route.Resumable && j.runs < j.route.MaxAttempts
}

// finish ends a stream whose server has ended it.
func (j *job) finish(a *observe.Attempt, x *backend.Exchange) {
	if !j.events.started {
		j.begin(x.Response)
	}
	x.Close()
	j.Tracker.End(a, observe.Served, time.Now())
}

// interrupted counts a stream that broke off.
func (j *job) interrupted(ctx context.Context, a *observe.Attempt, x *backend.Exchange, err error) string {
	if ctx.Err() != nil || errors.Is(err, errCaller) {
		x.Abort()
		j.Tracker.End(a, observe.Abandoned, time.Now())
		j.abandon()
	}
	return j.broken(a, x, "stream-broke-off", err)
}
