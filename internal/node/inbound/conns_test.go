package inbound

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// A process that is stopping closes its idle connections just as a request arrives on one. Either the caller
// finds its connection closed and the request has not run, or it gets its response. A request that is passed on
// although its connection is closed runs for nothing.
func TestRequestDuringIdleCloseIsNotRead(t *testing.T) {
	x := newTestServer(t)
	s := x.conns
	idle, active := openConn(t, x), openConn(t, x)
	for _, c := range []*testConn{idle, active} {
		x.stateChanged(c.conn, http.StateIdle)
	}
	go func() { _, _ = active.peer.Write([]byte("G")) }()
	if n, err := active.conn.Read(make([]byte, 1)); n != 1 || err != nil {
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
	go func() { _, _ = active.peer.Write([]byte("E")) }()
	if n, err := active.conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Error("the connection with a partial request was closed", n, err)
	}
}

type testConn struct {
	conn *conn
	peer net.Conn
}

// newTestServer returns a server with small limits and an account of testBytes.
func newTestServer(t *testing.T) *server {
	s := New(Config{
		Name: "test", Handler: http.NotFoundHandler(), Account: NewAccount(AccountConfig{Bounds: Bounds{Bytes: testBytes}}),
		Limits: func() Limits {
			return Limits{HeaderBytes: 1 << 10, IdleTimeout: time.Minute, HeaderTimeout: 10 * time.Second}
		},
	})
	t.Cleanup(func() { _ = s.Close() })
	return s.(*server)
}

const testBytes = 1 << 20

// openConn returns a connection that the server has accepted.
func openConn(t *testing.T, s *server) *testConn {
	local, peer := net.Pipe()
	t.Cleanup(func() { _ = peer.Close() })
	c := &conn{Conn: local, server: s}
	c.enter(phaseIdle)
	s.conns.add(c)
	s.account.add(c)
	return &testConn{conn: c, peer: peer}
}

// Guards against clients that connect again and again and leave no place to one that sends its request at once: they send
// none, stop in its head, or stay after a refusal. A request that is served keeps its place.
func TestUnservedConnectionsMakeRoom(t *testing.T) {
	for name, x := range map[string]struct {
		prepare func(s *server, c *testConn)
		reason  string
	}{
		"silent":  {func(*server, *testConn) {}, ""},
		"partial": {func(_ *server, c *testConn) { c.receive(t, "G") }, ""},
		"body refused": {func(s *server, c *testConn) {
			c.receive(t, "G")
			s.stateChanged(c.conn, http.StateActive)
			c.conn.setBodyRefused()
			go func() { _, _ = c.peer.Read(make([]byte, 1)) }()
			if _, err := c.conn.Write([]byte("H")); err != nil {
				t.Fatal(err)
			}
		}, ""},
		"head refused": {func(_ *server, c *testConn) {
			c.receive(t, "G")
			c.conn.setHeadRefused()
		}, ""},
		"served": {func(s *server, c *testConn) {
			c.receive(t, "G")
			s.stateChanged(c.conn, http.StateActive)
		}, TooManyConnections},
	} {
		s := newTestServer(t)
		s.config.Connections = 1
		c := openConn(t, s)
		x.prepare(s, c)
		if reason := s.refuses(time.Now()); reason != x.reason {
			t.Errorf("%s: a new connection is refused for %q, want %q", name, reason, x.reason)
		}
	}
}

// receive passes a text to the connection and reads it there.
func (c *testConn) receive(t *testing.T, text string) {
	t.Helper()
	go func() { _, _ = c.peer.Write([]byte(text)) }()
	if n, err := c.conn.Read(make([]byte, len(text))); n != len(text) || err != nil {
		t.Fatal(n, err)
	}
}

// An operator sets an idle timeout of a minute. An entry that closes idle connections sooner, by a limit of its
// own, does so while callers that rely on the setting send their next requests. One that never closes them runs
// out of file descriptors, as it does with callers that stop in the middle of the headers.
func TestDocumentSetsConnectionTimeouts(t *testing.T) {
	limits := Limits{HeaderBytes: 1 << 10, IdleTimeout: time.Minute, HeaderTimeout: 10 * time.Second}
	server := newTestServer(t)
	s := server.conns
	idle, partial, active := openConn(t, server), openConn(t, server), openConn(t, server)
	for _, c := range []*testConn{partial, active} {
		go func() { _, _ = c.peer.Write([]byte("G")) }()
		if _, err := c.conn.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	server.stateChanged(active.conn, http.StateActive)
	now := time.Now()
	for _, x := range []struct {
		after              time.Duration
		idle, half, served bool
	}{
		{9 * time.Second, false, false, false},
		{11 * time.Second, false, true, false},
		{59 * time.Second, false, true, false},
		{61 * time.Second, true, true, false},
	} {
		s.expire(now.Add(x.after), limits, func(string) {})
		if idle.conn.closed != x.idle || partial.conn.closed != x.half || active.conn.closed != x.served {
			t.Errorf("after %v: idle closed %t, partial headers closed %t, serving closed %t", x.after, idle.conn.closed, partial.conn.closed, active.conn.closed)
		}
	}
}

// Guards against connections that stay tracked after they have closed: they cost memory, and after some days the process
// reports thousands of clients.
func TestClosedConnectionsAreNotTracked(t *testing.T) {
	s := newTestServer(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	for range 3 {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := c.Get("http://" + l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
	}
	eventually(t, "no connection is tracked", func() bool { return s.Connections() == 0 })
}

func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !check(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", condition)
		}
	}
}
