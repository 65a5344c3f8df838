package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hornbeamwood/internal/node/dial"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/site/document"
)

// cutOffClient is a client whose process is cut off from the servers.
type cutOffClient struct{ backend.Client }

func (cutOffClient) CutOff(backend.Target, time.Time) bool { return true }
func (cutOffClient) Hangs(t backend.Target, _ time.Time) bool {
	return t.ID == "s0"
}

// restart starts a gateway with the changed configuration.
func (f *fixture) restart(t *testing.T, change func(c *Config)) {
	change(&f.config)
	f.front = httptest.NewServer(New(f.config))
	t.Cleanup(f.front.Close)
}

// Guards against the quarantine of requests whose connections a cut of the entry's own links has reset.
func TestRunsThatACutEndsAreNotReported(t *testing.T) {
	for _, cut := range []bool{true, false} {
		t.Run(fmt.Sprint("cut off ", cut), func(t *testing.T) {
			f := newFixture(t, hangUp)
			f.restart(t, func(c *Config) {
				if cut {
					c.Client = cutOffClient{c.Client}
				}
			})
			if g := f.request(t, "r1", http.MethodPost, "/once/x"); g.status != http.StatusBadGateway {
				t.Fatalf("got %+v", g)
			}
			time.Sleep(600 * time.Millisecond)
			if _, reported := f.config.Guard.Pending(time.Now().Add(time.Second)); reported == cut {
				t.Errorf("the run is reported: %t", reported)
			}
		})
	}
}

// Guards against an entry that keeps callers waiting, or on their connections, while it reaches no server.
func TestIsolatedEntryRefusesAtOnce(t *testing.T) {
	f := newFixture(t, answerOK("first"))
	f.restart(t, func(c *Config) { c.Isolated = func() bool { return true } })
	g := f.request(t, "r1", http.MethodPost, "/once/x")
	if g.status != http.StatusServiceUnavailable || g.header.Get("Retry-After") == "" || !g.closes {
		t.Errorf("got %+v", g)
	}
	if n := f.servers[0].count(); n != 0 {
		t.Errorf("%d requests reached a server", n)
	}
}

// Guards against a stream that waits on a connection that a cut has broken without a reset.
func TestStreamLeavesHangingConnection(t *testing.T) {
	f := newFixture(t, silentAfterEvents("a", 2), streamOf("b", 4, true))
	f.restart(t, func(c *Config) { c.Client = cutOffClient{c.Client} })
	began := time.Now()
	g := f.request(t, "r1", http.MethodPost, "/resume/x")
	if took := time.Since(began); g.err != nil || g.body != wholeStream || took > silentAfter+time.Second {
		t.Errorf("got %+v after %v", g, took)
	}
	if s := f.config.Tracker.Stats("s0"); s.ConsecutiveLosses != 0 {
		t.Errorf("the server counts as %+v", s)
	}
}

// tunnelDialer connects through another entry.
type tunnelDialer struct{}

// Dial implements backend.Dialer.
func (tunnelDialer) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	return tunnelConn{c}, err
}

// Check implements backend.Dialer.
func (tunnelDialer) Check(string, string, time.Time) dial.State { return dial.Hangs }

type tunnelConn struct{ net.Conn }

func (tunnelConn) Via() string { return "peer" }

// Guards against requests that another entry sends to a server during the backoff that it requested of that entry.
func TestBackoffIsReportedToTheEntryOfTheTunnel(t *testing.T) {
	f := newFixture(t, answerStatus(http.StatusServiceUnavailable, "A-Not-Run: 1\r\nA-Retry-After: 2s\r\n"))
	var reported []string
	f.restart(t, func(c *Config) {
		c.Client = backend.New(backend.Config{Belongs: func(string, http.Header) bool { return true }, Dialer: tunnelDialer{}, Paths: noPaths{}})
		t.Cleanup(c.Client.Close)
		c.ReportBackoff = func(via, server string, d time.Duration) {
			reported = append(reported, fmt.Sprint(via, " ", server, " ", d))
		}
	})
	f.request(t, "r1", http.MethodPost, "/once/x")
	if len(reported) != 1 || reported[0] != "peer s0 2s" {
		t.Errorf("reported %q", reported)
	}
}

// noPathDialer finds no path to the server at one address.
type noPathDialer struct{ address string }

// Dial implements backend.Dialer.
func (d noPathDialer) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	if address == d.address {
		return nil, fmt.Errorf("%w: test", dial.ErrNoPath)
	}
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// Check implements backend.Dialer.
func (noPathDialer) Check(string, string, time.Time) dial.State { return dial.Unknown }

// Guards against servers that are avoided, here or by other entries, because this entry is cut off from them.
func TestMissingPathSaysNothingAboutTheServer(t *testing.T) {
	f := newFixture(t, answerOK("first"), answerOK("second"))
	f.restart(t, func(c *Config) {
		d := noPathDialer{f.site.servers[0].Address}
		c.Client = backend.New(backend.Config{Belongs: func(string, http.Header) bool { return true }, Dialer: d, Paths: noPaths{}})
		t.Cleanup(c.Client.Close)
	})
	if g := f.request(t, "r1", http.MethodPost, "/once/x"); g.status != http.StatusOK || g.body != "second" {
		t.Errorf("got %+v", g)
	}
	s := f.config.Tracker.Stats("s0")
	if s.ConsecutiveLosses != 0 || !s.EjectedUntil.IsZero() || !s.RefusedAt.IsZero() || s.Failures != 0 || s.InFlight != 0 {
		t.Errorf("the server counts as %+v", s)
	}
}

// noPaths are paths that trust every connection.
type noPaths struct{}

func (noPaths) Received(string, time.Time)           {}
func (noPaths) ReceivedSince(string, time.Time) bool { return true }
func (noPaths) Silent(string, time.Time)             {}
func (noPaths) Hangs(string, time.Time) bool         { return false }
func (noPaths) RefusedAt(string) time.Time           { return time.Time{} }
func (noPaths) Trusted(string, time.Time) bool       { return true }

// hangingPaths are paths on which each direct connection hangs.
type hangingPaths struct{ noPaths }

func (hangingPaths) Hangs(string, time.Time) bool { return true }

// Guards against a stream that leaves a sound server, which it has reached through another entry, because the direct
// connections to it hang.
func TestStreamWaitsForTheServerInATunnel(t *testing.T) {
	pauses := func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		time.Sleep(time.Second)
		return streamOf("b", 4, true)(s, c, q)
	}
	f := newFixture(t, streamOf("a", 2, false), pauses, pauses)
	f.setRoute("resume", func(r *document.Route) { r.MaxAttempts, r.LatencyTarget = 3, 100*time.Millisecond })
	f.restart(t, func(c *Config) {
		c.Client = backend.New(backend.Config{Belongs: func(string, http.Header) bool { return true }, Dialer: tunnelDialer{}, Paths: hangingPaths{}})
		t.Cleanup(c.Client.Close)
	})
	if g := f.request(t, "r1", http.MethodPost, "/resume/x"); g.err != nil || g.body != wholeStream {
		t.Errorf("got %+v", g)
	}
	if n := f.servers[1].count() + f.servers[2].count(); n != 1 {
		t.Errorf("%d requests reached the other servers", n)
	}
}

// lostTunnelDialer connects through an entry that is lost once some bytes of the server have passed.
type lostTunnelDialer struct {
	tunnelDialer
	passed int
}

// Dial implements backend.Dialer.
func (d lostTunnelDialer) Dial(ctx context.Context, server, address string) (net.Conn, error) {
	c, err := d.tunnelDialer.Dial(ctx, server, address)
	return &lostTunnelConn{c, d.passed}, err
}

type lostTunnelConn struct {
	net.Conn
	remaining int
}

func (c *lostTunnelConn) Via() string { return "peer" }

func (c *lostTunnelConn) Read(b []byte) (int, error) {
	if c.remaining == 0 {
		return 0, fmt.Errorf("%w: test", rpc.ErrLost)
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}

// Guards against sound servers that are ejected because an entry was lost through which they were reached.
func TestLossOfATunnelIsNoLossOfTheServer(t *testing.T) {
	for _, passed := range []int{0, 60} {
		t.Run(fmt.Sprint("after ", passed, " bytes"), func(t *testing.T) {
			f := newFixture(t, answerOK("whole"))
			f.restart(t, func(c *Config) {
				d := lostTunnelDialer{passed: passed}
				c.Client = backend.New(backend.Config{Belongs: func(string, http.Header) bool { return true }, Dialer: d, Paths: noPaths{}})
				t.Cleanup(c.Client.Close)
			})
			if g := f.request(t, "r1", http.MethodPost, "/once/x"); g.status != http.StatusBadGateway {
				t.Fatalf("got %+v", g)
			}
			if s := f.config.Tracker.Stats("s0"); s.ConsecutiveLosses != 0 || s.Failures != 0 || !s.EjectedUntil.IsZero() || s.InFlight != 0 {
				t.Errorf("the server counts as %+v", s)
			}
			// The entry is lost before the server has read the request.
			for deadline := time.Now().Add(time.Second); f.servers[0].count() == 0 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			if n := f.servers[0].count(); n != 1 {
				t.Errorf("%d requests reached the server", n)
			}
		})
	}
}
