package siteentry

import (
	"errors"
	"net"
	"net/http"
	"testing"
)

// A process is told to stop and closes its idle connections at the very moment
// at which a request arrives on one. Either the caller finds its connection
// closed and nothing was done, or it gets its answer; a request that is passed
// on although its connection is closed runs for nobody.
func TestRequestThatCrossesTheClosingIsNotRead(t *testing.T) {
	idle, busy, s := openConn(t), openConn(t), newConns()
	for _, c := range []*testConn{idle, busy} {
		s.all[c.conn] = struct{}{}
		s.changed(c.conn, http.StateIdle)
	}
	go func() { _, _ = busy.far.Write([]byte("G")) }()
	if n, err := busy.conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	read := make(chan error)
	go func() {
		_, err := idle.conn.Read(make([]byte, 1))
		read <- err
	}()
	s.closeIdle()
	if err := <-read; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the idle connection was read: %v", err)
	}
	go func() { _, _ = busy.far.Write([]byte("E")) }()
	if n, err := busy.conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Error("the connection with half a request was closed", n, err)
	}
}

type testConn struct {
	conn *conn
	far  net.Conn
}

func openConn(t *testing.T) *testConn {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	return &testConn{conn: &conn{Conn: near}, far: far}
}
