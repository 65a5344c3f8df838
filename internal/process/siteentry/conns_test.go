package siteentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/host"
)

// A process that is stopping closes its idle connections just as a request arrives on one. Either the caller
// finds its connection closed and the request has not run, or it gets its response. A request that is passed on
// although its connection is closed runs for nothing.
func TestRequestDuringIdleCloseIsNotRead(t *testing.T) {
	idle, active, s := openConn(t), openConn(t), newConns()
	for _, c := range []*testConn{idle, active} {
		s.all[c.conn] = struct{}{}
		s.stateChanged(c.conn, http.StateIdle)
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

func openConn(t *testing.T) *testConn {
	local, peer := net.Pipe()
	t.Cleanup(func() { _ = peer.Close() })
	return &testConn{conn: &conn{Conn: local, since: time.Now()}, peer: peer}
}

// An operator sets an idle timeout of a minute. An entry that closes idle connections sooner, by a limit of its
// own, does so while callers that rely on the setting send their next requests. One that never closes them runs
// out of file descriptors, as it does with callers that stop in the middle of the headers.
func TestDocumentSetsConnectionTimeouts(t *testing.T) {
	limits := document.Limits{IdleTimeout: time.Minute, HeaderTimeout: 10 * time.Second}
	s := newConns()
	idle, partial, active := openConn(t), openConn(t), openConn(t)
	for _, c := range []*testConn{idle, partial, active} {
		s.all[c.conn] = struct{}{}
	}
	for _, c := range []*testConn{partial, active} {
		go func() { _, _ = c.peer.Write([]byte("G")) }()
		if _, err := c.conn.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	s.stateChanged(active.conn, http.StateActive)
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
		s.expire(now.Add(x.after), limits)
		if idle.conn.closed != x.idle || partial.conn.closed != x.half || active.conn.closed != x.served {
			t.Errorf("after %v: idle closed %t, partial headers closed %t, serving closed %t", x.after, idle.conn.closed, partial.conn.closed, active.conn.closed)
		}
	}
}

// Without a document connections are kept, but not indefinitely.
func TestConnectionsAreBoundedWithoutADocument(t *testing.T) {
	s, idle := newConns(), openConn(t)
	s.all[idle.conn] = struct{}{}
	s.expire(time.Now().Add(defaultIdleTimeout-time.Second), document.Limits{})
	if idle.conn.closed {
		t.Error("the idle connection was closed too early")
	}
	s.expire(time.Now().Add(defaultIdleTimeout+time.Second), document.Limits{})
	if !idle.conn.closed {
		t.Error("the idle connection was not closed")
	}
}

// The load balancer checks every second on a connection of its own. If closed connections stay tracked, they
// cost memory, and after some days the entry reports thousands of callers.
func TestBalancerChecksLeaveNoConnections(t *testing.T) {
	p := &process{conns: newConns(), config: Config{Host: host.Host{}}}
	ctx, cancel := context.WithCancel(t.Context())
	address := freeAddress(t)
	check := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: headerTimeout}
	if err := p.listen(ctx, address, check); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := c.Get("http://" + address)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
	}
	if n := p.conns.count(); n != 0 {
		t.Errorf("%d connections are still tracked", n)
	}
	cancel()
	p.loops.Wait()
}

// freeAddress returns a loopback address that was free at the time of the call.
func freeAddress(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	return s.Listener.Addr().String()
}
