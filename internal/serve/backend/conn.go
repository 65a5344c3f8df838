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

	"hornbeamwood/internal/node/boottime"
	"hornbeamwood/internal/node/dial"
	"hornbeamwood/internal/node/httphead"
	"hornbeamwood/internal/node/rpc"
)

const (
	// readBufferBytes is large enough for most plain responses.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long a connection is kept if the server announces no timeout. It
	// is short because the server's timeout is unknown.
	defaultIdleTimeout = 2 * time.Second
	// idleMargin is subtracted from an announced timeout, for the latency of the next request.
	idleMargin = 700 * time.Millisecond
	// maxHeadBytes bounds what is read of a connection until the head, or the trailer, of a response has ended, several
	// times what servers send.
	maxHeadBytes = 64 << 10
	// recordInterval is the least interval at which the bytes of one connection are recorded.
	recordInterval = 20 * time.Millisecond
)

// errHeadTooLong means that the head, or the trailer, of a response has not ended within maxHeadBytes.
var errHeadTooLong = errors.New("the head or the trailer of the response is too long")

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// reusableUntil is when the server may close the connection while it is idle.
	reusableUntil time.Time
	// reused is set if the connection has carried a request before.
	reused bool
	// onTimeout, if set, is called when a read has timed out. It returns whether to read again.
	onTimeout func() bool
	// headLeft is how many bytes may be read before the head or the trailer has ended, nil while none is read.
	headLeft *int
	// address is the server's address, tunnelled whether the connection leads through another entry.
	address   string
	tunnelled bool
	// heardAt is when bytes last came, or when the connection was established. recordedAt is when
	// paths was last told.
	heardAt, recordedAt time.Time
	establishedAt       time.Time
	// openedAt is when the connection was established, by the boot clock.
	openedAt time.Duration
	paths    Paths
}

func newConn(c net.Conn, address string, p Paths) *conn {
	now := time.Now()
	x := &conn{Conn: c, address: address, tunnelled: dial.Via(c) != "", heardAt: now, establishedAt: now, openedAt: boottime.Now(), paths: p}
	x.reader = bufio.NewReaderSize(x, readBufferBytes)
	return x
}

// Read implements net.Conn.
//
// Readers of the connection return each error again, so a timeout that doesn't end the exchange is
// not passed on to them. The reader of net/http keeps a head of any length.
func (c *conn) Read(b []byte) (int, error) {
	if c.headLeft != nil {
		if *c.headLeft == 0 {
			return 0, errHeadTooLong
		}
		b = b[:min(len(b), *c.headLeft)]
	}
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.recordReceived(time.Now())
		}
		if c.headLeft != nil {
			*c.headLeft -= n
		}
		if n > 0 || !timedOut(err) || c.onTimeout == nil || !c.onTimeout() {
			return n, err
		}
	}
}

// readHead reads the head of a final response.
func (c *conn) readHead(q *http.Request) (r *http.Response, err error) {
	err = c.readBounded(func() error {
		r, err = httphead.Read(c.reader, q)
		return err
	})
	return r, err
}

// readBounded calls read, which reads a head or a trailer, and fails its reads after maxHeadBytes.
func (c *conn) readBounded(read func() error) error {
	left := maxHeadBytes
	c.headLeft = &left
	defer func() { c.headLeft = nil }()
	return read()
}

// recordReceived records that bytes have come.
func (c *conn) recordReceived(now time.Time) {
	c.heardAt = now
	if !c.tunnelled && now.Sub(c.recordedAt) > recordInterval {
		c.recordedAt = now
		c.paths.Received(c.address, now)
	}
}

// clean returns whether the next request can be sent on the idle connection: it is open and has no unread byte.
//
// A late or duplicate response arrives before the next request is sent and would be taken for
// the response to it. On a closed connection the next request would be lost without showing
// whether it ran.
func (c *conn) clean() bool {
	return !time.Now().After(c.reusableUntil) && c.quiet()
}

// quiet returns whether the connection is open and has no unread byte.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
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
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, e := syscall.Read(int(fd), b[:])
		clean = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && clean
}

// lend makes a connection that has carried nothing one for the next request.
func (c *conn) lend() {
	c.reused = true
	c.setIdleTimeout(nil, c.establishedAt)
}

// setIdleTimeout records how long the server keeps the idle connection.
func (c *conn) setIdleTimeout(h http.Header, now time.Time) {
	idle := defaultIdleTimeout
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(v), "=")
		if n, err := strconv.Atoi(seconds); err == nil && strings.EqualFold(name, "timeout") {
			idle = time.Duration(n)*time.Second - idleMargin
		}
	}
	c.reusableUntil = now.Add(idle)
}

// timedOut returns whether err is the timeout of a read or write.
func timedOut(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Disconnected returns whether an attempt failed because the server closed the connection.
func Disconnected(err error) bool {
	return !timedOut(err) && disconnected(err)
}

// PathLost returns whether an attempt failed because the entry was lost through which its connection led.
func PathLost(err error) bool {
	return errors.Is(err, rpc.ErrLost)
}

// disconnected returns whether err means that the server closed the connection.
func disconnected(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
