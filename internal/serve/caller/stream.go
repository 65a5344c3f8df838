package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/events"
	"hornbeamwood/internal/serve/observe"
)

// silentAfter is how long after an event its server is checked for the first time.
const silentAfter = 1500 * time.Millisecond

// streamState is the state of a stream that is forwarded.
type streamState struct {
	started bool
	first   time.Time
	last    events.Position
	// events counts the events. unnumbered is set once one with data had no number: it isn't known where the stream
	// could go on.
	events     int
	unnumbered bool
	// lastAt is when the last event arrived, longestGap the longest time between two events.
	lastAt     time.Time
	longestGap time.Duration
}

// recordEvent records the arrival of an event and returns the time since the last one, and false for the first.
func (s *streamState) recordEvent(now time.Time) (time.Duration, bool) {
	first, gap := s.first.IsZero(), now.Sub(s.lastAt)
	s.lastAt = now
	s.events++
	if first {
		s.first = now
		return 0, false
	}
	s.longestGap = max(s.longestGap, gap)
	return gap, true
}

func (s streamState) firstMillis(since time.Time) int64 {
	if s.first.IsZero() {
		return -1
	}
	return s.first.Sub(since).Milliseconds()
}

// lastEvent returns the position after the last event that the caller has.
func (j *job) lastEvent() events.Position {
	return j.streamed.last.Or(j.request.LastEvent)
}

var errCallerGone = errors.New("cannot write to the caller")

// forwardStream forwards events as they arrive. It returns false if the stream may resume at
// another server.
func (j *job) forwardStream(ctx context.Context, a *observe.Attempt, x *backend.Exchange) (bool, string) {
	s := j.newRun(a, x)
	step := s.LargestStep()
	flush := http.NewResponseController(j.writer)
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			if err := j.prove(ctx, x); err != nil {
				return false, j.recordInterruption(ctx, a, x, unprovedEnd, err)
			}
			j.endStream(a, x)
			return true, ""
		}
		if err == nil {
			if largest := s.LargestStep(); largest > step {
				step = largest
				j.steps.record(j.server, step)
			}
			err = j.forwardEvent(e, a, x)
		}
		if err != nil {
			return false, j.recordInterruption(ctx, a, x, "stream-broke-off", err)
		}
		if s.Buffered() {
			continue
		}
		if err := flush.Flush(); err != nil {
			return false, j.recordInterruption(ctx, a, x, "stream-broke-off", errCallerGone)
		}
	}
}

// newRun returns the events of a response that follow those that the caller has.
//
// Events of two runs that are joined wrongly would form a response that no server sent.
func (j *job) newRun(a *observe.Attempt, x *backend.Exchange) events.Run {
	return events.NewRun(events.RunConfig{
		Events: events.NewScanner(x.Available()), At: j.lastEvent(), LargestStep: j.steps.largest(j.server),
		Begins: func(number int64) bool { return j.steps.begins(j.server, number) },
		OnHeld: func() { j.recordSign(a, x, time.Now()) },
	})
}

// recordSign records that the server of an attempt has sent an event.
func (j *job) recordSign(a *observe.Attempt, x *backend.Exchange, now time.Time) {
	j.Tracker.Started(a, now)
	j.Tracker.EndSilence(a, now)
	x.CheckAt(now.Add(silentAfter))
}

// forwardEvent forwards one event.
func (j *job) forwardEvent(e events.Event, a *observe.Attempt, x *backend.Exchange) error {
	if !j.streamed.started {
		j.begin()
		j.forwardHead(x.Response)
	}
	now := time.Now()
	if gap, ok := j.streamed.recordEvent(now); ok && a.Started() {
		j.Tracker.EventGap(a, gap)
	}
	j.recordSign(a, x, now)
	if e.HasID {
		j.streamed.last = events.After(e.ID)
	}
	j.streamed.unnumbered = j.streamed.unnumbered || e.HasData && !e.HasID
	if _, err := j.writer.Write(e.Raw); err != nil {
		return errCallerGone
	}
	return nil
}

// forwardHead forwards the status and headers of the stream, once.
func (j *job) forwardHead(r *http.Response) {
	j.streamed.started = true
	copyHeader(j.writer.Header(), r.Header)
	j.writer.Header().Del("Content-Length")
	j.status = r.StatusCode
	j.writer.WriteHeader(r.StatusCode)
}

// endStream ends a stream whose server has ended it.
func (j *job) endStream(a *observe.Attempt, x *backend.Exchange) {
	if !j.streamed.started {
		j.forwardHead(x.Response)
	}
	x.Close()
	j.recordAnswered()
	j.endServed(a, x)
}

// recordInterruption records a response that broke off, and abandons the request if that is because its caller has
// disconnected.
func (j *job) recordInterruption(ctx context.Context, a *observe.Attempt, x *backend.Exchange, reason string, err error) string {
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		x.Abort()
		if a.Started() {
			j.Guard.Left(j.runOf(a))
		}
		j.endAttempt(a, observe.Abandoned)
		if ending(ctx) {
			return stopping
		}
		j.abandon()
	}
	return j.recordBroken(a, x, reason, err)
}
