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
// Events are read from the connection only when they are asked for, so that a
// slow caller slows the engine down instead of filling this VM's memory.
type Stream interface {
	// Next returns the JSON of the next event, valid until the next call; io.EOF after the whole answer; else a verdict.Error.
	Next() ([]byte, error)
	// Position returns the number of events that Next has returned.
	Position() int
	// Close ends the stream and cancels the run when it isn't whole.
	Close()
}

type stream struct {
	client   *client
	context  context.Context
	cancel   context.CancelFunc
	address  string
	request  Request
	body     io.ReadCloser
	hangUp   context.CancelFunc
	silence  *time.Timer
	events   *eventReader
	envelope *envelope
	finish   finish
	position int
	resumes  int
	started  bool
	ended    error
	closed   bool
}

var done = []byte("[DONE]")

var (
	errForeign   = errors.New("an event of another attempt")
	errSkipped   = errors.New("a skipped position")
	errTruncated = errors.New("an end without the finish marker")
	errMalformed = errors.New("an event that is no JSON object of the protocol")
)

func newStream(ctx context.Context, c *client, address string, r Request) *stream {
	ctx, cancel := context.WithCancel(ctx)
	return &stream{client: c, context: ctx, cancel: cancel, address: address, request: r, envelope: newEnvelope()}
}

// open connects, for the first time or to resume after the last position.
func (s *stream) open(resume bool) error {
	ctx, hangUp := context.WithCancel(s.context)
	silence := time.AfterFunc(s.client.IdleTimeout, hangUp)
	body, err := s.connect(ctx, resume)
	if err != nil {
		silence.Stop()
		hangUp()
		return err
	}
	s.body, s.hangUp, s.silence = body, hangUp, silence
	s.events = newEventReader(awake{body: body, silence: silence, limit: s.client.IdleTimeout})
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
		data, err := s.take()
		if err == nil && s.context.Err() != nil {
			// It had arrived before the caller left, or at the same moment.
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

// take returns the next event that belongs here, nil for one that is passed over.
func (s *stream) take() ([]byte, error) {
	data, err := s.events.next()
	if err != nil {
		return nil, err
	}
	if string(data) == string(done) {
		return nil, s.whole()
	}
	if err := s.envelope.decode(data); err != nil {
		return nil, errMalformed
	}
	t := s.envelope.tag
	if string(t.attempt) != s.request.Attempt || string(t.request) != s.request.ID {
		return nil, errForeign
	}
	if t.position <= s.position && t.position > 0 {
		s.rejected(fmt.Errorf("the repeated position %d", t.position))
		return nil, nil
	}
	if t.position != s.position+1 {
		return nil, errSkipped
	}
	if s.envelope.failed() {
		return nil, failed(s.envelope.fault)
	}
	if !s.finish.observe(s.envelope.choices) {
		return nil, errMalformed
	}
	s.position++
	return data, nil
}

// whole returns io.EOF when each choice has its finish marker.
func (s *stream) whole() error {
	if s.finish.whole() {
		return io.EOF
	}
	return errTruncated
}

func failed(said []byte) verdict.Error {
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "engine-failed",
		"the model engine failed during the run").WithCause(fmt.Errorf("%.200s", said))
}

// recover resumes after a broken or wrong connection; it returns what the stream ends with otherwise.
func (s *stream) recover(cause error) error {
	if errors.Is(cause, io.EOF) {
		return io.EOF
	}
	if e, ok := verdict.As(cause); ok {
		return e
	}
	s.rejected(cause)
	wait := time.Duration(0)
	for s.resumes < s.client.Resumes && s.pause(wait) {
		s.resumes++
		wait = max(2*wait, s.client.ResumeWait)
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

// pause reports whether the stream still goes on after d. The first resume
// comes at once; an engine that restarts or a link that is down for a moment
// would otherwise use up all of them within a millisecond.
func (s *stream) pause(d time.Duration) bool {
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

func (s *stream) rejected(cause error) {
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
	s.silence.Stop()
	s.hangUp()
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
		s.keep()
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

// keep reads the little that follows the end, so that the connection can be used again.
func (s *stream) keep() {
	s.client.pending.Add(1)
	s.silence.Reset(drainTime)
	go func() {
		defer s.client.pending.Done()
		_, _ = io.CopyN(io.Discard, s.body, drainBytes)
		s.disconnect()
		s.cancel()
	}()
}
