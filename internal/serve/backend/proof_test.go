package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hornbeamwood/internal/node/dial"
	"hornbeamwood/internal/policy/reach"
)

// mortalServer answers with bodies that end with their connections, or with a length, and can be killed.
type mortalServer struct {
	listener net.Listener
	framed   bool
	// diesAt is the number of the answer after which it is killed, zero for none.
	diesAt int
	// pause is how long it works on a request.
	pause   time.Duration
	stopped chan struct{}

	// dead is set from the moment at which it is killed: no thread of it runs any more.
	dead atomic.Bool

	mu      sync.Mutex
	conns   []net.Conn
	answers int
}

// probePath is the path of the requests that are to prove ends.
const probePath = "/probe"

// largePath is the path of an answer of largeBytes, more than the buffers of a connection hold.
const (
	largePath  = "/large"
	largeBytes = 64 << 20
)

func startMortal(t *testing.T, s *mortalServer) *mortalServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener, s.stopped = l, make(chan struct{})
	go func() {
		defer close(s.stopped)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	t.Cleanup(s.die)
	return s
}

func (s *mortalServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil || s.dead.Load() {
			return
		}
		if q.URL.Path == probePath {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if q.URL.Path == largePath {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", largeBytes)
			_, _ = c.Write(make([]byte, largeBytes))
			return
		}
		time.Sleep(s.pause)
		s.mu.Lock()
		s.answers++
		n := s.answers
		s.mu.Unlock()
		length := ""
		if s.framed {
			length = "Content-Length: 2\r\n"
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nok", length)
		if n == s.diesAt {
			s.die()
		}
		if !s.framed {
			return
		}
	}
}

// die ends the server as the kernel does for a killed process: each socket is closed in order, the listener first.
func (s *mortalServer) die() {
	s.dead.Store(true)
	_ = s.listener.Close()
	<-s.stopped
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// pathDialer connects directly or in a tunnel, and later to a successor of the server.
type pathDialer struct {
	server, successor *mortalServer
	tunnelled         bool
	successorAfter    time.Duration
	// silent, if set, accepts the second connection and never ends it, as if the end were lost on the way.
	silent net.Listener
	// endDelay is how late the ends of connections arrive, keepAlive the interval of the kernel's probes, zero for none.
	endDelay, keepAlive time.Duration

	mu    sync.Mutex
	dials int
	// refusedAt is when the server first refused a connection.
	refusedAt time.Time
}

// Dial implements Dialer.
func (d *pathDialer) Dial(context.Context, string, string) (net.Conn, error) {
	d.mu.Lock()
	d.dials++
	silent := d.silent != nil && d.dials == 2
	d.mu.Unlock()
	if silent {
		return net.Dial("tcp", d.silent.Addr().String())
	}
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: d.keepAlive > 0, Idle: d.keepAlive, Interval: d.keepAlive, Count: 3}}
	c, err := dialer.Dial("tcp", d.server.listener.Addr().String())
	if err != nil && d.successor != nil {
		d.awaitSuccessor()
		c, err = net.Dial("tcp", d.successor.listener.Addr().String())
	}
	if err == nil && d.endDelay > 0 {
		c = lateEndConn{c, d.endDelay}
	}
	if err == nil && d.tunnelled {
		c = tunnelConn{c}
	}
	return c, err
}

// awaitSuccessor waits until the successor has the server's address.
func (d *pathDialer) awaitSuccessor() {
	d.mu.Lock()
	if d.refusedAt.IsZero() {
		d.refusedAt = time.Now()
	}
	at := d.refusedAt.Add(d.successorAfter)
	d.mu.Unlock()
	time.Sleep(time.Until(at))
}

// Check implements Dialer.
func (d *pathDialer) Check(string, string, time.Time) dial.State { return dial.Lost }

func newPathClient(t *testing.T, d *pathDialer) *client {
	l := New(Config{Belongs: func(string, http.Header) bool { return true }, Dialer: d, Paths: reach.New()}).(*client)
	t.Cleanup(l.Close)
	return l
}

// readWhole sends one request and returns whether the end of its response is proved.
func readWhole(t *testing.T, l *client, target Target) error {
	t.Helper()
	return readLate(t, l, target, 0)
}

// readLate is readWhole in a process that stands still before it reads the end.
func readLate(t *testing.T, l *client, target Target, pause time.Duration) error {
	t.Helper()
	x, err := l.Send(t.Context(), target, "a", Message{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, Timing{Deadline: time.Now().Add(2 * time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	time.Sleep(pause)
	b := make([]byte, 16)
	for err == nil {
		_, err = x.Read(b)
	}
	return x.Prove(t.Context())
}

// Guards against a response that passes for whole because the kernel of a killed server ended its connection in order,
// or because a successor has its address by now; and against a sound one that doesn't.
func TestEndIsProvedByTheLivingServer(t *testing.T) {
	for _, x := range []struct {
		name           string
		tunnelled      bool
		maxConnections int
		diesAt         int
		successor      bool
	}{
		{name: "direct"},
		{name: "direct, one connection", maxConnections: 1},
		{name: "direct, killed", diesAt: 4},
		{name: "direct, killed, one connection", maxConnections: 1, diesAt: 4},
		{name: "direct, killed, replaced", diesAt: 4, successor: true},
		{name: "tunnel", tunnelled: true},
		{name: "tunnel, killed", tunnelled: true, diesAt: 4},
		{name: "tunnel, killed, replaced", tunnelled: true, diesAt: 4, successor: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			d := &pathDialer{server: startMortal(t, &mortalServer{diesAt: x.diesAt}), tunnelled: x.tunnelled}
			if x.successor {
				d.successor, d.successorAfter = startMortal(t, &mortalServer{}), replaceTime
			}
			l, target := newPathClient(t, d), testTarget
			target.MaxConnections = x.maxConnections
			for i := range 4 {
				err := readWhole(t, l, target)
				if killed := i+1 == x.diesAt; killed != errors.Is(err, ErrUnproved) {
					t.Fatalf("response %d: %v", i+1, err)
				}
			}
		})
	}
}

// Guards against connections or time that proofs cost although none is needed: a response with a length needs none, and
// one that ends with its connection costs the next request's connection only, beside one witness.
func TestProofsNeedNoMoreConnections(t *testing.T) {
	const responses = 20
	for _, x := range []struct {
		framed bool
		most   int
	}{{true, 1}, {false, responses + 2}} {
		d := &pathDialer{server: startMortal(t, &mortalServer{framed: x.framed})}
		l := newPathClient(t, d)
		began := time.Now()
		for range responses {
			if err := readWhole(t, l, testTarget); err != nil {
				t.Fatal(err)
			}
		}
		took := time.Since(began)
		d.mu.Lock()
		t.Logf("framed %t: %d connections for %d responses, %v each", x.framed, d.dials, responses, took/responses)
		if d.dials > x.most || x.framed && took > responses*checkDelay {
			t.Errorf("framed %t: %d connections for %d responses in %v", x.framed, d.dials, responses, took)
		}
		d.mu.Unlock()
	}
}

// Guards against an end that a successor of the server proves because this process stood still and read it late; and
// against a sound one that isn't proved then although an older connection shows it.
func TestEndThatIsReadLate(t *testing.T) {
	const pause = 5 * replaceTime
	d := &pathDialer{server: startMortal(t, &mortalServer{diesAt: 1}), successor: startMortal(t, &mortalServer{}), successorAfter: 2 * replaceTime}
	if err := readLate(t, newPathClient(t, d), testTarget, pause); !errors.Is(err, ErrUnproved) {
		t.Errorf("killed: got %v", err)
	}
	d = &pathDialer{server: startMortal(t, &mortalServer{})}
	if err := readLate(t, newPathClient(t, d), testTarget, pause); err != nil {
		t.Errorf("alive: got %v", err)
	}
}

// Guards against a response in part that passes for whole because another connection to its killed server stays open: its
// end is lost, or held back behind bytes that nobody reads.
func TestOpenConnectionsProveNoEnd(t *testing.T) {
	t.Run("lost", func(t *testing.T) {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
		l := newPathClient(t, &pathDialer{server: startMortal(t, &mortalServer{diesAt: 4}), silent: silent})
		for i := range 4 {
			if err := readWhole(t, l, testTarget); errors.Is(err, ErrUnproved) != (i == 3) {
				t.Errorf("response %d: %v", i+1, err)
			}
		}
	})
	t.Run("held back", func(t *testing.T) {
		l := newPathClient(t, &pathDialer{server: startMortal(t, &mortalServer{diesAt: 1})})
		large, err := l.Send(t.Context(), testTarget, "a", Message{Method: http.MethodGet, Target: largePath, Host: "h", Header: http.Header{}}, Timing{Deadline: time.Now().Add(5 * time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		defer large.Abort()
		time.Sleep(replaceTime)
		if err := readWhole(t, l, testTarget); !errors.Is(err, ErrUnproved) {
			t.Errorf("got %v", err)
		}
	})
}

// lateEndConn is a connection whose end arrives late, as over a path that was cut for a while.
type lateEndConn struct {
	net.Conn
	delay time.Duration
}

// Read implements net.Conn.
func (c lateEndConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		time.Sleep(c.delay)
	}
	return n, err
}

// Guards against half of a response that passes for whole because its server was killed behind a cut, the end of its
// connection arrives once the path is whole again, and by then a successor accepts connections.
func TestEndThatArrivesLate(t *testing.T) {
	d := &pathDialer{server: startMortal(t, &mortalServer{diesAt: 1}), successor: startMortal(t, &mortalServer{}), successorAfter: replaceTime, endDelay: 3 * replaceTime}
	if err := readWhole(t, newPathClient(t, d), testTarget); !errors.Is(err, ErrUnproved) {
		t.Errorf("got %v", err)
	}
}

// Guards against the same in a process that was suspended while its kernel went on probing the connection: the killed
// server's kernel acknowledges such probes after the end.
func TestEndThatIsReadRightAfterAKeepAliveProbe(t *testing.T) {
	const keepAlive = time.Second
	d := &pathDialer{server: startMortal(t, &mortalServer{diesAt: 1}), successor: startMortal(t, &mortalServer{}), successorAfter: replaceTime, keepAlive: keepAlive}
	if err := readLate(t, newPathClient(t, d), testTarget, keepAlive+replaceTime/4); !errors.Is(err, ErrUnproved) {
		t.Errorf("got %v", err)
	}
}

// Guards against a sound response that is lost because its first byte comes so late that only a connection from before the
// request is known to lead to its process.
func TestEndOfSlowResponseIsProvedByAnEarlierConnection(t *testing.T) {
	s := startMortal(t, &mortalServer{pause: 2 * replaceTime})
	l := newPathClient(t, &pathDialer{server: s})
	for i := range 4 {
		// The first response shows that a witness is needed.
		if err := readWhole(t, l, testTarget); err != nil && i > 0 {
			t.Errorf("response %d: %v", i+1, err)
		}
	}
}
