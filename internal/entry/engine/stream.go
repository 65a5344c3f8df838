package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
)

// Stream is one attempt's answer.
//
// Events are read from the connection only on demand, so that a slow caller
// causes backpressure on the engine instead of filling this VM's memory.
type Stream interface {
	// Next returns the JSON of the next event, valid until the next call. Its error
	// is io.EOF after a complete answer, otherwise a verdict.Error.
	Next() ([]byte, error)
	// Position returns the number of events that Next has returned.
	Position() int
	// Close ends the stream and cancels the run if it isn't complete.
	Close()
}

type stream struct {
	client           *client
	context          context.Context
	cancel           context.CancelFunc
	address          string
	request          Request
	body             io.ReadCloser
	cancelConnection context.CancelFunc
	idleTimer        *time.Timer
	events           *eventReader
	envelope         *envelope
	finish           finish
	position         int
	resumes          int
	started          bool
	ended            error
	closed           bool
}

var done = []byte("[DONE]")

var (
	errForeign   = errors.New("the event belongs to another attempt")
	errSkipped   = errors.New("a position was skipped")
	errTruncated = errors.New("the stream ended without a finish marker")
	errMalformed = errors.New("the event is not a JSON object of the protocol")
)

func newStream(ctx context.Context, c *client, address string, r Request) *stream {
	ctx, cancel := context.WithCancel(ctx)
	return &stream{client: c, context: ctx, cancel: cancel, address: address, request: r, envelope: newEnvelope()}
}

// open connects to the engine, either initially or to resume after the last position.
func (s *stream) open(resume bool) error {
	ctx, cancelConnection := context.WithCancel(s.context)
	idleTimer := time.AfterFunc(s.client.IdleTimeout, cancelConnection)
	body, err := s.connect(ctx, resume)
	if err != nil {
		idleTimer.Stop()
		cancelConnection()
		return err
	}
	s.body, s.cancelConnection, s.idleTimer = body, cancelConnection, idleTimer
	s.events = newEventReader(timedReader{body: body, idleTimer: idleTimer, limit: s.client.IdleTimeout})
	return nil
}

func (s *stream) connect(ctx context.Context, resume bool) (io.ReadCloser, error) {
	request, err := newRequest(ctx, s.address, s.request)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, http.StatusBadRequest, "invalid-request", "the request can't be sent").WithCause(err)
	}
	if resume {
		request.Header.Set(headerResumeAfter, strconv.Itoa(s.position))
	}
	response, err := s.client.roundTrip(request)
	if err != nil {
		s.started = s.started || verdict.Of(err) != verdict.NotRun
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, refused(response)
	}
	s.started = true
	if response.Header.Get(headerAttempt) != s.request.Attempt || response.Header.Get(headerRequest) != s.request.ID {
		response.Body.Close()
		return nil, lost(errForeign)
	}
	return response.Body, nil
}

// Next implements Stream.
func (s *stream) Next() ([]byte, error) {
	for s.ended == nil {
		data, err := s.readEvent()
		if err == nil && s.context.Err() != nil {
			// The event arrived before the caller disconnected or at the same time.
			err = s.context.Err()
		}
		if err == nil && data != nil {
			return data, nil
		}
		if err != nil {
			s.ended = s.recover(err)
		}
	}
	return nil, s.ended
}

// Position implements Stream.
func (s *stream) Position() int {
	return s.position
}

// readEvent returns the next event of the attempt, or nil for a repeated one, which is skipped.
func (s *stream) readEvent() ([]byte, error) {
	data, err := s.events.next()
	if err != nil {
		return nil, err
	}
	if string(data) == string(done) {
		return nil, s.checkComplete()
	}
	if err := s.envelope.decode(data); err != nil {
		return nil, errMalformed
	}
	t := s.envelope.tag
	if string(t.attempt) != s.request.Attempt || string(t.request) != s.request.ID {
		return nil, errForeign
	}
	if t.position <= s.position && t.position > 0 {
		s.logRejected(fmt.Errorf("position %d was repeated", t.position))
		return nil, nil
	}
	if t.position != s.position+1 {
		return nil, errSkipped
	}
	if s.envelope.failed() {
		return nil, engineFailed(s.envelope.errorValue)
	}
	if !s.finish.observe(s.envelope.choices) {
		return nil, errMalformed
	}
	s.position++
	return data, nil
}

// checkComplete returns io.EOF when each choice has its finish marker.
func (s *stream) checkComplete() error {
	if s.finish.whole() {
		return io.EOF
	}
	return errTruncated
}

func engineFailed(value []byte) verdict.Error {
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "engine-failed",
		"the model engine failed during the run").WithCause(fmt.Errorf("%.200s", value))
}

// recover resumes the stream after a failed connection or an invalid event. If
// that fails, it returns the final error of the stream.
func (s *stream) recover(cause error) error {
	if errors.Is(cause, io.EOF) {
		return io.EOF
	}
	if e, ok := verdict.As(cause); ok {
		return e
	}
	s.logRejected(cause)
	backoff := time.Duration(0)
	for s.resumes < s.client.ResumeLimit && s.sleep(backoff) {
		s.resumes++
		backoff = max(2*backoff, s.client.ResumeWait)
		s.disconnect()
		err := s.open(true)
		if err == nil {
			event.StreamResumed.Write(s.client.Logger, s.fields())
			return nil
		}
		cause = err
		if e, ok := verdict.As(err); ok && e.Code == "engine-refused" {
			break
		}
	}
	return lost(cause)
}

// sleep waits for d and reports whether the stream is still open. Only the first
// resume comes without a wait: an engine that restarts or a short network outage
// would otherwise use up all resumes within a millisecond.
func (s *stream) sleep(d time.Duration) bool {
	if d == 0 {
		return s.context.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.context.Done():
		return false
	}
}

func (s *stream) logRejected(cause error) {
	f := s.fields()
	f["cause"] = cause.Error()
	event.StreamRejected.Write(s.client.Logger, f)
}

func (s *stream) fields() log.Fields {
	return log.Fields{
		"request": s.request.ID, "attempt": s.request.Attempt,
		"workspace": s.request.Workspace, "position": s.position,
	}
}

func (s *stream) disconnect() {
	if s.body == nil {
		return
	}
	s.idleTimer.Stop()
	s.cancelConnection()
	s.body.Close()
	s.body = nil
}

// Close implements Stream.
func (s *stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	if errors.Is(s.ended, io.EOF) {
		s.keepConnection()
		return
	}
	s.disconnect()
	s.cancel()
	if !s.started {
		return
	}
	event.StreamCancelled.Write(s.client.Logger, s.fields())
	s.client.cancelRun(s.address, s.request.Attempt)
}

// keepConnection reads the few bytes after the end of the answer, so that the connection can be reused.
func (s *stream) keepConnection() {
	s.client.pending.Add(1)
	s.idleTimer.Reset(drainTimeout)
	go func() {
		defer s.client.pending.Done()
		_, _ = io.CopyN(io.Discard, s.body, drainBytes)
		s.disconnect()
		s.cancel()
	}()
}
