package dial

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hornbeamwood/internal/node/tunnel"
	"hornbeamwood/internal/policy/reach"
)

// fakePath is a path with a fixed outcome.
type fakePath struct {
	mu    sync.Mutex
	err   error
	hangs bool
	delay time.Duration
	// back is after how many attempts none fails any more, zero for never.
	back    int32
	dials   atomic.Int32
	open    atomic.Int32
	tunnels bool
}

func (f *fakePath) set(err error, hangs bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err, f.hangs = err, hangs
}

func (f *fakePath) connect(ctx context.Context) (net.Conn, error) {
	n := f.dials.Add(1)
	f.mu.Lock()
	err, hangs, delay := f.err, f.hangs, f.delay
	if f.back > 0 && n > f.back {
		err = nil
	}
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	f.open.Add(1)
	local, remote := net.Pipe()
	c := &fakeConn{Conn: local, closed: sync.OnceFunc(func() {
		f.open.Add(-1)
		_ = remote.Close()
	})}
	if f.tunnels {
		return &fakeTunnel{c}, nil
	}
	return c, nil
}

// Dial implements Tunnel.
func (f *fakePath) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	return f.connect(ctx)
}

func (f *fakePath) direct(ctx context.Context, _ string) (net.Conn, error) {
	return f.connect(ctx)
}

type fakeConn struct {
	net.Conn
	closed func()
}

func (c *fakeConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

type fakeTunnel struct{ *fakeConn }

func (*fakeTunnel) Via() string { return "peer" }

type testDialer struct {
	Dialer
	paths            reach.Paths
	direct, tunnelTo *fakePath
}

func newTestDialer(t *testing.T) *testDialer {
	t.Helper()
	d := &testDialer{paths: reach.New(), direct: &fakePath{}, tunnelTo: &fakePath{tunnels: true}}
	d.Dialer = New(Config{Direct: d.direct.direct, Tunnel: d.tunnelTo, Paths: d.paths})
	t.Cleanup(d.Close)
	return d
}

// Guards against an entry that doesn't serve because its own links to a server are lost, or that takes them for the
// loss of the server.
func TestDialUsesThePathThatWorks(t *testing.T) {
	timedOut := context.DeadlineExceeded
	for _, x := range []struct {
		name                  string
		direct, tunnel        error
		directHangs, tunnels  bool
		tunnelled, cutOff     bool
		want                  error
		atLeast, atMostMillis int
	}{
		{name: "direct", atMostMillis: 40},
		{name: "direct refused", direct: syscall.ECONNREFUSED, tunnelled: true, cutOff: true, atMostMillis: 40},
		{name: "direct hangs", directHangs: true, tunnelled: true, cutOff: true, atLeast: 40, atMostMillis: 250},
		{name: "server ended", direct: syscall.ECONNREFUSED, tunnel: tunnel.ErrRefused, want: ErrRefused, atMostMillis: 100},
		{name: "machine lost", directHangs: true, tunnel: tunnel.ErrUnreachable, want: ErrUnreachable, atMostMillis: 700},
		{name: "server ended behind a cut", directHangs: true, tunnel: tunnel.ErrRefused, want: ErrRefused, atMostMillis: 700},
		{name: "refused, no peer", direct: syscall.ECONNREFUSED, tunnel: tunnel.ErrNoPeer, want: ErrRefused, atMostMillis: 100},
		{name: "refused, no answer", direct: syscall.ECONNREFUSED, tunnel: timedOut, want: ErrRefused, atMostMillis: 100},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			d := newTestDialer(t)
			d.direct.set(x.direct, x.directHangs)
			d.tunnelTo.set(x.tunnel, false)
			began := time.Now()
			c, err := d.Dial(t.Context(), "s", "1.2.3.4:5")
			took := time.Since(began)
			if !errors.Is(err, x.want) {
				t.Fatalf("got error %v, want %v", err, x.want)
			}
			if took > time.Duration(x.atMostMillis)*time.Millisecond || took < time.Duration(x.atLeast)*time.Millisecond {
				t.Errorf("took %v", took)
			}
			if err == nil {
				if (Via(c) != "") != x.tunnelled {
					t.Errorf("tunnelled is %t", !x.tunnelled)
				}
				_ = c.Close()
			}
			time.Sleep(timeout)
			if d.paths.CutOff("1.2.3.4:5") != x.cutOff {
				t.Errorf("cut off is %t", !x.cutOff)
			}
			if n := d.direct.open.Load() + d.tunnelTo.open.Load(); n != 0 {
				t.Errorf("%d connections remain open", n)
			}
		})
	}
}

// Guards against refusals reported of each server by an entry that reaches none of them.
func TestFailuresWithoutPeersSayNothing(t *testing.T) {
	d := newTestDialer(t)
	d.direct.set(syscall.ECONNREFUSED, false)
	d.tunnelTo.set(tunnel.ErrNoPeer, false)
	if _, err := d.Dial(t.Context(), "a", "1.2.3.4:5"); !errors.Is(err, ErrRefused) {
		t.Errorf("the first failure is %v", err)
	}
	if _, err := d.Dial(t.Context(), "b", "1.2.3.5:5"); !errors.Is(err, ErrNoPath) {
		t.Errorf("the second failure is %v", err)
	}
	if !d.paths.Isolated(time.Now().Add(time.Second)) {
		t.Error("the entry doesn't count as isolated")
	}
}

// Guards against direct attempts that delay each connection to a server that is cut off, and against tunnels that
// stay in use after the cut.
func TestTunnelIsFirstWhileCutOff(t *testing.T) {
	d := newTestDialer(t)
	d.direct.set(nil, true)
	dial := func() (bool, time.Duration) {
		began := time.Now()
		c, err := d.Dial(t.Context(), "s", "1.2.3.4:5")
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
		return Via(c) != "", time.Since(began)
	}
	dial()
	time.Sleep(timeout + 50*time.Millisecond)
	before := d.direct.dials.Load()
	for range 10 {
		if tunnelled, took := dial(); !tunnelled || took > 40*time.Millisecond {
			t.Errorf("tunnelled %t in %v", tunnelled, took)
		}
	}
	if n := d.direct.dials.Load() - before; n > 1 {
		t.Errorf("%d direct attempts for 10 connections", n)
	}
	d.direct.set(nil, false)
	d.tunnelTo.mu.Lock()
	d.tunnelTo.delay = 20 * time.Millisecond
	d.tunnelTo.mu.Unlock()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if tunnelled, _ := dial(); !tunnelled {
			break
		}
		if time.Since(began) > 5*time.Second {
			t.Fatal("tunnels are still used after the cut")
		}
	}
}

// Guards against the loss of a request's server that isn't noticed, and against one that only the entry has lost.
func TestCheckTellsLostServersFromLostLinks(t *testing.T) {
	for _, x := range []struct {
		name           string
		direct, tunnel error
		hangs          bool
		// back is how many direct attempts fail, zero for all.
		back int32
		want State
		// dials is how many direct attempts one check makes.
		dials int32
	}{
		{"reached", nil, nil, false, 0, Reached, 1},
		{"ended", syscall.ECONNREFUSED, tunnel.ErrRefused, false, 0, Lost, 1},
		{"ended and replaced", syscall.ECONNREFUSED, nil, false, 1, Lost, 2},
		{"machine lost", nil, tunnel.ErrUnreachable, true, 0, Lost, 1},
		{"links hang", nil, nil, true, 0, Hangs, 1},
		{"links refuse", syscall.ECONNREFUSED, nil, false, 0, Refuses, 2},
		{"the only server, no peer", syscall.ECONNREFUSED, tunnel.ErrNoPeer, false, 0, Lost, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			d := newTestDialer(t)
			d.direct.set(x.direct, x.hangs)
			d.direct.back = x.back
			d.tunnelTo.set(x.tunnel, false)
			since := time.Now()
			var done sync.WaitGroup
			for range 20 {
				done.Go(func() {
					if got := d.Check("s", "1.2.3.4:5", since.Add(-time.Second)); got != x.want {
						t.Errorf("got %d, want %d", got, x.want)
					}
				})
			}
			done.Wait()
			if n := d.direct.dials.Load(); n != x.dials {
				t.Errorf("%d direct attempts for one check, want %d", n, x.dials)
			}
			if n := d.direct.open.Load() + d.tunnelTo.open.Load(); n != 0 {
				t.Errorf("%d connections remain open", n)
			}
		})
	}
}
