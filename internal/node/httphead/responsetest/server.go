package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// UploadBytes is the size of a request that the buffers of a connection don't hold.
const UploadBytes = 16 << 20

// Server is a server on the loopback interface.
type Server struct {
	// Address is the IP and port at which it listens.
	Address string

	connections atomic.Int64
}

// NewServer starts a Server that responds to each request, once its body has been read, with the text that respond returns,
// and keeps the connection open.
func NewServer(t testing.TB, respond func(q *http.Request) string) *Server {
	t.Helper()
	return start(t, func(c net.Conn, q *http.Request) bool {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return false
		}
		_, err := io.WriteString(c, respond(q))
		return err == nil
	})
}

// NewResettingServer starts a Server that responds to each upload of UploadBytes at once with the text, reads a part of
// the upload and resets the connection.
func NewResettingServer(t testing.TB, text string) *Server {
	t.Helper()
	return start(t, func(c net.Conn, q *http.Request) bool {
		_, _ = io.WriteString(c, text)
		_, _ = io.CopyN(io.Discard, q.Body, UploadBytes/8)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
}

// start starts a Server whose connections end once respond returns false.
func start(t testing.TB, respond func(c net.Conn, q *http.Request) bool) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(r)
					if err != nil || !respond(c, q) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// Connections returns how many connections were made to it.
func (s *Server) Connections() int {
	return int(s.connections.Load())
}
