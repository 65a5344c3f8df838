package completion

import (
	"context"
	"errors"
	"io"

	"hornbeamwood/internal/base/verdict"
)

// stream forwards the events of the current attempt. Until the first event has
// gone to the caller, a failed attempt is replaced by another one.
type stream struct {
	ctx     context.Context
	router  *router
	job     *job
	attempt *attempt
	sent    bool
	ended   error
}

func newStream(ctx context.Context, r *router, j *job, a *attempt) *stream {
	return &stream{ctx: ctx, router: r, job: j, attempt: a}
}

// Next implements caller.Stream.
func (s *stream) Next() ([]byte, error) {
	for s.ended == nil {
		b, err := s.attempt.stream.Next()
		if err == nil {
			s.markFirst()
			s.router.reportFailedImports(s.ctx, s.attempt, b)
			return b, nil
		}
		s.handleFailure(err)
	}
	return nil, s.ended
}

// markFirst records the first event that goes to the caller; later calls change nothing.
func (s *stream) markFirst() {
	if s.router.releaseInFlight(s.ctx, s.attempt) {
		s.router.observe(s.job, s.attempt)
	}
	if !s.sent {
		s.router.metrics.firstToken.Update(s.router.Now().Sub(s.job.Received).Seconds())
	}
	s.sent = true
}

// end ends the stream with the given result.
func (s *stream) end(cause error) {
	s.ended = cause
	s.router.metrics.ended(cause)
}

// handleFailure ends the attempt and either replaces it or ends the stream.
func (s *stream) handleFailure(cause error) {
	cause = classify(s.ctx, s.attempt, cause)
	s.router.end(s.ctx, s.job, s.attempt, cause)
	if s.sent || errors.Is(cause, io.EOF) {
		s.end(cause)
		return
	}
	a, err := s.attempt, cause
	for err != nil {
		if a == nil {
			s.end(err)
			return
		}
		s.job.exclude(a)
		a, err = s.router.retryAttempt(s.ctx, s.job, err)
	}
	s.attempt = a
}

// Close implements caller.Stream.
func (s *stream) Close() {
	if s.ended != nil {
		return
	}
	s.end(callerCancelled(nil).WithVerdict(verdict.MayHaveRun))
	s.router.end(s.ctx, s.job, s.attempt, s.ended)
}
