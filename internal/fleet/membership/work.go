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

// peerReport is the newest report of one peer, with its rows by server.
type peerReport struct {
	report WorkReport
	made   time.Time
	rows   map[Key]WorkRow
}

type workShard struct {
	mu   sync.Mutex
	sent map[Key]*sent
}

type work struct {
	start  time.Time
	shards [shardCount]*workShard
	mu     sync.RWMutex
	peers  map[Key]peerReport
}

func newWork(start time.Time) *work {
	w := &work{start: start, peers: map[Key]peerReport{}}
	for i := range w.shards {
		w.shards[i] = &workShard{sent: map[Key]*sent{}}
	}
	return w
}

func (w *work) step(t time.Time) int64 {
	return max(0, int64(t.Sub(w.start)/sentStep)) + 1
}

// Sent implements Work.
func (w *work) Sent(now time.Time, server Key, tokens int64) {
	s := w.shards[server%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.sent[server]
	if b == nil {
		b = &sent{}
		s.sent[server] = b
	}
	b.add(w.step(now), tokens)
}

// Pending implements Work.
func (w *work) Pending(now time.Time, server Key, taken time.Time) Pending {
	p := w.own(now, server, taken)
	w.mu.RLock()
	defer w.mu.RUnlock()
	for _, r := range w.peers {
		if now.Sub(r.made) > workLife {
			continue
		}
		row := r.rows[server]
		p.PeerRequests += row.Requests
		p.PeerTokens += row.Tokens
	}
	return p
}

func (w *work) own(now time.Time, server Key, taken time.Time) Pending {
	s := w.shards[server%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.sent[server]
	if b == nil {
		return Pending{}
	}
	requests, tokens := b.since(w.step(taken), w.step(now))
	return Pending{Requests: requests, Tokens: tokens}
}

// rows returns this entry's rows for a report: the servers that got work since their load reports.
func (w *work) rows(now time.Time, v View) []WorkRow {
	var all []WorkRow
	for s := range v.All() {
		p := w.own(now, s.key, s.loadTaken)
		if p.Requests == 0 {
			continue
		}
		all = append(all, WorkRow{Server: s.key, Requests: p.Requests, Tokens: p.Tokens})
	}
	slices.SortFunc(all, func(a, b WorkRow) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// learn takes in a peer's report made at the given time, unless a newer one is known.
func (w *work) learn(r WorkReport, made time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.peers[r.Entry].report.Version >= r.Version {
		return
	}
	p := peerReport{report: r, made: made, rows: make(map[Key]WorkRow, len(r.Rows))}
	for _, row := range r.Rows {
		p.rows[row.Server] = row
	}
	w.peers[r.Entry] = p
}

// versions returns the newest version known of each peer whose reports still count.
func (w *work) versions(now time.Time) []WorkVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]WorkVersion, 0, len(w.peers))
	for k, p := range w.peers {
		if now.Sub(p.made) > forgetPeer {
			delete(w.peers, k)
			continue
		}
		all = append(all, WorkVersion{Entry: k, Version: p.report.Version})
	}
	slices.SortFunc(all, func(a, b WorkVersion) int { return cmp.Compare(a.Entry, b.Entry) })
	return all
}

// newer returns the reports that are newer than the versions of a Pull and still count.
func (w *work) newer(now time.Time, known []WorkVersion) []WorkReport {
	have := make(map[Key]uint64, len(known))
	for _, k := range known {
		have[k.Entry] = k.Version
	}
	w.mu.RLock()
	defer w.mu.RUnlock()
	var all []WorkReport
	for k, p := range w.peers {
		if p.report.Version <= have[k] || now.Sub(p.made) > workLife {
			continue
		}
		r := p.report
		r.AgeMillis = ceilMillis(now.Sub(p.made))
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b WorkReport) int { return cmp.Compare(a.Entry, b.Entry) })
	return all
}
