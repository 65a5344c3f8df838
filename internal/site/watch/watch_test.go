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

func serving(t *testing.T, table rowtable.Table) (rpc.Node, Server) {
	t.Helper()
	n := node(t, keys.Control)
	s := NewServer(Config{Method: Watch, Node: n, Table: table, CaughtUp: func() bool { return true }, Holder: func() (uint64, int64) { return 0, 0 }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.Serve(ctx) }()
	return n, s
}

// Guards against a single change waiting as long as continual ones, and against answering continual ones too often.
func TestChangeAfterQuietTimeIsAnsweredAtOnce(t *testing.T) {
	var r rounds
	next := func(now time.Time) time.Time { return r.next(now, defaultRoundInterval(300)) }
	start := time.Unix(100, 0)
	if at := next(start); at.Sub(start) > batchDelay {
		t.Errorf("the first change waits for %s", at.Sub(start))
	}
	answered := map[time.Time]bool{}
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		at := next(now)
		if wait := at.Sub(now); wait > maxRoundInterval {
			t.Fatalf("a change waits for %s", wait)
		}
		answered[at] = true
	}
	if maxRounds := int(10*time.Second/maxRoundInterval) + 1; len(answered) > maxRounds {
		t.Errorf("%d rounds of answers in ten seconds of continual changes, %d at most", len(answered), maxRounds)
	}
	quiet := start.Add(time.Minute)
	if at := next(quiet); at.Sub(quiet) > batchDelay {
		t.Errorf("a change after a quiet time waits for %s", at.Sub(quiet))
	}
}

// Guards against relays answering each other after each single change of their hints.
func TestHintsBetweenRelaysComeInRounds(t *testing.T) {
	// 0.4 s has two rounds, plus one before them and one that ends later.
	const changes, interval, rounds = 40, 200 * time.Millisecond, 4
	for allInRounds, enough := range map[bool]func(n int) bool{
		true:  func(n int) bool { return n <= rounds },
		false: func(n int) bool { return n > rounds },
	} {
		table := rowtable.New(1)
		s := &server{
			watchers: map[string]watcher{}, advanced: make(chan struct{}),
			Config: Config{Table: table, RoundInterval: func(int) time.Duration { return interval }, BatchReplicas: allInRounds, CaughtUp: func() bool { return true }, Holder: func() (uint64, int64) { return 0, 0 }},
		}
		go func() {
			for i := range changes {
				table.Put(5, "hint", []byte{byte(i)})
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
			t.Errorf("BatchReplicas %v: %d answers to %d changes", allInRounds, answers, changes)
		}
	}
}

// Guards against a single answer with all rows after a replica has started. Thousands of rows
// wouldn't arrive before the poll times out, the poll would start again from the
// beginning, and no entry would learn the location of any part.
func TestThousandsOfRowsAreSplitIntoAnswers(t *testing.T) {
	const rows = 8000
	table := rowtable.New(1)
	for i := range rows {
		table.Put(5, fmt.Sprintf("172.20.0.1:8000/m/1/%012d", i), []byte{1, 2, 3})
	}
	server, _ := serving(t, table)
	var mu sync.Mutex
	got, maxBytes := map[string]bool{}, 0
	done := make(chan struct{})
	f := NewFollower(FollowerConfig{Method: Watch, Node: node(t, keys.Entry), Watcher: "e", Entry: true, Apply: func(_ string, a Answer, _ time.Time) {
		mu.Lock()
		defer mu.Unlock()
		bytes := 0
		for _, r := range a.Rows {
			got[r.Key] = true
			bytes += len(r.Key) + len(r.Value)
		}
		maxBytes = max(maxBytes, bytes)
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
		t.Errorf("%d of %d rows arrived", len(got), rows)
	}
	cancel()
	f.Wait()
	if maxBytes > 64<<10 {
		t.Errorf("one answer had %d bytes", maxBytes)
	}
}

// A leaving server's announcement is acknowledged only once another replica has its row.
func TestAwaitReplicas(t *testing.T) {
	table := rowtable.New(1)
	server, s := serving(t, table)
	revision := table.Put(2, "s", []byte("leaving"))
	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if s.AwaitReplicas(shortCtx, revision, 1) {
		t.Fatal("no replica polled, but AwaitReplicas returned true")
	}
	ctx, stop := context.WithCancel(t.Context())
	f := NewFollower(FollowerConfig{Method: Watch, Node: node(t, keys.Control), Watcher: "r", Apply: func(string, Answer, time.Time) {}})
	f.Follow(ctx, []string{server.Address()})
	longCtx, cancelLong := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancelLong()
	if !s.AwaitReplicas(longCtx, revision, 1) {
		t.Error("the other replica never got the row")
	}
	stop()
	f.Wait()
}

// Guards against hundreds of entries that restart together polling all replicas at once.
func TestReplicasArePolledOneByOne(t *testing.T) {
	const silent = 3
	polled := make(chan string, 1000)
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
				polled <- address
			}
		}()
	}
	f := NewFollower(FollowerConfig{Method: Watch, Sequential: true, Node: node(t, keys.Entry), Watcher: "e", Entry: true, Apply: func(string, Answer, time.Time) {}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.Follow(ctx, addresses)
	seen := map[string]bool{}
	halfTimeout := time.After(firstAnswerTimeout / 2)
	for more := true; more; {
		select {
		case a := <-polled:
			seen[a] = true
		case <-halfTimeout:
			more = false
		}
	}
	if len(seen) != 1 {
		t.Errorf("%d replicas were polled at once", len(seen))
	}
	end := time.After(10 * time.Second)
	for len(seen) < silent {
		select {
		case a := <-polled:
			seen[a] = true
		case <-end:
			t.Fatalf("%d of %d replicas were polled while the others gave no answer", len(seen), silent)
		}
	}
}

// Guards against a part being freed while an entry may have it fetched: the first poll of a relay after the replica's restart
// acknowledges a revision of the table before.
func TestAcknowledgementOfAnEarlierTableCountsForNothing(t *testing.T) {
	s := &server{
		watchers: map[string]watcher{}, advanced: make(chan struct{}),
		Config: Config{Table: rowtable.New(2), RoundInterval: defaultRoundInterval, CaughtUp: func() bool { return true }, Holder: func() (uint64, int64) { return 1, 0 }},
	}
	poll := func(epoch uint64) uint64 {
		if _, err := s.watch(t.Context(), rpc.Peer{}, Poll{Watcher: "relay", Relay: true, Epoch: epoch, Revision: 5000, Acknowledged: 5000}); err != nil {
			t.Fatal(err)
		}
		return s.AcknowledgedRevision(time.Minute)
	}
	if acknowledged := poll(1); acknowledged != 0 {
		t.Errorf("revision %d of an earlier table counts", acknowledged)
	}
	if acknowledged := poll(2); acknowledged != 5000 {
		t.Errorf("got revision %d, want 5000", acknowledged)
	}
}
