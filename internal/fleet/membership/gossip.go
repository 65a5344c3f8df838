package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// Gossip decides what this entry tells and asks the other entries of its cell.
//
// Freshness travels by pulls only: the age of what an answer holds is counted
// from when its pull was sent, so that a message that lay for seconds in a
// broken connection can't make an old announcement look new. That a server
// leaves is pushed as well, since it can only take work away.
type Gossip interface {
	// SetPeers sets the identities of the other entries of the cell.
	SetPeers(peers []string)
	// Outgoing returns the messages that are due at now; it is called every 50 ms or so.
	Outgoing(now time.Time) []Envelope
	// Receive merges a message from a peer and returns the answers to send.
	Receive(now time.Time, from string, m Message) []Envelope
	// Leaving makes Outgoing tell all peers that the server of an identity leaves; it is called after a Merge with Leaving set.
	Leaving(identity string)
	// Work returns the counts of work sent.
	Work() Work
}

type pending struct {
	peer string
	sent time.Time
}

type gossip struct {
	config  GossipConfig
	self    Key
	work    *work
	mu      sync.Mutex
	random  *rand.Rand
	peers   []string
	next    int
	due     time.Time
	round   uint64
	pending map[uint64]pending
	leaving []string
	// own is this entry's newest work report, made at reported.
	own      WorkReport
	reported time.Time
	version  uint64
}

// NewGossip returns a Gossip over the given Table.
func NewGossip(c GossipConfig) (Gossip, error) {
	if c.Self == "" || c.Table == nil || c.Random == nil {
		return nil, fmt.Errorf("membership: gossip needs an identity, a table and a random source")
	}
	c.Pull = orDefault(c.Pull, DefaultPull)
	c.Await = orDefault(c.Await, DefaultAwait)
	return &gossip{
		config:  c,
		self:    KeyOf(c.Self),
		work:    newWork(c.Start),
		random:  c.Random,
		pending: map[uint64]pending{},
	}, nil
}

// SetPeers implements Gossip.
func (g *gossip) SetPeers(peers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers = slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return p == g.config.Self })
	g.next = 0
	g.shuffle()
}

func (g *gossip) shuffle() {
	g.random.Shuffle(len(g.peers), func(i, j int) { g.peers[i], g.peers[j] = g.peers[j], g.peers[i] })
}

// Work implements Gossip.
func (g *gossip) Work() Work {
	return g.work
}

// Leaving implements Gossip.
func (g *gossip) Leaving(identity string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = append(g.leaving, identity)
}

// Outgoing implements Gossip.
func (g *gossip) Outgoing(now time.Time) []Envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.notices(now)
	if now.Before(g.due) || len(g.peers) == 0 {
		return out
	}
	g.due = now.Add(g.config.Pull)
	return append(out, g.pull(now))
}

// pull returns the next pull; every peer is asked once before the order changes.
func (g *gossip) pull(now time.Time) Envelope {
	if g.next >= len(g.peers) {
		g.next = 0
		g.shuffle()
	}
	p := g.peers[g.next]
	g.next++
	g.round++
	g.expire(now)
	g.pending[g.round] = pending{peer: p, sent: now}
	return Envelope{To: p, Message: Message{Pull: &Pull{
		Round:    g.round,
		Versions: versions(g.config.Table.View()),
		Work:     g.work.versions(now),
	}}}
}

func (g *gossip) expire(now time.Time) {
	for r, p := range g.pending {
		if now.Sub(p.sent) > g.config.Await {
			delete(g.pending, r)
		}
	}
}

func versions(v View) []Version {
	all := make([]Version, 0, v.Len())
	for s := range v.All() {
		all = append(all, Version{
			Key:         s.key,
			Incarnation: s.announcement.Incarnation,
			Sequence:    s.announcement.Sequence,
			Form:        s.form,
			Leaving:     s.announcement.State == announcement.Leaving,
		})
	}
	return all
}

// notices returns one Notice to each peer for the servers that were heard to leave.
func (g *gossip) notices(now time.Time) []Envelope {
	if len(g.leaving) == 0 {
		return nil
	}
	v := g.config.Table.View()
	n := &Notice{}
	for _, i := range g.leaving {
		s, ok := v.Server(i)
		if ok {
			n.Rows = append(n.Rows, newRow(now, s, 0))
		}
	}
	g.leaving = nil
	out := make([]Envelope, 0, len(g.peers))
	for _, p := range g.peers {
		out = append(out, Envelope{To: p, Message: Message{Notice: n}})
	}
	return out
}

// Receive implements Gossip.
func (g *gossip) Receive(now time.Time, from string, m Message) []Envelope {
	switch {
	case m.Pull != nil:
		return []Envelope{{To: from, Message: Message{Answer: g.answer(now, m.Pull)}}}
	case m.Answer != nil:
		g.learn(now, from, m.Answer)
	case m.Notice != nil:
		g.notice(now, m.Notice)
	}
	return nil
}

// answer returns the servers and reports that the sender of the pull lacks.
func (g *gossip) answer(now time.Time, p *Pull) *Answer {
	known := make(map[Key]Version, len(p.Versions))
	for _, v := range p.Versions {
		known[v.Key] = v
	}
	a := &Answer{Round: p.Round, Work: g.work.newer(now, p.Work)}
	if r := g.report(now); r.Version > 0 {
		a.Work = append(a.Work, r)
	}
	view := g.config.Table.View()
	for s := range view.All() {
		k := known[s.key]
		if newer(s, k) {
			a.Rows = append(a.Rows, newRow(now, s, k.Form))
		}
	}
	return a
}

func newer(s *Server, v Version) bool {
	a := &s.announcement
	if a.Incarnation != v.Incarnation {
		return a.Incarnation > v.Incarnation
	}
	leaves := a.State == announcement.Leaving && !v.Leaving
	return leaves || a.Sequence > v.Sequence
}

// report returns this entry's own work report, made anew at most once between two pulls, and the zero report when there is nothing to tell.
//
// The incarnation stands in the upper bits, so that reports after a restart
// are newer than those before it, which peers would otherwise keep.
func (g *gossip) report(now time.Time) WorkReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.reported) >= g.config.Pull {
		g.renew(now)
	}
	r := g.own
	r.AgeMillis = ceilMillis(now.Sub(g.reported))
	return r
}

func (g *gossip) renew(now time.Time) {
	rows := g.work.rows(now, g.config.Table.View())
	g.reported = now
	if len(rows) == 0 && len(g.own.Rows) == 0 {
		g.own = WorkReport{}
		return
	}
	g.version++
	g.own = WorkReport{
		Entry:   g.self,
		Version: uint64(g.config.Incarnation)<<32 | g.version,
		Rows:    rows,
	}
}

// take returns when the pull of a round was sent, once, and only for the peer that was asked.
func (g *gossip) take(now time.Time, round uint64, from string) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pending[round]
	if !ok || p.peer != from {
		return time.Time{}, false
	}
	delete(g.pending, round)
	return p.sent, now.Sub(p.sent) <= g.config.Await
}

func (g *gossip) learn(now time.Time, from string, a *Answer) {
	sent, ok := g.take(now, a.Round, from)
	if !ok {
		return
	}
	waited := now.Sub(sent)
	view := g.config.Table.View()
	for _, r := range a.Rows {
		g.merge(now, view, r, waited+millis(r.AgeMillis))
	}
	for _, r := range a.Work {
		if r.Entry != g.self && r.AgeMillis >= 0 {
			g.work.learn(r, sent.Add(-millis(r.AgeMillis)))
		}
	}
}

// noticeAge is older than any age up to which a server gets work.
const noticeAge = time.Minute

func (g *gossip) notice(now time.Time, n *Notice) {
	view := g.config.Table.View()
	for _, r := range n.Rows {
		if r.Leaving {
			g.merge(now, view, r, noticeAge)
		}
	}
}

// merge merges a row whose form is known or comes with it; without one the row is left to the next pull.
func (g *gossip) merge(now time.Time, view View, r Row, age time.Duration) {
	form, ok := formFor(view, r)
	if !ok || age < 0 {
		return
	}
	g.config.Table.Merge(now, r.announcement(form), age)
}

func formFor(view View, r Row) (announcement.Announcement, bool) {
	if r.Static != nil {
		return *r.Static, KeyOf(r.Static.Identity) == r.Key
	}
	for s := range view.All() {
		if s.key == r.Key && s.form == r.Form {
			return formOf(s.announcement), true
		}
	}
	return announcement.Announcement{}, false
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
