package watch

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/site/rowtable"
)

func node(t *testing.T, role keys.Role) rpc.Node {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := c.LocalAddr().String()
	_ = c.Close()
	ring, err := keys.NewOpenRing(address, role)
	if err != nil {
		t.Fatal(err)
	}
	n, err := rpc.New(rpc.Config{Listen: address, Ring: ring})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func serving(t *testing.T, b rowtable.Table) (rpc.Node, Server) {
	t.Helper()
	n := node(t, keys.Control)
	s := NewServer(Config{Method: Watch, Node: n, Table: b, CaughtUp: func() bool { return true }, Holder: func() (uint64, int64) { return 0, 0 }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.Serve(ctx) }()
	return n, s
}

// Guards against a single change waiting as long as continual ones, and continual ones being answered too often.
func TestChangeAfterAQuietTimeIsAnsweredAtOnce(t *testing.T) {
	var r rounds
	next := func(now time.Time) time.Time { return r.next(now, pauseFor(300)) }
	start := time.Unix(100, 0)
	if at := next(start); at.Sub(start) > batchPause {
		t.Errorf("the first change waits for %s", at.Sub(start))
	}
	answered := map[time.Time]bool{}
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		at := next(now)
		if wait := at.Sub(now); wait > mostPause {
			t.Fatalf("a change waits for %s", wait)
		}
		answered[at] = true
	}
	if most := int(10*time.Second/mostPause) + 1; len(answered) > most {
		t.Errorf("%d rounds of answers in ten seconds of continual changes, %d at most", len(answered), most)
	}
	quiet := start.Add(time.Minute)
	if at := next(quiet); at.Sub(quiet) > batchPause {
		t.Errorf("a change after a quiet time waits for %s", at.Sub(quiet))
	}
}

// Guards against relays answering each other at each change of their hints.
func TestHintsBetweenRelaysComeInRounds(t *testing.T) {
	// In 0.4 s there are two rounds, one before them and one that ends later.
	const changes, pause, rounds = 40, 200 * time.Millisecond, 4
	for allInRounds, enough := range map[bool]func(n int) bool{
		true:  func(n int) bool { return n <= rounds },
		false: func(n int) bool { return n > rounds },
	} {
		b := rowtable.New(1)
		s := &server{
			watchers: map[string]watcher{}, advanced: make(chan struct{}),
			Config: Config{Table: b, Pause: func(int) time.Duration { return pause }, BatchReplicas: allInRounds, CaughtUp: func() bool { return true }, Holder: func() (uint64, int64) { return 0, 0 }},
		}
		go func() {
			for i := range changes {
				b.Put(5, "hint", []byte{byte(i)})
				time.Sleep(10 * time.Millisecond)
			}
		}()
		answers, p := 0, Poll{Watcher: "relay", Wait: maxWait}
		for end := time.Now().Add(changes * 10 * time.Millisecond); time.Now().Before(end); answers++ {
			a, err := s.watch(t.Context(), rpc.Peer{}, p)
			if err != nil {
				t.Fatal(err)
			}
			p.Epoch, p.Revision = a.Epoch, a.Revision
		}
		if !enough(answers) {
			t.Errorf("in rounds %v: %d answers to %d changes", allInRounds, answers, changes)
		}
	}
}

// A replica has just started and owes thousands of rows to every entry. Sent as
// one answer they would not be through before the poll times out, the poll would
// begin anew, and no entry would learn where any part lies.
func TestThousandsOfRowsComeInPieces(t *testing.T) {
	const rows = 8000
	b := rowtable.New(1)
	for i := range rows {
		b.Put(5, fmt.Sprintf("172.20.0.1:8000/m/1/%012d", i), []byte{1, 2, 3})
	}
	server, _ := serving(t, b)
	var mu sync.Mutex
	got, most := map[string]bool{}, 0
	done := make(chan struct{})
	f := NewFollower(FollowerConfig{Method: Watch, Node: node(t, keys.Entry), Watcher: "e", Entry: true, Apply: func(_ string, a Answer, _ time.Time) {
		mu.Lock()
		defer mu.Unlock()
		bytes := 0
		for _, r := range a.Rows {
			got[r.Key] = true
			bytes += len(r.Key) + len(r.Value)
		}
		most = max(most, bytes)
		if len(got) == rows {
			select {
			case <-done:
			default:
				close(done)
			}
		}
	}})
	ctx, cancel := context.WithCancel(t.Context())
	f.Follow(ctx, []string{server.Address()})
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Errorf("%d of %d rows came", len(got), rows)
	}
	cancel()
	f.Wait()
	if most > 64<<10 {
		t.Errorf("one answer had %d bytes", most)
	}
}

// A server that leaves is acknowledged only once another replica has the news.
func TestAwaitReplicas(t *testing.T) {
	b := rowtable.New(1)
	server, s := serving(t, b)
	number := b.Put(2, "s", []byte("leaving"))
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if s.AwaitReplicas(short, number, 1) {
		t.Fatal("nobody can have the news yet")
	}
	ctx, stop := context.WithCancel(t.Context())
	f := NewFollower(FollowerConfig{Method: Watch, Node: node(t, keys.Control), Watcher: "r", Apply: func(string, Answer, time.Time) {}})
	f.Follow(ctx, []string{server.Address()})
	long, cancelLong := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancelLong()
	if !s.AwaitReplicas(long, number, 1) {
		t.Error("the other replica never had the news")
	}
	stop()
	f.Wait()
}

// Guards against hundreds of entries that come back together asking all replicas at once.
func TestReplicasAreAskedOneByOne(t *testing.T) {
	const silent = 3
	asked := make(chan string, 1000)
	var addresses []string
	for range silent {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		address := c.LocalAddr().String()
		addresses = append(addresses, address)
		go func() {
			packet := make([]byte, 2048)
			for {
				if _, _, err := c.ReadFrom(packet); err != nil {
					return
				}
				asked <- address
			}
		}()
	}
	f := NewFollower(FollowerConfig{Method: Watch, Sequential: true, Node: node(t, keys.Entry), Watcher: "e", Entry: true, Apply: func(string, Answer, time.Time) {}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.Follow(ctx, addresses)
	seen := map[string]bool{}
	half := time.After(firstPatience / 2)
	for more := true; more; {
		select {
		case a := <-asked:
			seen[a] = true
		case <-half:
			more = false
		}
	}
	if len(seen) != 1 {
		t.Errorf("%d replicas were asked at once", len(seen))
	}
	end := time.After(10 * time.Second)
	for len(seen) < silent {
		select {
		case a := <-asked:
			seen[a] = true
		case <-end:
			t.Fatalf("%d of %d replicas were asked while the others gave no answer", len(seen), silent)
		}
	}
}
