package service

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/ledger"
	"hornbeamwood/internal/node/httphead"
)

// sendOnce sends a non-idempotent call on a connection of its own.
//
// http.Transport resends a request by itself when a pooled connection turns out
// to be closed, and does not report whether bytes of the request were sent. Here
// the request is written once to a new connection, and a failure before the first
// byte is handed to the kernel proves that nothing ran.
func (c *client) sendOnce(ctx context.Context, s Server, r Request, attempt string) (Answer, error) {
	request, err := newRequest(ctx, s, r, attempt)
	if err != nil {
		return Answer{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "invalid-call", "the call can't be sent").WithCause(err)
	}
	request.Close = true
	var b bytes.Buffer
	if err := request.Write(&b); err != nil {
		return Answer{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "invalid-call", "the call can't be sent").WithCause(err)
	}
	conn, err := c.Dial(ctx, s.Address)
	if err != nil {
		return Answer{}, unreachable(err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if ctx.Err() != nil {
		return Answer{}, unreachable(ctx.Err())
	}
	return exchange(conn, request, b.Bytes())
}

// exchange writes the request and reads the answer; after a failure the call may have run.
func exchange(conn net.Conn, request *http.Request, b []byte) (Answer, error) {
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(b)
		written <- err
	}()
	limit := int64(maxHeaderBytes + 4*ledger.MaxBody)
	response, err := httphead.Read(bufio.NewReader(io.LimitReader(conn, limit)), request)
	if err != nil {
		conn.Close()
		return Answer{}, connectionLost(errors.Join(err, <-written))
	}
	defer response.Body.Close()
	return readAnswer(response, ledger.MaxBody+1)
}
