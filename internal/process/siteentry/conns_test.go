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
	return &testConn{conn: &conn{Conn: near, since: time.Now()}, far: far}
}

// An operator lets callers keep idle connections for a minute. An entry that
// closes them sooner, by a bound of its own, crosses the next requests of callers
// who keep to what they were told. One that never closes them runs out of
// descriptors, as it does with callers that send half a head and stop.
func TestDocumentSaysHowLongConnectionsAreKept(t *testing.T) {
	limits := document.Limits{IdleTimeout: time.Minute, HeaderTimeout: 10 * time.Second}
	s := newConns()
	idle, half, busy := openConn(t), openConn(t), openConn(t)
	for _, c := range []*testConn{idle, half, busy} {
		s.all[c.conn] = struct{}{}
	}
	for _, c := range []*testConn{half, busy} {
		go func() { _, _ = c.far.Write([]byte("G")) }()
		if _, err := c.conn.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	s.changed(busy.conn, http.StateActive)
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
		if idle.conn.closed != x.idle || half.conn.closed != x.half || busy.conn.closed != x.served {
			t.Errorf("after %v closed are idle %t, half a head %t, serving %t", x.after, idle.conn.closed, half.conn.closed, busy.conn.closed)
		}
	}
}

// No document has come yet: connections are kept, but not for ever.
func TestConnectionsAreBoundedWithoutADocument(t *testing.T) {
	s, idle := newConns(), openConn(t)
	s.all[idle.conn] = struct{}{}
	s.expire(time.Now().Add(defaultIdleTimeout-time.Second), document.Limits{})
	if idle.conn.closed {
		t.Error("closed too soon")
	}
	s.expire(time.Now().Add(defaultIdleTimeout+time.Second), document.Limits{})
	if !idle.conn.closed {
		t.Error("never closed")
	}
}

// The balancer asks every second on a connection of its own. Each one that stays
// in the entry's books costs memory, and after some days the entry reports
// thousands of callers.
func TestChecksOfTheBalancerLeaveNothingBehind(t *testing.T) {
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
		t.Errorf("%d connections are followed", n)
	}
	cancel()
	p.loops.Wait()
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	return s.Listener.Addr().String()
}
