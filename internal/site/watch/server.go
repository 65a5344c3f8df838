package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/site/rowtable"
)

const (
	// maxWait bounds a poll; a watcher that hears nothing for longer takes the replica for lost.
	maxWait = time.Second
	// batchPause lets changes that come together travel in one answer while few
	// watch. The time between two rounds of answers grows with the square of the
	// watchers, since with their number the changes become more as well as the answers
	// to each, and mostPause bounds it: a change must be in force everywhere soon.
	batchPause  = 3 * time.Millisecond
	fewWatchers = 14
	mostPause   = 400 * time.Millisecond
	// watcherTimeout is how long a watcher counts after its last poll: some lost polls.
	watcherTimeout = 12 * time.Second
)

// Config is what a Server needs.
type Config struct {
	// Method is the call that is answered.
	Method rpc.Method[Poll, Answer]
	// Zone is the replica's availability zone.
	Zone string
	// Excluded returns whether rows of the topic are left out for watchers that get them from a relay; nil for none.
	Excluded func(t rowtable.Topic) bool
	// Pause returns the time between two rounds of answers to so many watchers; nil grows with their square.
	Pause func(watchers int) time.Duration
	// Node takes the polls.
	Node rpc.Node
	// Table holds the rows.
	Table rowtable.Table
	// BatchReplicas has replicas answered in rounds too; else what they are told comes at once.
	BatchReplicas bool
	// CaughtUp says whether the replica is up to date.
	CaughtUp func() bool
	// Holder returns the fencing number of the lease that this replica holds, zero for none, and the servers' clock.
	Holder func() (fencing uint64, clock int64)
}

// Server answers polls.
type Server interface {
	// AwaitReplicas returns true once n other replicas have all rows up to number, false when ctx ends before.
	AwaitReplicas(ctx context.Context, number uint64, n int) bool
	// Entries returns how many entries polled lately.
	Entries() int
	// AcknowledgedRevision returns the number up to which all entries have the rows that polled within the given time, here or at a relay.
	AcknowledgedRevision(within time.Duration) uint64
}

type watcher struct {
	entry  bool
	number uint64
	polled time.Time
	// relayed and relay are as in a Poll; known is the relay's.
	relayed, relay bool
	known          uint64
}

// has returns the number up to which the entries have the rows on stores and orders
// that get them from this replica, directly or over the watcher; ok is false for none.
func (w watcher) has() (number uint64, ok bool) {
	if w.relay {
		return w.known, true
	}
	return w.number, w.entry && !w.relayed
}

type server struct {
	Config
	mu       sync.Mutex
	watchers map[string]watcher
	advanced chan struct{}
	rounds   rounds
}

// NewServer registers the call and returns its Server; it is called before the node serves.
func NewServer(c Config) Server {
	s := &server{Config: c, watchers: map[string]watcher{}, advanced: make(chan struct{})}
	if s.Pause == nil {
		s.Pause = pauseFor
	}
	rpc.Handle(c.Node, c.Method, s.watch)
	return s
}

func (s *server) watch(ctx context.Context, _ rpc.Peer, p Poll) (Answer, error) {
	if p.Epoch != s.Table.Epoch() {
		p.Revision = 0
	}
	s.note(p)
	ctx, cancel := context.WithTimeout(ctx, min(max(p.Wait, 0), maxWait))
	defer cancel()
	rows, number := s.await(ctx, p)
	a := Answer{Epoch: s.Table.Epoch(), Revision: number, Rows: rows, More: s.Table.ChangedAfter(number), CaughtUp: s.CaughtUp(), Entries: s.Entries(), Zone: s.Zone}
	a.Fencing, a.Clock = s.Holder()
	return a, nil
}

// await returns the rows that the watcher lacks, as soon as there are any or ctx ends,
// and the number up to which they go.
func (s *server) await(ctx context.Context, p Poll) ([]rowtable.Row, uint64) {
	// Who has much to catch up with gets the next piece at once.
	catching := p.CatchingUp && s.Table.ChangedAfter(p.Revision)
	for number := p.Revision; ; {
		s.Table.Wait(ctx, number)
		if ctx.Err() == nil && !catching {
			s.gather(p)
		}
		var rows []rowtable.Row
		rows, number = s.Table.Since(number)
		if p.Relayed && s.Excluded != nil {
			rows = slices.DeleteFunc(rows, func(r rowtable.Row) bool { return s.Excluded(r.Topic) })
		}
		if len(rows) > 0 || ctx.Err() != nil {
			return rows, number
		}
	}
}

// gather waits for the round in which the poll is answered. Replicas are few, and what
// they are told they pass on.
func (s *server) gather(p Poll) {
	if !p.Entry && !s.BatchReplicas {
		time.Sleep(batchPause)
		return
	}
	// Rounds are mostPause or Pause apart at most, and the poll's caller waits for longer.
	time.Sleep(time.Until(s.nextRound(time.Now())))
}

func (s *server) nextRound(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rounds.next(now, s.Pause(len(s.watchers)))
}

// pauseFor returns how long changes are gathered for so many watchers.
func pauseFor(watchers int) time.Duration {
	if watchers <= fewWatchers {
		return batchPause
	}
	x := float64(watchers) / fewWatchers
	return min(mostPause, time.Duration(x*x*float64(batchPause)))
}

// note remembers how far the watcher is.
func (s *server) note(p Poll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[p.Watcher] = watcher{
		entry: p.Entry, number: p.Revision, polled: time.Now(), relayed: p.Relayed, relay: p.Relay, known: p.Acknowledged,
	}
	close(s.advanced)
	s.advanced = make(chan struct{})
}

// AwaitReplicas implements Server.
func (s *server) AwaitReplicas(ctx context.Context, number uint64, n int) bool {
	for {
		s.mu.Lock()
		have, advanced := 0, s.advanced
		for _, w := range s.watchers {
			if !w.entry && w.number >= number {
				have++
			}
		}
		s.mu.Unlock()
		if have >= n {
			return true
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return false
		}
	}
}

// Entries implements Server.
func (s *server) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, w := range s.watchers {
		switch {
		case time.Since(w.polled) > watcherTimeout:
			delete(s.watchers, name)
		case w.entry:
			n++
		}
	}
	return n
}

// AcknowledgedRevision implements Server.
func (s *server) AcknowledgedRevision(within time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := ^uint64(0)
	for _, w := range s.watchers {
		if number, ok := w.has(); ok && time.Since(w.polled) <= within {
			known = min(known, number)
		}
	}
	return known
}
