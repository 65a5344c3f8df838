package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// framing is how a server marks the end of a response.
type framing int

const (
	// byLength announces a length, byChunks sends chunks, byEnd ends the connection.
	byLength framing = iota
	byChunks
	byEnd
	framings
)

// output writes the body of one response.
type output struct {
	w http.ResponseWriter
	// conn is nil unless the response ends with its connection.
	conn net.Conn
}

// newOutput writes the head of a response and returns the output for its body.
func newOutput(w http.ResponseWriter, f framing, length int) (output, error) {
	if f == byEnd {
		conn, err := writeHead(w, head(w.Header())+"Connection: close\r\n\r\n")
		return output{conn: conn}, err
	}
	if f == byLength {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	w.WriteHeader(http.StatusOK)
	return output{w: w}, nil
}

func (o output) write(text string) error {
	if o.conn != nil {
		_, err := io.WriteString(o.conn, text)
		return err
	}
	if _, err := io.WriteString(o.w, text); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}

func (o output) close() {
	if o.conn != nil {
		_ = o.conn.Close()
	}
}

// cutHead writes a part of the head of a response and closes or resets its connection.
func cutHead(w http.ResponseWriter, r *rand.Rand, length int) {
	h := head(w.Header())
	line := strings.Index(h, "\r\n")
	at := []int{1 + r.IntN(line), line + r.IntN(len(h)-line)}
	if length >= 10 {
		// Within the digits, so that a shorter length remains.
		h += fmt.Sprint("Content-Length: ", length)
		at = append(at, len(h)-1)
	}
	conn, err := writeHead(w, h[:at[r.IntN(len(at))]])
	if err != nil {
		return
	}
	if t, ok := conn.(*net.TCPConn); ok && r.IntN(2) == 0 {
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}

// head returns the status line and the header fields of a response.
func head(h http.Header) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	_ = h.Write(&b)
	return b.String()
}

// writeHead takes the connection over and writes to it.
func writeHead(w http.ResponseWriter, text string) (net.Conn, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(conn, text)
	return conn, err
}
