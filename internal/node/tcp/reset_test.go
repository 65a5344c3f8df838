package tcp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 16 << 20
	partialBody = "part"
)

// upload writes while it reads to the end, and returns what it has read.
func upload(t *testing.T, server func(c *net.TCPConn)) ([]byte, error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		if c, err := l.Accept(); err == nil {
			server(c.(*net.TCPConn))
		}
	}()
	c, err := Dial(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = c.Write(make([]byte, uploadBytes)) }()
	return io.ReadAll(c)
}

// respond writes part of a response and reads on in the request.
func respond(c *net.TCPConn) {
	_, _ = io.WriteString(c, partialBody)
	_, _ = io.CopyN(io.Discard, c, uploadBytes/8)
}

// Guards against a response in part that passes for whole: its server resets the connection during an upload, the write
// takes the error of the socket, and the read after it sees an end.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	const rounds = 20
	for i := range rounds {
		got, err := upload(t, func(c *net.TCPConn) {
			respond(c)
			_ = c.SetLinger(0)
			_ = c.Close()
		})
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("round %d: got %q, %v", i, got, err)
		}
	}
}

// Guards against a whole response that is lost: its server has ended it in order, and resets the connection after that
// because the rest of an upload arrives.
func TestEndBeforeAResetIsAnEnd(t *testing.T) {
	got, err := upload(t, func(c *net.TCPConn) {
		respond(c)
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
	})
	if err != nil || string(got) != partialBody {
		t.Errorf("got %q, %v", got, err)
	}
}
