package rpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
)

// ErrLost means that the connection to the peer was lost.
var ErrLost = errors.New("rpc: the connection was lost")

// Stream is a bidirectional stream of bytes between two processes.
//
// Reads return io.EOF only after the peer's CloseWrite. When the peer closes the stream without it, they fail
// with an error that wraps syscall.ECONNRESET, and when the connection to the peer is lost, with one that wraps
// ErrLost.
type Stream interface {
	net.Conn
	// CloseWrite ends the bytes to the peer. It must not be called concurrently with Write.
	CloseWrite() error
}

// Opener serves the opening of a stream. The peer gets either the error or R; after R, serve is called with the
// stream, which is closed when serve returns. If R couldn't be sent, the stream's reads and writes fail.
type Opener[Q, R any] func(ctx context.Context, p Peer, q Q) (r R, serve func(s Stream), err error)

// Accept registers o for m. It must be called before Serve.
func Accept[Q, R any](n Node, m Method[Q, R], o Opener[Q, R]) {
	n.register(m.Name, rawHandler{roles: m.Roles, call: refuseCall(m.Name), open: func(ctx context.Context, p Peer, body []byte) ([]byte, func(Stream), error) {
		q, err := codec.Unmarshal[Q](body)
		if err != nil {
			return nil, nil, malformed(m.Name, err)
		}
		r, serve, err := o(ctx, p, q)
		if err != nil {
			return nil, nil, err
		}
		b, err := codec.Marshal(r)
		return b, serve, err
	}})
}

// refuseCall returns the handler of a method that only opens streams.
func refuseCall(name string) func(context.Context, Peer, []byte) ([]byte, error) {
	return func(context.Context, Peer, []byte) ([]byte, error) {
		return nil, verdict.New(verdict.NotRun, http.StatusBadRequest, "not-a-call", "%s opens a stream", name)
	}
}

// Open sends q to the process at address and returns its answer and a stream. ctx bounds only the opening.
//
// A failure is a verdict.Error, as those of Call.
func Open[Q, R any](ctx context.Context, n Node, address string, m Method[Q, R], q Q) (R, Stream, error) {
	var zero R
	body, err := codec.Marshal(q)
	if err != nil {
		return zero, nil, verdict.New(verdict.NotRun, http.StatusInternalServerError, "not-encoded", "the call could not be encoded").WithCause(err)
	}
	b, s, err := n.open(ctx, address, request{name: m.Name, body: body})
	if err != nil {
		return zero, nil, err
	}
	r, err := codec.Unmarshal[R](b)
	if err != nil {
		_ = s.Close()
		return zero, nil, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "malformed-answer", "the answer to %s could not be read", m.Name).WithCause(err)
	}
	return r, s, nil
}

// open sends a request and returns the body of its answer and the stream that carried it.
func (n *node) open(ctx context.Context, address string, q request) ([]byte, Stream, error) {
	c, release, err := n.streams.use(ctx, address)
	if err != nil {
		return nil, nil, unreachable(address, err)
	}
	qs, err := c.OpenStreamSync(ctx)
	if err != nil {
		release()
		return nil, nil, unreachable(address, err)
	}
	s := newStream(qs, c, release)
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	a, err := exchange(ctx, s, q)
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil {
		_ = s.Close()
		return nil, nil, answerLost(q.name, address, err)
	}
	if a.Failure != nil {
		_ = s.Close()
		return nil, nil, *a.Failure
	}
	return a.Body, s, nil
}

// exchange sends a request and reads its answer.
func exchange(ctx context.Context, s Stream, q request) (answer, error) {
	if err := writeFrame(s, header{Name: q.name, Timeout: q.timeout(ctx), Body: q.body}); err != nil {
		return answer{}, err
	}
	return readFrame[answer](s)
}

// serveStream answers the opening of a stream and serves it.
func (n *node) serveStream(ctx context.Context, s *stream, p Peer, h header, r rawHandler) {
	defer s.Close()
	body, serve, err := r.open(ctx, p, h.Body)
	if err != nil {
		if writeFrame(s, answer{Failure: failure(err)}) == nil {
			_ = s.CloseWrite()
		}
		return
	}
	if writeFrame(s, answer{Body: body}) != nil {
		_ = s.Close()
	}
	serve(s)
}

// stream implements Stream.
type stream struct {
	s             *quic.Stream
	local, remote net.Addr
	ended         atomic.Bool
	release       func()
}

// newStream returns a Stream that calls release once it is closed.
func newStream(s *quic.Stream, c *quic.Conn, release func()) *stream {
	return &stream{s: s, local: c.LocalAddr(), remote: c.RemoteAddr(), release: sync.OnceFunc(release)}
}

// Read implements net.Conn.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.s.Read(b)
	return n, s.describe(err)
}

// Write implements net.Conn.
func (s *stream) Write(b []byte) (int, error) {
	n, err := s.s.Write(b)
	return n, s.describe(err)
}

// describe returns the error that stands for one of the QUIC library.
//
// The timeout of a lost connection must not appear to be that of a deadline.
func (s *stream) describe(err error) error {
	var reset *quic.StreamError
	switch {
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case errors.As(err, &reset) && reset.Remote:
		return fmt.Errorf("rpc: %s reset the stream: %w", s.remote, syscall.ECONNRESET)
	case errors.As(err, &reset):
		return net.ErrClosed
	}
	return fmt.Errorf("%w: %s: %v", ErrLost, s.remote, err)
}

// CloseWrite implements Stream.
func (s *stream) CloseWrite() error {
	s.ended.Store(true)
	return s.s.Close()
}

// Close implements net.Conn. The peer's reads fail unless CloseWrite was called before.
func (s *stream) Close() error {
	s.s.CancelRead(0)
	if !s.ended.Load() {
		s.s.CancelWrite(0)
	}
	s.release()
	return nil
}

// LocalAddr implements net.Conn.
func (s *stream) LocalAddr() net.Addr { return s.local }

// RemoteAddr implements net.Conn.
func (s *stream) RemoteAddr() net.Addr { return s.remote }

// SetDeadline implements net.Conn.
func (s *stream) SetDeadline(t time.Time) error { return s.s.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (s *stream) SetReadDeadline(t time.Time) error { return s.s.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (s *stream) SetWriteDeadline(t time.Time) error { return s.s.SetWriteDeadline(t) }
