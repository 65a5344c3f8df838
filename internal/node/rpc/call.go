package rpc

import (
	"context"
	"net/http"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// call sends one request and returns the answer's body.
//
// Once a byte was handed to the connection nobody can say whether it left, so
// from then on every failure is MayHaveRun.
func (n *node) call(ctx context.Context, address, name string, body []byte) ([]byte, error) {
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
	if err := writeFrame(s, header{Name: name, Timeout: remaining(ctx), Body: body}); err != nil {
		return nil, lost(name, address, err)
	}
	_ = s.Close()
	r := &countingReader{Reader: s}
	a, err := readFrame[answer](r)
	n.countAnswer(name, r.bytes, err == nil)
	if err != nil {
		return nil, brokeOff(name, address, r.bytes, err)
	}
	if a.Failure != nil {
		return nil, *a.Failure
	}
	return a.Body, nil
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
		return lost(name, address, err)
	}
	return s.Close()
}

func remaining(ctx context.Context) int64 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, int64(time.Until(d)))
}

func unreachable(address string, err error) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "unreachable", "the process at %s can't be reached", address).WithCause(err)
}

func brokeOff(name, address string, bytes int, err error) error {
	return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "answer-lost", "the answer of %s to %s was lost after %d bytes", address, name, bytes).WithCause(err)
}

func lost(name, address string, err error) error {
	return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "answer-lost", "the answer of %s to %s was lost", address, name).WithCause(err)
}
