package inbound

import (
	"bytes"
	"net"
	"time"
)

const (
	// freeHeaderBytes is the part of a head's cost that is part of connectionBytes.
	freeHeaderBytes = 8 << 10
	// lineBytes is the cost of a line of a head: its strings and its place in a map.
	lineBytes = 256
	// readAheadBytes is how many bytes behind a head the HTTP server may read with it.
	readAheadBytes = 4 << 10
	// headMemoryTime bounds how long a head waits for memory.
	headMemoryTime = time.Second
	// lingerTime is how long a connection stays open after a refusal, so that its client reads the refusal.
	lingerTime = 500 * time.Millisecond
)

// headTooLarge is the refusal of a head that is too large, which ends the connection.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 18\r\n\r\nheaders-too-large\n"

// head counts the head that a connection receives.
type head struct {
	bytes, lines int
	// reserved is the cost for which memory was asked.
	reserved int64
}

// add counts a part of the head and returns what more must be reserved for it.
func (h *head) add(b []byte) (cost int64) {
	h.bytes += len(b)
	h.lines += bytes.Count(b, []byte{'\n'})
	cost = int64(2*h.bytes+lineBytes*h.lines) - freeHeaderBytes - h.reserved
	if cost <= 0 {
		return 0
	}
	h.reserved += cost
	return cost
}

// exceeds returns whether the head is larger than a limit.
func (h *head) exceeds(limits func() Limits) bool {
	return h.bytes > readAheadBytes && h.bytes > limits().HeaderBytes+readAheadBytes
}

// refuseHead answers a head that is too large before the rest of it is read, and closes the connection.
func (c *conn) refuseHead() {
	c.server.account.ended(endedForLargeHeader)
	deadline := time.Now().Add(lingerTime)
	_ = c.Conn.SetDeadline(deadline)
	if _, err := c.Conn.Write([]byte(headTooLarge)); err == nil && c.CloseWrite() == nil {
		c.setHeadRefused()
		// A connection that is closed with unread bytes is reset, and its client may lose the answer.
		discard(c.Conn, deadline)
	}
	c.close()
}

// discard reads until the end of a connection or the deadline.
func discard(c net.Conn, deadline time.Time) {
	b := make([]byte, readAheadBytes)
	for time.Now().Before(deadline) {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}
