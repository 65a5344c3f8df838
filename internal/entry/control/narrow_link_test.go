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
	linkRate  = 10_000_000 / 8 // bytes a second of a link of 10 Mbit/s
	linkQueue = 256            // packets that wait for the link; more are lost
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

// narrowLink returns an address behind which the server is reached by one peer, whose answers pass at linkRate.
func narrowLink(t *testing.T, server string) string {
	t.Helper()
	near, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	far, err := net.Dial("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
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
			n, from, err := near.ReadFrom(buffer)
			if err != nil {
				return
			}
			select {
			case peers <- from:
			default:
			}
			_, _ = far.Write(buffer[:n])
		}
	}()
	go func() {
		defer close(queue)
		buffer := make([]byte, 64<<10)
		peer := <-peers
		for {
			n, err := far.Read(buffer)
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
			_, _ = near.WriteTo(p.bytes, p.to)
		}
	}()
	return near.LocalAddr().String()
}

// A settings tree of megabytes takes an entry's link for longer than one try may
// last. Given up and begun anew each time it never comes, and the entry serves nobody.
func TestLargeAnswerComesThroughANarrowLink(t *testing.T) {
	const size = 2 << 20
	server := openNode(t, keys.Control)
	tries := make(chan struct{}, 64)
	rpc.Handle(server, protocol.Read, func(context.Context, rpc.Peer, protocol.Reading) (protocol.Answers, error) {
		tries <- struct{}{}
		return protocol.Answers{Bodies: [][]byte{make([]byte, size)}}, nil
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
	c := New(Config{Node: openNode(t, keys.Entry), Replicas: []string{narrowLink(t, server.Address())}})
	bounded, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	a, err := c.ReadAll(bounded, nil, state.Query{Section: "settings"})
	if err != nil {
		t.Fatalf("after %d tries: %v", len(tries), err)
	}
	if len(a.Bodies[0]) != size || len(tries) != 1 {
		t.Errorf("%d bytes came after %d tries", len(a.Bodies[0]), len(tries))
	}
}

// A replica that takes a read and says nothing must not hold its caller up for as
// long as an answer that keeps coming may take.
func TestSilentReplicaIsLeftSoon(t *testing.T) {
	silent, sound := openNode(t, keys.Control), openNode(t, keys.Control)
	rpc.Handle(silent, protocol.Read, func(ctx context.Context, _ rpc.Peer, _ protocol.Reading) (protocol.Answers, error) {
		<-ctx.Done()
		time.Sleep(2 * readTimeout)
		return protocol.Answers{}, ctx.Err()
	})
	rpc.Handle(sound, protocol.Read, func(context.Context, rpc.Peer, protocol.Reading) (protocol.Answers, error) {
		return protocol.Answers{Bodies: [][]byte{{1}}}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, n := range []rpc.Node{silent, sound} {
		go func() { _ = n.Serve(ctx) }()
	}
	c := New(Config{Node: openNode(t, keys.Entry), Replicas: []string{silent.Address(), sound.Address()}})
	began := time.Now()
	if _, err := c.ReadAll(t.Context(), nil, state.Query{Section: "settings"}); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 2*readTimeout {
		t.Errorf("the read took %s", took)
	}
}
