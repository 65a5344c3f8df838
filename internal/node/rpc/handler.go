package rpc

import (
	"context"
	"net/http"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/keys"
)

// Handler serves one call.
type Handler[Q, R any] func(ctx context.Context, p Peer, q Q) (R, error)

// Receiver handles one notice.
type Receiver[Q any] func(p Peer, q Q)

// rawHandler serves a call or a notice, or the opening of a stream if open is set.
type rawHandler struct {
	roles []keys.Role
	call  func(ctx context.Context, p Peer, body []byte) ([]byte, error)
	open  func(ctx context.Context, p Peer, body []byte) ([]byte, func(Stream), error)
}

// Handle registers h for m. It must be called before Serve.
func Handle[Q, R any](n Node, m Method[Q, R], h Handler[Q, R]) {
	n.register(m.Name, rawHandler{roles: m.Roles, call: func(ctx context.Context, p Peer, body []byte) ([]byte, error) {
		q, err := codec.Unmarshal[Q](body)
		if err != nil {
			return nil, malformed(m.Name, err)
		}
		r, err := h(ctx, p, q)
		if err != nil {
			return nil, err
		}
		return codec.Marshal(r)
	}})
}

// Receive registers r for n. It must be called before Serve.
func Receive[Q any](o Node, n Notice[Q], r Receiver[Q]) {
	o.register(n.Name, rawHandler{roles: n.Roles, call: func(_ context.Context, p Peer, body []byte) ([]byte, error) {
		q, err := codec.Unmarshal[Q](body)
		if err != nil {
			return nil, malformed(n.Name, err)
		}
		r(p, q)
		return nil, nil
	}})
}

// Call sends q to the process at address and returns its result.
//
// A failure is a verdict.Error: NotRun if the call was never sent or the peer
// refused it without executing it, MayHaveRun if the answer was lost.
func Call[Q, R any](ctx context.Context, n Node, address string, m Method[Q, R], q Q) (R, error) {
	var zero R
	body, err := codec.Marshal(q)
	if err != nil {
		return zero, verdict.New(verdict.NotRun, http.StatusInternalServerError, "not-encoded", "the call could not be encoded").WithCause(err)
	}
	b, err := n.call(ctx, address, request{name: m.Name, idle: m.Idle, body: body})
	if err != nil {
		return zero, err
	}
	r, err := codec.Unmarshal[R](b)
	if err != nil {
		return zero, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "malformed-answer", "the answer to %s could not be read", m.Name).WithCause(err)
	}
	return r, nil
}

// Notify sends q to the process at address. It waits only for a connection, and the message may be lost.
func Notify[Q any](ctx context.Context, o Node, address string, n Notice[Q], q Q) error {
	body, err := codec.Marshal(q)
	if err != nil {
		return err
	}
	return o.notify(ctx, address, n.Name, body)
}

func malformed(name string, err error) error {
	return verdict.New(verdict.NotRun, http.StatusBadRequest, "malformed-call", "the body of %s could not be read", name).WithCause(err)
}
