package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Work counts what this entry and its peers sent to each backend server since the newest load reports.
type Work interface {
	// Sent counts one request with tokens prompt tokens to compute, sent at now to the server of the given key.
	Sent(now time.Time, server Key, tokens int64)
	// Pending returns what the server's load report, whose figures were taken at the given time, does not show.
	Pending(now time.Time, server Key, taken time.Time) Pending
}

// tally is the work sent to one server.
type tally struct {
	own   sent
	peers sent
	// untold is what no Push has told yet.
	untold WorkRow
}

type workShard struct {
	mu      sync.Mutex
	tallies map[uint32]*tally
}

type work struct {
	start  time.Time
	shards [shardCount]*workShard
}

func newWork(start time.Time) *work {
	w := &work{start: start}
	for i := range w.shards {
		w.shards[i] = &workShard{tallies: map[uint32]*tally{}}
	}
	return w
}

func (w *work) step(t time.Time) int64 {
	return max(0, int64(t.Sub(w.start)/sentStep)) + 1
}

func (w *work) shard(server uint32) *workShard {
	return w.shards[server%shardCount]
}

// maxTallies bounds the servers of one shard, whatever the peers tell.
const maxTallies = 4096

// tally returns the tally of a server, a new one where there is none, and nil when there are too many.
func (s *workShard) tally(server uint32) *tally {
	t := s.tallies[server]
	if t == nil && len(s.tallies) < maxTallies {
		t = &tally{untold: WorkRow{Server: server}}
		s.tallies[server] = t
	}
	return t
}

// Sent implements Work.
func (w *work) Sent(now time.Time, server Key, tokens int64) {
	s := w.shard(server.short())
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tally(server.short())
	if t == nil {
		return
	}
	t.own.add(w.step(now), 1, tokens)
	t.untold.Requests++
	t.untold.Tokens += tokens
}

// Pending implements Work.
func (w *work) Pending(now time.Time, server Key, taken time.Time) Pending {
	s := w.shard(server.short())
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tallies[server.short()]
	if t == nil {
		return Pending{}
	}
	var p Pending
	from, to := w.step(taken), w.step(now)
	p.Requests, p.Tokens = t.own.since(from, to)
	p.PeerRequests, p.PeerTokens = t.peers.since(from, to)
	return p
}

// untold returns what was sent since the last call, in the order of the servers.
func (w *work) untold() []WorkRow {
	var all []WorkRow
	for _, s := range w.shards {
		s.mu.Lock()
		for k, t := range s.tallies {
			if t.untold.Requests > 0 {
				all = append(all, t.untold)
				t.untold = WorkRow{Server: k}
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b WorkRow) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// learn counts what a peer sent shortly before made.
func (w *work) learn(made time.Time, rows []WorkRow) {
	for _, r := range rows {
		if r.Requests <= 0 || r.Tokens < 0 {
			continue
		}
		s := w.shard(r.Server)
		s.mu.Lock()
		if t := s.tally(r.Server); t != nil {
			t.peers.add(w.step(made), r.Requests, r.Tokens)
		}
		s.mu.Unlock()
	}
}
