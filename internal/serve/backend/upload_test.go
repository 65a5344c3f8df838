package backend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// startResetting starts a server that lives on: it answers uploads at once with part of a body that has no length, reads on, and
// resets their connections.
func startResetting(t *testing.T) Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	mux := http.NewServeMux()
	mux.HandleFunc(probePath, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/upload", func(w http.ResponseWriter, q *http.Request) {
		c, r, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\npart")
		_, _ = io.CopyN(io.Discard, r, uploadBytes/8)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return Target{ID: "s", Address: l.Addr().String(), ProbePath: probePath}
}

// Guards against a response in part that passes for whole because its server, which lives on, resets the connection while the
// request is still being written.
func TestResetDuringAnUploadIsNotWhole(t *testing.T) {
	const requests = 20
	target := startResetting(t)
	l := New(Config{Belongs: func(string, http.Header) bool { return true }})
	t.Cleanup(l.Close)
	for i := range requests {
		m := Message{Method: http.MethodPost, Target: "/upload", Host: "h", Header: http.Header{}, Body: make([]byte, uploadBytes)}
		x, err := l.Send(t.Context(), target, "a", m, Timing{Deadline: time.Now().Add(5 * time.Second)})
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, x)
		if err == nil {
			err = x.Prove(t.Context())
		}
		x.Close()
		if err == nil {
			t.Errorf("request %d: the response passes for whole", i+1)
		} else if errors.Is(err, ErrUnproved) {
			t.Errorf("request %d: the reset was read as an end: %v", i+1, err)
		}
	}
}
