package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/dial"
	"hornbeamwood/internal/policy/reach"
)

// fakeServer answers requests on connections that it is given, after a time.
type fakeServer struct {
	after time.Duration
}

func (f *fakeServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = q.Body.Close()
		time.Sleep(f.after)
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// connect returns a connection to the server.
func (f *fakeServer) connect(t *testing.T) net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		_ = l.Close()
		if err == nil {
			f.serve(c)
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// fakeDialer returns what the test sets.
type fakeDialer struct {
	t         *testing.T
	server    *fakeServer
	tunnelled bool

	mu            sync.Mutex
	state         dial.State
	dials, checks int
}

// Dial implements Dialer.
func (f *fakeDialer) Dial(context.Context, string, string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dials++
	if f.tunnelled {
		return tunnelConn{f.server.connect(f.t)}, nil
	}
	return f.server.connect(f.t), nil
}

// Check implements Dialer.
func (f *fakeDialer) Check(string, string, time.Time) dial.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checks++
	return f.state
}

func (f *fakeDialer) counts() (dials, checks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dials, f.checks
}

type tunnelConn struct{ net.Conn }

func (tunnelConn) Via() string { return "peer" }

func newTestClient(t *testing.T, d *fakeDialer) (*client, reach.Paths) {
	d.t = t
	p := reach.New()
	l := New(Config{Belongs: func(string, http.Header) bool { return true }, Dialer: d, Paths: p}).(*client)
	t.Cleanup(l.Close)
	return l, p
}

var testTarget = Target{ID: "s", Address: "1.2.3.4:5", ProbePath: probePath}

// send sends one request and reads its response.
func send(l *client, mayRepeat bool, timeout time.Duration) error {
	x, err := l.Send(context.Background(), testTarget, "a", Message{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MayRepeat: mayRepeat}, Timing{Deadline: time.Now().Add(timeout)})
	if err != nil {
		return err
	}
	b := make([]byte, 16)
	for err == nil {
		_, err = x.Read(b)
	}
	x.Close()
	return nil
}

// Guards against requests that wait until their deadlines on a connection that a cut has broken without a reset, and
// against a response that is abandoned only because its server is silent.
func TestSilentConnection(t *testing.T) {
	for _, x := range []struct {
		name      string
		state     dial.State
		mayRepeat bool
		cutOff    bool
	}{
		{"the server is slow", dial.Reached, true, false},
		{"the server is lost", dial.Lost, true, false},
		{"old connections live on", dial.Refuses, true, false},
		{"cut off", dial.Hangs, true, true},
		{"cut off, may run once", dial.Hangs, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			d := &fakeDialer{server: &fakeServer{after: 3 * silenceTimeout}, state: x.state}
			l, _ := newTestClient(t, d)
			began := time.Now()
			err := send(l, x.mayRepeat, 5*time.Second)
			var e *Error
			switch {
			case !x.cutOff && err != nil:
				t.Errorf("the response was not awaited: %v", err)
			case x.cutOff && (!errors.As(err, &e) || e.Reason != CutOff || e.Verdict != verdict.MayHaveRun):
				t.Errorf("got %v, want cut off", err)
			case x.cutOff && time.Since(began) > 2*silenceTimeout:
				t.Errorf("abandoned after %v", time.Since(began))
			}
			if _, checks := d.counts(); checks != 1 {
				t.Errorf("%d checks in %v, want 1", checks, time.Since(began))
			}
		})
	}
}

// Guards against a new connection for each response that takes a while, while others arrive from the server.
func TestServerThatAnswersOthersIsNotChecked(t *testing.T) {
	d := &fakeDialer{server: &fakeServer{after: 3 * silenceTimeout}, state: dial.Hangs}
	l, p := newTestClient(t, d)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20 {
			p.Received(testTarget.Address, time.Now())
			time.Sleep(silenceTimeout / 6)
		}
	}()
	if err := send(l, true, 5*time.Second); err != nil {
		t.Error(err)
	}
	if _, checks := d.counts(); checks != 0 {
		t.Errorf("%d checks", checks)
	}
	<-done
}

// Guards against a request on an idle connection that a cut has broken without a reset.
func TestIdleConnectionsFromBeforeACutAreClosed(t *testing.T) {
	d := &fakeDialer{server: &fakeServer{}}
	l, p := newTestClient(t, d)
	for range 2 {
		if err := send(l, false, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if dials, _ := d.counts(); dials != 1 {
		t.Fatalf("%d connections for two requests", dials)
	}
	now := time.Now()
	p.Record(reach.Attempt{Address: testTarget.Address, Path: reach.Direct, Outcome: reach.Failed, Began: now, Ended: now})
	p.Record(reach.Attempt{Address: testTarget.Address, Path: reach.Tunnel, Outcome: reach.Connected, Began: now, Ended: now.Add(time.Millisecond)})
	if err := send(l, false, time.Second); err != nil {
		t.Fatal(err)
	}
	if dials, _ := d.counts(); dials != 2 {
		t.Errorf("%d connections, want a new one after the cut", dials)
	}
}

// Guards against a late response that is taken for that to the next request: whether bytes wait on a tunnel isn't
// known.
func TestTunnelsAreNotKept(t *testing.T) {
	d := &fakeDialer{server: &fakeServer{}, tunnelled: true}
	l, _ := newTestClient(t, d)
	for range 3 {
		if err := send(l, false, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if dials, _ := d.counts(); dials != 3 {
		t.Errorf("%d tunnels for three requests", dials)
	}
	if n := len(l.pools[testTarget.key()].idle); n != 0 || l.pools[testTarget.key()].open != 0 {
		t.Errorf("%d tunnels are kept", n)
	}
}

// waitingDialer connects to no server.
type waitingDialer struct{ *fakeDialer }

// Dial implements Dialer.
func (waitingDialer) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, fmt.Errorf("%w: %w", dial.ErrUnreachable, ctx.Err())
}

// Guards against servers that count as unreachable because callers leave while connections to them are established.
func TestCallerThatLeavesSaysNothingAboutTheServer(t *testing.T) {
	l := New(Config{Dialer: waitingDialer{}, Paths: reach.New()})
	defer l.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := l.Send(ctx, testTarget, "a", Message{Method: http.MethodGet, Target: "/", Host: "h"}, Timing{Deadline: time.Now().Add(time.Second)})
	var e *Error
	if !errors.As(err, &e) || e.Reason != Cancelled || e.Verdict != verdict.NotRun {
		t.Errorf("got %v, want cancelled", err)
	}
}

// Guards against links that are taken for servers that send malformed responses.
func TestLostLinkIsNoMalformedResponse(t *testing.T) {
	for cause, want := range map[error]Reason{
		syscall.ETIMEDOUT: Broken, syscall.ECONNRESET: Broken, io.ErrUnexpectedEOF: Broken, os.ErrDeadlineExceeded: TimedOut, bufio.ErrTooLong: Malformed,
	} {
		var e *Error
		if err := readError(&net.OpError{Op: "read", Err: cause}); !errors.As(err, &e) || e.Reason != want {
			t.Errorf("%v counts as %v", cause, err)
		}
	}
}
