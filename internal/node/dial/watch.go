package dial

import (
	"fmt"
	"net"
	"sync"
	"time"

	"hornbeamwood/internal/policy/reach"
)

// watched is a connection of a client that keeps connections for further requests.
type watched struct {
	net.Conn
	address string
	paths   reach.Paths
	mu      sync.Mutex
	// answered is set if bytes came since the last write, so that the next write begins a request.
	answered   bool
	receivedAt time.Time
}

// Watch returns c, a connection to the server at address, for a client that keeps it for further requests, such as
// http.Transport. A request on it fails before its first byte is written if the path isn't the right one any more,
// so that the client opens another connection.
func Watch(c net.Conn, address string, p reach.Paths) net.Conn {
	return &watched{Conn: c, address: address, paths: p, receivedAt: time.Now()}
}

// Read implements net.Conn.
func (w *watched) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		now := time.Now()
		w.mu.Lock()
		w.answered, w.receivedAt = true, now
		w.mu.Unlock()
		if Via(w.Conn) == "" {
			w.paths.Received(w.address, now)
		}
	}
	return n, err
}

// Write implements net.Conn.
func (w *watched) Write(b []byte) (int, error) {
	w.mu.Lock()
	begins, receivedAt := w.answered, w.receivedAt
	w.answered = false
	w.mu.Unlock()
	if begins && !w.usable(receivedAt) {
		_ = w.Close()
		return 0, fmt.Errorf("dial: another path leads to %s now: %w", w.address, net.ErrClosed)
	}
	return w.Conn.Write(b)
}

func (w *watched) usable(receivedAt time.Time) bool {
	if Via(w.Conn) != "" {
		return w.paths.CutOff(w.address)
	}
	return w.paths.Trusted(w.address, receivedAt)
}
