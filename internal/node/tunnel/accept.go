package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"hornbeamwood/internal/node/rpc"
)

const (
	// connectTimeout bounds the connection for another entry, which itself waits for dialTimeout.
	connectTimeout = 250 * time.Millisecond
	// maxServed bounds the tunnels for other entries, and bufferBytes the memory of each direction.
	maxServed   = 512
	bufferBytes = 16 << 10
)

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// accept connects to a server for another entry.
func (t *tunnels) accept(ctx context.Context, _ rpc.Peer, q request) (connected, func(rpc.Stream), error) {
	if code := t.obstacle(q); code != "" {
		return connected{}, nil, declined(code, q.Server)
	}
	if t.served.Add(1) > maxServed {
		t.served.Add(-1)
		return connected{}, nil, declined(codeBusy, q.Server)
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := t.Connect(ctx, q.Address)
	if err != nil {
		t.served.Add(-1)
		code := codeUnreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			code = codeRefused
		}
		return connected{}, nil, declined(code, q.Server).WithCause(err)
	}
	return connected{}, func(s rpc.Stream) {
		defer t.served.Add(-1)
		t.pass(s, c)
	}, nil
}

// obstacle returns the code of the reason not to connect, empty if there is none.
func (t *tunnels) obstacle(q request) string {
	address, ok := t.Server(q.Server)
	switch {
	case t.Stopping():
		return codeStopping
	case !ok, address != q.Address:
		return codeUnknown
	case t.InBackoff(q.Server):
		return codeBackoff
	case t.CutOff != nil && t.CutOff(q.Server):
		return codeCutOff
	}
	return ""
}

// pass copies between the stream and the connection to the server until both have ended, or one has failed.
func (t *tunnels) pass(s rpc.Stream, c net.Conn) {
	closeBoth := func() {
		_ = s.Close()
		_ = c.Close()
	}
	defer closeBoth()
	var up sync.WaitGroup
	up.Go(func() {
		if t.copy(c, s) != nil {
			closeBoth()
		}
	})
	if t.copy(s, c) != nil {
		closeBoth()
	}
	up.Wait()
}

// copy copies until the end of from, and ends to then.
func (t *tunnels) copy(to, from net.Conn) error {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	b := buffer[:]
	for {
		n, err := from.Read(b)
		if n > 0 {
			t.bytes.Add(n)
			if _, err := to.Write(b[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if c, ok := to.(interface{ CloseWrite() error }); ok {
				return c.CloseWrite()
			}
			return errors.New("tunnel: the connection can't be half closed")
		case err != nil:
			return err
		}
	}
}
