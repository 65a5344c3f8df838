package service

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
)

// ending is how the fake service ends a connection after reading.
type ending int

const (
	endReset ending = iota
	endClose
	endHalfClose
	endHang
	endRefuse
	endAnswer
	endCutHeader
	endCutBody
	endNoLength
	endGarbage
	endingCount
)

// breakingService is a TCP server that reads some bytes, runs the call if it has
// read enough of them, and ends the connection in the given way.
type breakingService struct {
	listener net.Listener
	// reads is the number of bytes to read before the end; nothing is read unless it is positive.
	reads int
	// runsAt is the number of bytes after which the call runs.
	runsAt     int
	ending     ending
	ran        atomic.Int32
	got        atomic.Int32
	disconnect context.CancelFunc
}

func newBreakingService(t testing.TB, r *rand.Rand, size int) *breakingService {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &breakingService{listener: l, reads: r.IntN(size+2) - 1, runsAt: 1 + r.IntN(size), ending: ending(r.IntN(int(endingCount)))}
	if r.IntN(2) == 0 {
		b.reads = size
	}
	if b.ending == endRefuse {
		b.runsAt = size + 1
	}
	return b
}

// serve handles connections until the listener is closed.
func (b *breakingService) serve() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.handle(c.(*net.TCPConn))
	}
}

func (b *breakingService) handle(c *net.TCPConn) {
	defer c.Close()
	if b.reads > 0 {
		n, _ := io.ReadFull(c, make([]byte, b.reads))
		b.got.Store(int32(n))
		if n >= b.runsAt {
			b.ran.Add(1)
		}
	}
	switch b.ending {
	case endReset:
		_ = c.SetLinger(0)
	case endHalfClose:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case endHang:
		b.disconnect()
		_, _ = io.Copy(io.Discard, c)
	default:
		fmt.Fprint(c, answers[b.ending])
	}
}

// answers are the bytes that the fake service sends before it closes the connection.
var answers = map[ending]string{
	endRefuse:    "HTTP/1.1 503 Busy\r\nHornbeamwood-Verdict: not-run\r\nContent-Length: 0\r\n\r\n",
	endAnswer:    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
	endCutHeader: "HTTP/1.1 200 OK\r\nContent-Le",
	endCutBody:   "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone",
	endNoLength:  "HTTP/1.1 200 OK\r\n\r\ndo",
	endGarbage:   "\x16\x03\x01\x02\x00",
}

func (b *breakingService) String() string {
	return fmt.Sprintf("reads %d, runs at %d, ending %d, got %d", b.reads, b.runsAt, b.ending, b.got.Load())
}
