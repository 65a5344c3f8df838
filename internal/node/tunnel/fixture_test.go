package tunnel

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/node/tcp"
)

// testEntry is an entry with its tunnels.
type testEntry struct {
	*tunnels
	backoffs atomic.Int64
}

// newEntry returns an entry that knows the server at address. change may change its configuration.
func newEntry(t testing.TB, address string, change func(c *Config)) *testEntry {
	t.Helper()
	probe, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := probe.LocalAddr().String()
	_ = probe.Close()
	ring, err := keys.NewOpenRing(listen, keys.Entry)
	if err != nil {
		t.Fatal(err)
	}
	n, err := rpc.New(rpc.Config{Listen: listen, Ring: ring})
	if err != nil {
		t.Fatal(err)
	}
	e := &testEntry{}
	c := Config{
		Node: n, Zone: "a", Metrics: metrics.NewSet(),
		Peers:         func(context.Context) ([]Peer, error) { return nil, nil },
		Server:        func(id string) (string, bool) { return address, id == server },
		Connect:       tcp.Dial,
		InBackoff:     func(string) bool { return false },
		RecordBackoff: func(string, time.Duration) { e.backoffs.Add(1) },
		Stopping:      func() bool { return false },
	}
	if change != nil {
		change(&c)
	}
	e.tunnels = New(c).(*tunnels)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = n.Close()
	})
	return e
}

// newAsker returns an entry that asks the given ones. Those at even places are in its zone.
func newAsker(t testing.TB, address string, peers ...*testEntry) *testEntry {
	return newEntry(t, address, func(c *Config) {
		var all []Peer
		for i, p := range peers {
			all = append(all, Peer{Address: p.Node.Address(), Zone: [...]string{"a", "b"}[i%2]})
		}
		c.Peers = func(context.Context) ([]Peer, error) { return all, nil }
	})
}

// newServer returns the address of a server that handles each connection with serve.
func newServer(t testing.TB, serve func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func dialed(t testing.TB, e *testEntry, address string) *Conn {
	t.Helper()
	c, err := e.Dial(t.Context(), server, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*Conn)
}

// patientlyDialed is dialed for a busy machine, on which a dial may take too long.
func patientlyDialed(t testing.TB, e *testEntry, address string) *Conn {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; {
		c, err := e.Dial(t.Context(), server, address)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
			return c.(*Conn)
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

// connectingBy returns the change of the configuration by which an entry connects to servers otherwise.
func connectingBy(connect func(ctx context.Context, address string) (net.Conn, error)) func(c *Config) {
	return func(c *Config) { c.Connect = connect }
}

func hang(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
