package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Work counts the work that this entry and its peers sent to each backend server since its newest load report.
type Work interface {
	// Sent counts one request with the given number of prefill tokens, sent at now to the server with the given key.
	Sent(now time.Time, server Key, tokens int64)
	// Pending returns the work that the server's load report, measured at the given time, does not include.
	Pending(now time.Time, server Key, measured time.Time) Pending
}

// workCounts counts the work sent to one server.
type workCounts struct {
	own   sent
	peers sent
	// unreported is the work that no Push has reported yet.
	unreported WorkRow
}

type workShard struct {
	mu      sync.Mutex
	servers map[uint32]*workCounts
}

type work struct {
	start  time.Time
	shards [shardCount]*workShard
}

func newWork(start time.Time) *work {
	w := &work{start: start}
	for i := range w.shards {
		w.shards[i] = &workShard{servers: map[uint32]*workCounts{}}
	}
	return w
}

func (w *work) step(t time.Time) int64 {
	return max(0, int64(t.Sub(w.start)/sentStep)) + 1
}

func (w *work) shard(server uint32) *workShard {
	return w.shards[server%shardCount]
}

// maxWorkServers limits the servers of one shard, whatever the peers report.
const maxWorkServers = 4096

// counts returns the counts of a server. It creates them if there are none, and returns nil if there are too many.
func (s *workShard) counts(server uint32) *workCounts {
	c := s.servers[server]
	if c == nil && len(s.servers) < maxWorkServers {
		c = &workCounts{unreported: WorkRow{Server: server}}
		s.servers[server] = c
	}
	return c
}

// Sent implements Work.
func (w *work) Sent(now time.Time, server Key, tokens int64) {
	s := w.shard(server.prefix())
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts(server.prefix())
	if c == nil {
		return
	}
	c.own.add(w.step(now), 1, tokens)
	c.unreported.Requests++
	c.unreported.Tokens += tokens
}

// Pending implements Work.
func (w *work) Pending(now time.Time, server Key, measured time.Time) Pending {
	s := w.shard(server.prefix())
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.servers[server.prefix()]
	if c == nil {
		return Pending{}
	}
	var p Pending
	from, to := w.step(measured), w.step(now)
	p.Requests, p.Tokens = c.own.since(from, to)
	p.PeerRequests, p.PeerTokens = c.peers.since(from, to)
	return p
}

// unreported returns the work sent since the last call, ordered by server.
func (w *work) unreported() []WorkRow {
	var all []WorkRow
	for _, s := range w.shards {
		s.mu.Lock()
		for k, c := range s.servers {
			if c.unreported.Requests > 0 {
				all = append(all, c.unreported)
				c.unreported = WorkRow{Server: k}
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b WorkRow) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// addPeerWork counts the work that a peer sent shortly before made.
func (w *work) addPeerWork(made time.Time, rows []WorkRow) {
	for _, r := range rows {
		if r.Requests <= 0 || r.Tokens < 0 {
			continue
		}
		s := w.shard(r.Server)
		s.mu.Lock()
		if c := s.counts(r.Server); c != nil {
			c.peers.add(w.step(made), r.Requests, r.Tokens)
		}
		s.mu.Unlock()
	}
}
