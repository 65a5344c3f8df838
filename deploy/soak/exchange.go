package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// exchangeBound is the longest time that one request may take.
const exchangeBound = 5 * time.Second

// connection is a connection of a caller to an entry.
type connection struct {
	net.Conn
	r *bufio.Reader
}

// connections are the connections of one caller. net/http sends no HTTP/1.0.
type connections struct {
	protocol string
	// closes is set if the caller asks for the end of each connection.
	closes bool
	kept   map[string]*connection
}

// send sends a request and has read read the body of a response with status 200. It returns the status and, unless
// read ended with io.EOF, the error.
func (c *connections) send(front, path, body string, header http.Header, read func(body io.Reader) error) (int, error) {
	conn := c.kept[front]
	delete(c.kept, front)
	if conn == nil {
		n, err := net.DialTimeout("tcp", front, time.Second)
		if err != nil {
			return 0, err
		}
		conn = &connection{Conn: n, r: bufio.NewReader(n)}
	}
	keeps := false
	defer func() {
		if !keeps {
			_ = conn.Close()
		}
	}()
	if err := conn.SetDeadline(time.Now().Add(exchangeBound)); err != nil {
		return 0, err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/%s\r\nHost: soak\r\nX-Api-Key: k1\r\nDeadline-Ms: 4000\r\nContent-Length: %d\r\n", path, c.protocol, len(body))
	if c.closes {
		b.WriteString("Connection: close\r\n")
	}
	_ = header.Write(&b)
	b.WriteString("\r\n" + body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return 0, err
	}
	a, err := http.ReadResponse(conn.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	if a.StatusCode != http.StatusOK {
		read = func(body io.Reader) error {
			if _, err := io.Copy(io.Discard, body); err != nil {
				return err
			}
			return io.EOF
		}
	}
	if err := read(a.Body); !errors.Is(err, io.EOF) {
		return a.StatusCode, err
	}
	if keeps = !a.Close && !c.closes; keeps {
		c.kept[front] = conn
	}
	return a.StatusCode, nil
}

// close closes the connections that are open.
func (c *connections) close() {
	for _, conn := range c.kept {
		_ = conn.Close()
	}
}
