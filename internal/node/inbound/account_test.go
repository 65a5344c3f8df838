package inbound

import (
	"errors"
	"testing"
	"time"
)

// Guards against a client that makes progress, or the one that came last, being evicted in place of
// clients that hold memory and send nothing.
func TestStalledClientsAreEvicted(t *testing.T) {
	s := newTestServer(t)
	stalled, slow, last := openConn(t, s).conn, openConn(t, s).conn, openConn(t, s).conn
	for _, c := range []*conn{stalled, slow} {
		c.beginBody(time.Now().Add(time.Minute))
		if err := s.account.reserve(c, testBytes/2, time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
	}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go keepSending(slow, done)
	stalled.setProgress(time.Now().Add(-2 * defaultStallTime))
	last.beginBody(time.Now().Add(time.Minute))
	granted := make(chan error, 1)
	go func() { granted <- s.account.reserve(last, testBytes/4, time.Now().Add(time.Minute)) }()
	eventually(t, "the stalled client is interrupted", stalled.isEnding)
	if err := stalled.endBody(); !errors.Is(err, ErrNoMemory) {
		t.Errorf("the stalled client ended with %v", err)
	}
	s.account.releaseAll(stalled)
	if err := <-granted; err != nil {
		t.Errorf("the last client: %v", err)
	}
	if slow.isEnding() {
		t.Error("a client that makes progress was interrupted")
	}
}

// keepSending makes a connection count as one that makes progress.
func keepSending(c *conn, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(defaultStallTime / 10):
			c.setProgress(time.Now())
		}
	}
}

func (c *conn) setProgress(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progressAt = t
}

// Guards against clients that make no progress by less than progressBytes at a time.
func TestTrickleIsNoProgress(t *testing.T) {
	s := newTestServer(t)
	x := openConn(t, s)
	x.conn.beginBody(time.Now().Add(time.Minute))
	x.conn.setProgress(time.Now().Add(-time.Second))
	go func() { _, _ = x.peer.Write([]byte("a")) }()
	if _, err := x.conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if d := x.conn.stalled(time.Now()); d < time.Second {
		t.Errorf("stalled for %v only", d)
	}
}

// Guards against bodies that grow and wait for each other until all their time is over.
func TestBodiesDoNotWaitForEachOther(t *testing.T) {
	s := newTestServer(t)
	large, small := openConn(t, s).conn, openConn(t, s).conn
	until := time.Now().Add(time.Minute)
	for c, n := range map[*conn]int64{large: testBytes * 3 / 5, small: testBytes * 2 / 5} {
		c.beginBody(until)
		if err := s.account.reserve(c, n, until); err != nil {
			t.Fatal(err)
		}
	}
	results := map[*conn]chan error{large: make(chan error, 1), small: make(chan error, 1)}
	for c, result := range results {
		go func() { result <- s.account.reserve(c, testBytes*2/5, until) }()
	}
	if err := <-results[large]; !errors.Is(err, ErrNoMemory) {
		t.Errorf("the larger one: %v", err)
	}
	s.account.releaseAll(large)
	if err := <-results[small]; err != nil {
		t.Errorf("the smaller one: %v", err)
	}
}

// Guards against memory that stays reserved for connections that have closed, or after requests that have ended.
func TestReservationsEndWithTheirRequests(t *testing.T) {
	s := newTestServer(t)
	c := openConn(t, s).conn
	if !s.account.tryReserve(c, testBytes) || s.account.tryReserve(c, 1) {
		t.Error("the account isn't as large as it should be")
	}
	s.account.release(c, testBytes/2)
	if n := s.account.Reserved(); n != testBytes/2 {
		t.Errorf("%d bytes are reserved", n)
	}
	s.account.remove(c)
	if n := s.account.Reserved(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}

// Guards against a reservation that waits beyond its time, or for more than there can ever be.
func TestReservationsAreBounded(t *testing.T) {
	s := newTestServer(t)
	holder, waiting := openConn(t, s).conn, openConn(t, s).conn
	if err := s.account.reserve(holder, testBytes, time.Now()); err != nil {
		t.Fatal(err)
	}
	for n, want := range map[int64]error{1: ErrNoMemory, testBytes: ErrNoMemory, testBytes + 1: ErrTooLarge} {
		if err := s.account.reserve(waiting, n, time.Now().Add(20*time.Millisecond)); !errors.Is(err, want) {
			t.Errorf("%d bytes: %v, want %v", n, err, want)
		}
	}
}

// Guards against clients that hold connections while they wait behind more than all clients may hold.
func TestLongQueueRefusesAtOnce(t *testing.T) {
	s := newTestServer(t)
	holder, first, second := openConn(t, s).conn, openConn(t, s).conn, openConn(t, s).conn
	until := time.Now().Add(time.Minute)
	if err := s.account.reserve(holder, testBytes, until); err != nil {
		t.Fatal(err)
	}
	granted := make(chan error, 1)
	go func() { granted <- s.account.reserve(first, testBytes, until) }()
	eventually(t, "the first one waits", func() bool { return s.account.(*account).waiting() == 1 })
	if err := s.account.reserve(second, 1, until); !errors.Is(err, ErrNoMemory) {
		t.Errorf("the second one: %v", err)
	}
	s.account.releaseAll(holder)
	if err := <-granted; err != nil {
		t.Errorf("the first one: %v", err)
	}
}

func (a *account) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue)
}

// Guards against answers that nobody reads, which the process can't refuse any more: they count, and clients that take
// nothing of theirs are evicted.
func TestUnreadAnswersAreEvicted(t *testing.T) {
	s := newTestServer(t)
	idle, next := openConn(t, s).conn, openConn(t, s).conn
	for _, c := range []*conn{idle, next} {
		c.setServing()
		s.account.charge(c, testBytes*3/4)
		c.setWriting(time.Now().Add(-2 * defaultStallTime))
		if c == idle && idle.isEnding() {
			t.Fatal("a client was closed while there was room")
		}
		next.setWriting(time.Now())
	}
	if !idle.isEnding() || next.isEnding() {
		t.Errorf("idle closed %t, next closed %t", idle.isEnding(), next.isEnding())
	}
}
