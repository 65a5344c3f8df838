package rpc

import (
	"context"
	"net/http"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// request is one encoded call.
type request struct {
	name string
	// idle is the method's Idle.
	idle time.Duration
	body []byte
}

// call sends one request and returns the body of the answer.
//
// Once a byte was passed to the connection, it may have been sent, so every
// failure after that is MayHaveRun.
func (n *node) call(ctx context.Context, address string, q request) ([]byte, error) {
	ctx, resetIdle, stopIdle := withIdle(ctx, q.idle)
	defer stopIdle()
	c, err := n.pool.get(ctx, address)
	if err != nil {
		return nil, unreachable(address, err)
	}
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, unreachable(address, err)
	}
	defer s.CancelRead(0)
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(0)
		s.CancelWrite(0)
	})
	defer stop()
	if err := writeFrame(s, header{Name: q.name, Timeout: q.timeout(ctx), Body: q.body}); err != nil {
		return nil, answerLost(q.name, address, err)
	}
	_ = s.Close()
	r := &countingReader{Reader: s, onRead: resetIdle}
	a, err := readFrame[answer](r)
	n.countAnswer(q.name, r.bytes, err == nil)
	if err != nil {
		return nil, answerTruncated(q.name, address, r.bytes, err)
	}
	if a.Failure != nil {
		return nil, *a.Failure
	}
	return a.Body, nil
}

// withIdle returns a context that ends if reset isn't called for the given time; zero means no limit.
func withIdle(ctx context.Context, idle time.Duration) (bounded context.Context, reset func(), stop func()) {
	if idle <= 0 {
		return ctx, func() {}, func() {}
	}
	bounded, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(idle, cancel)
	return bounded, func() { t.Reset(idle) }, func() {
		t.Stop()
		cancel()
	}
}

func (n *node) notify(ctx context.Context, address, name string, body []byte) error {
	c, err := n.pool.get(ctx, address)
	if err != nil {
		return unreachable(address, err)
	}
	s, err := c.OpenUniStreamSync(ctx)
	if err != nil {
		return unreachable(address, err)
	}
	if err := writeFrame(s, header{Name: name, Body: body}); err != nil {
		s.CancelWrite(0)
		return answerLost(name, address, err)
	}
	return s.Close()
}

// timeout returns how long the peer may process the request, in nanoseconds; zero means no limit.
func (q request) timeout(ctx context.Context) int64 {
	remaining := q.idle
	if d, ok := ctx.Deadline(); ok && (remaining <= 0 || time.Until(d) < remaining) {
		remaining = max(1, time.Until(d))
	}
	return int64(remaining)
}

func unreachable(address string, err error) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "unreachable", "the process at %s can't be reached", address).WithCause(err)
}

func answerTruncated(name, address string, bytes int, err error) error {
	return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "answer-lost", "the answer of %s to %s was lost after %d bytes", address, name, bytes).WithCause(err)
}

func answerLost(name, address string, err error) error {
	return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "answer-lost", "the answer of %s to %s was lost", address, name).WithCause(err)
}
