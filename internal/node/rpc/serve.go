package rpc

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/quic-go/quic-go"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
)

// readTimeout is how long a peer may take to send a request.
const readTimeout = 10 * time.Second

func (n *node) acceptCalls(ctx context.Context, c *quic.Conn) {
	p := peerOf(c.ConnectionState().TLS, c.RemoteAddr().String())
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		n.running.Go(func() { n.answerCall(s, c, p) })
	}
}

func (n *node) acceptNotices(ctx context.Context, c *quic.Conn) {
	p := peerOf(c.ConnectionState().TLS, c.RemoteAddr().String())
	for {
		s, err := c.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		n.running.Go(func() { n.handleNotice(s, p) })
	}
}

func (n *node) answerCall(s *quic.Stream, c *quic.Conn, p Peer) {
	defer s.Close()
	_ = s.SetReadDeadline(time.Now().Add(readTimeout))
	h, err := readFrame[header](s)
	if err != nil {
		return
	}
	ctx, cancel := deadline(s.Context(), h.Timeout)
	defer cancel()
	r, err := n.handler(p, h.Name)
	if err == nil && r.open != nil {
		_ = s.SetReadDeadline(time.Time{})
		n.serveStream(ctx, newStream(s, c, func() {}), p, h, r)
		return
	}
	var body []byte
	if err == nil {
		body, err = r.call(ctx, p, h.Body)
	}
	a := answer{Body: body}
	if err != nil {
		a = answer{Failure: failure(err)}
	}
	if err := writeFrame(s, a); err != nil {
		s.CancelWrite(0)
	}
}

func (n *node) handleNotice(s io.Reader, p Peer) {
	h, err := readFrame[header](s)
	if err != nil {
		return
	}
	r, err := n.handler(p, h.Name)
	if err == nil {
		_, err = r.call(context.Background(), p, h.Body)
	}
	if err != nil {
		event.NoticeRefused.Write(n.config.Logger, log.Fields{"peer": p.Name, "notice": h.Name, "error": err.Error()})
	}
}

// handler returns the handler of the method or notice, which the peer may call.
func (n *node) handler(p Peer, name string) (rawHandler, error) {
	r, ok := n.handlers[name]
	if !ok {
		return rawHandler{}, verdict.New(verdict.NotRun, http.StatusNotFound, "unknown-method", "this process has no method %q", name)
	}
	if !allowed(r.roles, p.Role) {
		event.PeerRefused.Write(n.config.Logger, log.Fields{"peer": p.Name, "role": string(p.Role), "method": name})
		return rawHandler{}, verdict.New(verdict.NotRun, http.StatusForbidden, "forbidden-role", "role %q may not call %q", p.Role, name)
	}
	return r, nil
}

func deadline(ctx context.Context, timeout int64) (context.Context, context.CancelFunc) {
	if timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(timeout))
}

// failure converts err for the answer. An error without a verdict becomes MayHaveRun.
func failure(err error) *verdict.Error {
	if e, ok := verdict.As(err); ok {
		return &e
	}
	e := verdict.New(verdict.MayHaveRun, http.StatusInternalServerError, "failed", "%v", err)
	return &e
}
