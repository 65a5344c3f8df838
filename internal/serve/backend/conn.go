package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBuffer holds a plain answer whole in most cases.
	readBuffer = 4 << 10
	// defaultIdle is how long a connection without an announced timeout is kept: short, since nobody says how long the server keeps it.
	defaultIdle = 2 * time.Second
	// idleMargin is kept off an announced timeout, for the way of the next request.
	idleMargin = 700 * time.Millisecond
)

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is when the server may close the connection while it is idle.
	until time.Time
	// used says that the connection carried a request before.
	used bool
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// quiet returns whether the idle connection is open and holds no byte.
//
// An answer that comes late, or twice, lies there before the next request is
// sent and would be taken for that one's answer. A closed connection would lose
// the next request in a way that doesn't tell whether it ran.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 || time.Now().After(c.until) {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, e := syscall.Read(int(fd), b[:])
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keep notes how long the server keeps the idle connection.
func (c *conn) keep(h http.Header, now time.Time) {
	idle := defaultIdle
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(v), "=")
		if n, err := strconv.Atoi(seconds); err == nil && strings.EqualFold(name, "timeout") {
			idle = time.Duration(n)*time.Second - idleMargin
		}
	}
	c.until = now.Add(idle)
}

// timedOut returns whether err is the end of a read's or write's time.
func timedOut(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// brokeOff returns whether err means that the other side ended the connection.
func brokeOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
