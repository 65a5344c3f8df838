package membership

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// undatedAge is the age assumed for rows of a push while its sender's clock has no bound; it exceeds every age at which a server is eligible.
const undatedAge = time.Minute

// Receive implements Gossip.
func (g *gossip) Receive(now time.Time, from string, m Message) []Envelope {
	switch {
	case m.Push != nil:
		g.receivePush(now, from, m.Push)
	case m.Pull != nil:
		return []Envelope{{To: from, Message: Message{Answer: g.answer(now, m.Pull)}}}
	case m.Answer != nil:
		g.receiveAnswer(now, from, m.Answer)
	}
	return nil
}

// answer returns the rows that the sender of the pull lacks.
func (g *gossip) answer(now time.Time, p *Pull) *Answer {
	known := make(map[uint64]Version, len(p.Versions))
	for _, v := range p.Versions {
		known[v.Digest] = v
	}
	a := &Answer{Round: p.Round, Stamp: g.stamp(now)}
	view := g.config.Table.View()
	for s := range view.All() {
		v, ok := known[s.digest]
		if !ok || s.version().newer(v) {
			a.Rows = append(a.Rows, newRow(now, s, !ok))
		}
	}
	return a
}

// version returns the server's Version for a Pull.
func (s *Server) version() Version {
	return Version{
		Digest:   s.digest,
		Sequence: s.announcement.Sequence,
		Leaving:  s.announcement.State == announcement.Leaving,
	}
}

// newer reports whether v is newer than o; both have the same digest.
func (v Version) newer(o Version) bool {
	return v.Sequence > o.Sequence || (v.Leaving && !o.Leaving)
}

// takePull removes the pull of a round and returns when it was sent. It succeeds once, and only for the peer that the pull was sent to.
func (g *gossip) takePull(now time.Time, round uint64, from string, s Stamp) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pulls[round]
	if !ok || p.peer != from {
		return time.Time{}, false
	}
	delete(g.pulls, round)
	if now.Sub(p.sent) > g.config.PullTimeout {
		return time.Time{}, false
	}
	if c := g.clocks[from]; c != nil {
		c.add(now, p.sent, s)
	}
	return p.sent, true
}

func (g *gossip) receiveAnswer(now time.Time, from string, a *Answer) {
	sent, ok := g.takePull(now, a.Round, from, a.Stamp)
	if !ok {
		return
	}
	view := g.config.Table.View()
	for _, r := range a.Rows {
		g.merge(now, view, r, now.Sub(sent)+millis(r.AgeMillis))
	}
}

// receivePush merges a push.
//
// Merging an undated ready row would raise the sequence number without making
// the server eligible, and the next pull would then not return the row.
// Such a row is skipped and left to that pull. A leaving row is merged at any age.
func (g *gossip) receivePush(now time.Time, from string, p *Push) {
	made, dated := g.sentAt(now, from, p.Stamp)
	view := g.config.Table.View()
	for _, r := range p.Rows {
		switch {
		case dated:
			g.merge(now, view, r, now.Sub(made)+millis(r.AgeMillis))
		case r.Leaving:
			g.merge(now, view, r, undatedAge)
		}
	}
	if dated {
		g.work.addPeerWork(made.Add(-g.config.PushInterval/2), p.Work)
	}
}

func (g *gossip) sentAt(now time.Time, from string, s Stamp) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.clocks[from]
	if c == nil {
		return time.Time{}, false
	}
	return c.earliest(now, s)
}

// merge merges a row whose static part is known or included; any other row is left to the next pull.
func (g *gossip) merge(now time.Time, view View, r Row, age time.Duration) {
	static, ok := staticFor(view, r)
	if !ok || r.AgeMillis < 0 {
		return
	}
	g.config.Table.Merge(now, r.announcement(static), age)
}

func staticFor(view View, r Row) (announcement.Announcement, bool) {
	if r.Static != nil {
		return *r.Static, true
	}
	for s := range view.All() {
		if s.digest == r.Digest {
			return staticPart(s.announcement), true
		}
	}
	return announcement.Announcement{}, false
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
