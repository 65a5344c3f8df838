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
	// maxWait bounds a poll; a watcher that gets no answer for longer considers the replica lost.
	maxWait = time.Second
	// batchDelay lets changes that occur together be sent in one answer while there are at most
	// fewWatchers watchers. Beyond that the time between two rounds of answers grows with the square
	// of the number of watchers, since both the changes and the answers to each grow with it.
	// maxRoundInterval bounds it, because a change must take effect everywhere soon.
	batchDelay       = 3 * time.Millisecond
	fewWatchers      = 14
	maxRoundInterval = 400 * time.Millisecond
	// watcherTimeout is how long a watcher is counted after its last poll; it allows for some lost polls.
	watcherTimeout = 12 * time.Second
)

// Config configures a Server.
type Config struct {
	// Method is the RPC method that is served.
	Method rpc.Method[Poll, Answer]
	// Zone is the replica's availability zone.
	Zone string
	// Excluded returns whether rows of the topic are left out for watchers that get them from a relay; nil excludes none.
	Excluded func(t rowtable.Topic) bool
	// RoundInterval returns the time between two rounds of answers to the given number of watchers; nil means that it grows with their square.
	RoundInterval func(watchers int) time.Duration
	// Node serves the polls.
	Node rpc.Node
	// Table holds the rows.
	Table rowtable.Table
	// BatchReplicas answers replicas in rounds too; otherwise they are answered after a short batching delay.
	BatchReplicas bool
	// CaughtUp returns whether the replica is up to date.
	CaughtUp func() bool
	// Holder returns the fencing number of the lease that this replica holds, zero for none, and the servers' clock.
	Holder func() (fencing uint64, clock int64)
}

// Server answers polls.
type Server interface {
	// AwaitReplicas returns true once n other replicas have all rows up to revision, false when ctx ends first.
	AwaitReplicas(ctx context.Context, revision uint64, n int) bool
	// Entries returns how many entries polled recently.
	Entries() int
	// AcknowledgedRevision returns the revision up to which all entries that polled within the given time, here or at a relay, have the rows.
	AcknowledgedRevision(within time.Duration) uint64
	// Peers returns some of the entries other than the one that asks.
	Peers(q PeersQuery) []Peer
}

type watcher struct {
	entry    bool
	zone     string
	revision uint64
	polledAt time.Time
	// relayed, relay and acknowledged are as in a Poll.
	relayed, relay bool
	acknowledged   uint64
}

// entryRevision returns the revision up to which entries have the rows about stores and orders
// that they get from this replica, either directly or through the watcher as their relay.
// ok is false when the watcher represents no such entries.
func (w watcher) entryRevision() (revision uint64, ok bool) {
	if w.relay {
		return w.acknowledged, true
	}
	return w.revision, w.entry && !w.relayed
}

type server struct {
	Config
	mu       sync.Mutex
	watchers map[string]watcher
	advanced chan struct{}
	rounds   rounds
}

// NewServer registers the call and returns its Server; call it before the node serves.
func NewServer(c Config) Server {
	s := &server{Config: c, watchers: map[string]watcher{}, advanced: make(chan struct{})}
	if s.RoundInterval == nil {
		s.RoundInterval = defaultRoundInterval
	}
	rpc.Handle(c.Node, c.Method, s.watch)
	return s
}

func (s *server) watch(ctx context.Context, _ rpc.Peer, p Poll) (Answer, error) {
	if p.Epoch != s.Table.Epoch() {
		p.Revision, p.Acknowledged = 0, 0
	}
	s.recordPoll(p)
	ctx, cancel := context.WithTimeout(ctx, min(max(p.Wait, 0), maxWait))
	defer cancel()
	rows, revision := s.await(ctx, p)
	a := Answer{Epoch: s.Table.Epoch(), Revision: revision, Rows: rows, CaughtUp: s.CaughtUp(), Entries: s.Entries(), Zone: s.Zone}
	// Determined after CaughtUp, so that an answer with CaughtUp and without More has all rows that the replica had when it had caught up.
	a.More = s.Table.ChangedAfter(revision)
	a.Fencing, a.Clock = s.Holder()
	return a, nil
}

// await returns the rows that the watcher lacks, as soon as there are any or ctx ends,
// and the revision up to which they go.
func (s *server) await(ctx context.Context, p Poll) ([]rowtable.Row, uint64) {
	// A watcher that is catching up gets its next rows at once.
	catchingUp := p.CatchingUp && s.Table.ChangedAfter(p.Revision)
	for revision := p.Revision; ; {
		s.Table.Wait(ctx, revision)
		if ctx.Err() == nil && !catchingUp {
			s.awaitRound(p)
		}
		var rows []rowtable.Row
		rows, revision = s.Table.Since(revision)
		if p.Relayed && s.Excluded != nil {
			rows = slices.DeleteFunc(rows, func(r rowtable.Row) bool { return s.Excluded(r.Topic) })
		}
		if len(rows) > 0 || ctx.Err() != nil {
			return rows, revision
		}
	}
}

// awaitRound waits for the round in which the poll is answered. Unless BatchReplicas is set,
// replicas wait only batchDelay: they are few, and they relay the rows.
func (s *server) awaitRound(p Poll) {
	if !p.Entry && !s.BatchReplicas {
		time.Sleep(batchDelay)
		return
	}
	// Rounds are at most maxRoundInterval, or the configured RoundInterval, apart, and the poll's caller waits for longer.
	time.Sleep(time.Until(s.nextRound(time.Now())))
}

func (s *server) nextRound(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rounds.next(now, s.RoundInterval(len(s.watchers)))
}

// defaultRoundInterval returns how long changes are batched for the given number of watchers.
func defaultRoundInterval(watchers int) time.Duration {
	if watchers <= fewWatchers {
		return batchDelay
	}
	x := float64(watchers) / fewWatchers
	return min(maxRoundInterval, time.Duration(x*x*float64(batchDelay)))
}

// recordPoll records which revision the watcher has.
func (s *server) recordPoll(p Poll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[p.Watcher] = watcher{
		entry: p.Entry, zone: p.Zone, revision: p.Revision, polledAt: time.Now(), relayed: p.Relayed, relay: p.Relay, acknowledged: p.Acknowledged,
	}
	close(s.advanced)
	s.advanced = make(chan struct{})
}

// AwaitReplicas implements Server.
func (s *server) AwaitReplicas(ctx context.Context, revision uint64, n int) bool {
	for {
		s.mu.Lock()
		have, advanced := 0, s.advanced
		for _, w := range s.watchers {
			if !w.entry && w.revision >= revision {
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
		case time.Since(w.polledAt) > watcherTimeout:
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
	acknowledged := ^uint64(0)
	for _, w := range s.watchers {
		if revision, ok := w.entryRevision(); ok && time.Since(w.polledAt) <= within {
			acknowledged = min(acknowledged, revision)
		}
	}
	return acknowledged
}
