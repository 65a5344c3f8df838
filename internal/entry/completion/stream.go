package completion

import (
	"context"
	"errors"
	"io"

	"hornbeamwood/internal/base/verdict"
)

// stream passes on the events of the attempt that answers. Until the first
// event has gone to the caller a failed attempt is followed by another.
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
			s.begin()
			s.router.noteMissed(s.ctx, s.attempt, b)
			return b, nil
		}
		s.failed(err)
	}
	return nil, s.ended
}

// begin notes the first event that goes to the caller.
func (s *stream) begin() {
	if s.router.begun(s.ctx, s.attempt) {
		s.router.observe(s.job, s.attempt)
	}
	if !s.sent {
		s.router.meters.firstToken.Update(s.router.Now().Sub(s.job.Received).Seconds())
	}
	s.sent = true
}

// end sets what the stream ends with.
func (s *stream) end(cause error) {
	s.ended = cause
	s.router.meters.ended(cause)
}

// failed ends the attempt and either replaces it or ends the stream.
func (s *stream) failed(cause error) {
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
		a, err = s.router.again(s.ctx, s.job, err)
	}
	s.attempt = a
}

// Close implements caller.Stream.
func (s *stream) Close() {
	if s.ended != nil {
		return
	}
	s.end(callerGone(nil).WithVerdict(verdict.MayHaveRun))
	s.router.end(s.ctx, s.job, s.attempt, s.ended)
}
