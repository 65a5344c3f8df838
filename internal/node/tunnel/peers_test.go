package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against entries that connect for others to whatever they are asked, to servers that want no requests of
// them, or while they stop.
func TestDeclinedTunnels(t *testing.T) {
	address := newServer(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	for name, change := range map[string]func(c *Config){
		"unknown server": func(c *Config) { c.Server = func(string) (string, bool) { return "", false } },
		"other address":  func(c *Config) { c.Server = func(string) (string, bool) { return "127.0.0.1:1", true } },
		"in backoff":     func(c *Config) { c.InBackoff = func(string) bool { return true } },
		"cut off":        func(c *Config) { c.CutOff = func(string) bool { return true } },
		"stopping":       func(c *Config) { c.Stopping = func() bool { return true } },
	} {
		t.Run(name, func(t *testing.T) {
			declining := newEntry(t, address, func(c *Config) {
				c.Connect = func(context.Context, string) (net.Conn, error) {
					t.Error("it has connected")
					return nil, errors.New("not allowed")
				}
				change(c)
			})
			if _, err := newAsker(t, address, declining).Dial(t.Context(), server, address); !errors.Is(err, ErrNoPeer) {
				t.Errorf("alone: %v", err)
			}
			willing := newEntry(t, address, nil)
			if c := dialed(t, newAsker(t, address, declining, willing), address); c.Via() != willing.Node.Address() {
				t.Errorf("via %s", c.Via())
			}
		})
	}
}

// Guards against each dial waiting for the same entry that is cut off too or gone.
func TestFailedPeerIsAvoided(t *testing.T) {
	address := newServer(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	var tried atomic.Int64
	count := connectingBy(func(ctx context.Context, address string) (net.Conn, error) {
		tried.Add(1)
		return hang(ctx, address)
	})
	sound := newEntry(t, address, nil)
	asker := newAsker(t, address, newEntry(t, address, count), sound, newEntry(t, address, count), sound, newEntry(t, address, count))
	for range 6 {
		_ = patientlyDialed(t, asker, address).Close()
	}
	if n := tried.Load(); n < 1 || n > 3 {
		t.Errorf("three entries that are cut off were asked %d times", n)
	}
}

// Guards against a dial that waits for an entry that was lost.
func TestLostPeerDelaysNothing(t *testing.T) {
	lost, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lost.Close() })
	address := newServer(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	sound := newEntry(t, address, nil)
	asker := newEntry(t, address, func(c *Config) {
		c.Peers = func(context.Context) ([]Peer, error) {
			p := Peer{Address: lost.LocalAddr().String(), Zone: c.Zone}
			return []Peer{p, p, p, {Address: sound.Node.Address(), Zone: "b"}}, nil
		}
	})
	for range 3 {
		if c := patientlyDialed(t, asker, address); c.Via() != sound.Node.Address() {
			t.Errorf("via %s", c.Via())
		}
	}
}

// Guards against the one entry of a zone that still reaches servers carrying the load of all others there.
func TestFewPeersOfAZoneAreSpared(t *testing.T) {
	const dials, far = 60, 5
	all := []Peer{{Address: "near", Zone: "a"}}
	for i := range far {
		all = append(all, Peer{Address: fmt.Sprint("far-", i), Zone: "b"})
	}
	p := newPeers(Config{Zone: "a", Peers: func(context.Context) ([]Peer, error) { return all, nil }})
	near := 0
	for range dials {
		if p.get(t.Context())[0].Zone == "a" {
			near++
		}
	}
	if near > dials/2 {
		t.Errorf("the only entry of the zone is asked first for %d of %d connections", near, dials)
	}
}

// Guards against requests of the other entry to a server that has requested a backoff of it.
func TestBackoffIsReported(t *testing.T) {
	address := newServer(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	peer := newEntry(t, address, nil)
	asker := newAsker(t, address, peer)
	via := dialed(t, asker, address).Via()
	asker.ReportBackoff(via, "unknown", time.Second)
	asker.ReportBackoff(via, server, time.Second)
	for deadline := time.Now().Add(5 * time.Second); peer.backoffs.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the backoff was not recorded")
		}
	}
	time.Sleep(20 * time.Millisecond)
	if n := peer.backoffs.Load(); n != 1 {
		t.Errorf("%d backoffs were recorded, one of them of a server that isn't known", n)
	}
}

// Guards against all tunnels of an entry going through the same other one.
func TestTunnelsAreSpread(t *testing.T) {
	const dials, peerCount = 60, 6
	address := newServer(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	var peers []*testEntry
	for range peerCount {
		peers = append(peers, newEntry(t, address, nil))
	}
	asker, via := newAsker(t, address, peers...), map[string]int{}
	for range dials {
		via[dialed(t, asker, address).Via()]++
	}
	for address, n := range via {
		if n > dials*3/4 {
			t.Errorf("%d of %d tunnels go through %s", n, dials, address)
		}
	}
	if len(via) < peerCount/2 {
		t.Errorf("all tunnels go through %d of %d entries", len(via), peerCount)
	}
}
