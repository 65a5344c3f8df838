package control

import (
	"context"
	"net"
	"testing"
	"time"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

const (
	linkRate  = 10_000_000 / 8 // bytes per second of a link of 10 Mbit/s
	linkQueue = 256            // packets queued for the link; further packets are dropped
)

func openNode(t *testing.T, role keys.Role) rpc.Node {
	t.Helper()
	ring, err := keys.NewOpenRing("127.0.0.1:0", role)
	if err != nil {
		t.Fatal(err)
	}
	n, err := rpc.New(rpc.Config{Listen: "127.0.0.1:0", Ring: ring})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

// slowLink returns the address of a proxy to the server for one peer. The proxy forwards answers at linkRate.
func slowLink(t *testing.T, server string) string {
	t.Helper()
	local, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	remote, err := net.Dial("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = local.Close()
		_ = remote.Close()
	})
	type packet struct {
		bytes []byte
		to    net.Addr
	}
	queue := make(chan packet, linkQueue)
	peers := make(chan net.Addr, 1)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, from, err := local.ReadFrom(buffer)
			if err != nil {
				return
			}
			select {
			case peers <- from:
			default:
			}
			_, _ = remote.Write(buffer[:n])
		}
	}()
	go func() {
		defer close(queue)
		buffer := make([]byte, 64<<10)
		peer := <-peers
		for {
			n, err := remote.Read(buffer)
			if err != nil {
				return
			}
			select {
			case queue <- packet{append([]byte{}, buffer[:n]...), peer}:
			default:
			}
		}
	}()
	go func() {
		free := time.Now()
		for p := range queue {
			if now := time.Now(); free.Before(now) {
				free = now
			}
			free = free.Add(time.Duration(len(p.bytes)) * time.Second / linkRate)
			time.Sleep(time.Until(free))
			_, _ = local.WriteTo(p.bytes, p.to)
		}
	}()
	return local.LocalAddr().String()
}

// The transfer of a settings tree of several megabytes over an entry's link takes longer
// than the timeout of a small read. If each attempt timed out and started over, the tree
// would never arrive and the entry would serve no requests.
func TestLargeAnswerArrivesOverASlowLink(t *testing.T) {
	const size = 2 << 20
	server := openNode(t, keys.Control)
	attempts := make(chan struct{}, 64)
	rpc.Handle(server, protocol.Read, func(context.Context, rpc.Peer, protocol.ReadRequest) (protocol.ReadResponse, error) {
		attempts <- struct{}{}
		return protocol.ReadResponse{Bodies: [][]byte{make([]byte, size)}}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	c := New(Config{Node: openNode(t, keys.Entry), Replicas: []string{slowLink(t, server.Address())}})
	bounded, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	a, err := c.ReadAll(bounded, nil, state.Query{Section: "settings"})
	if err != nil {
		t.Fatalf("after %d attempts: %v", len(attempts), err)
	}
	if len(a.Bodies[0]) != size || len(attempts) != 1 {
		t.Errorf("received %d bytes after %d attempts", len(a.Bodies[0]), len(attempts))
	}
}

// A replica that accepts a read and does not answer must not delay its caller for as
// long as the transfer of a large answer may take.
func TestUnresponsiveReplicaIsSkippedSoon(t *testing.T) {
	unresponsive, healthy := openNode(t, keys.Control), openNode(t, keys.Control)
	rpc.Handle(unresponsive, protocol.Read, func(ctx context.Context, _ rpc.Peer, _ protocol.ReadRequest) (protocol.ReadResponse, error) {
		<-ctx.Done()
		time.Sleep(2 * readTimeout)
		return protocol.ReadResponse{}, ctx.Err()
	})
	rpc.Handle(healthy, protocol.Read, func(context.Context, rpc.Peer, protocol.ReadRequest) (protocol.ReadResponse, error) {
		return protocol.ReadResponse{Bodies: [][]byte{{1}}}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, n := range []rpc.Node{unresponsive, healthy} {
		go func() { _ = n.Serve(ctx) }()
	}
	c := New(Config{Node: openNode(t, keys.Entry), Replicas: []string{unresponsive.Address(), healthy.Address()}})
	start := time.Now()
	if _, err := c.ReadAll(t.Context(), nil, state.Query{Section: "settings"}); err != nil {
		t.Fatal(err)
	}
	if elapsed := time.Since(start); elapsed > 2*readTimeout {
		t.Errorf("the read took %s", elapsed)
	}
}
