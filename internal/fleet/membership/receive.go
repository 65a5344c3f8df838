package membership

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// undated is the age of what a push tells while nothing is proved of its sender's clock; it is older than any age up to which a server gets work.
const undated = time.Minute

// Receive implements Gossip.
func (g *gossip) Receive(now time.Time, from string, m Message) []Envelope {
	switch {
	case m.Push != nil:
		g.pushedBy(now, from, m.Push)
	case m.Pull != nil:
		return []Envelope{{To: from, Message: Message{Answer: g.answer(now, m.Pull)}}}
	case m.Answer != nil:
		g.answered(now, from, m.Answer)
	}
	return nil
}

// answer returns the servers that the sender of the pull lacks.
func (g *gossip) answer(now time.Time, p *Pull) *Answer {
	known := make(map[uint64]Version, len(p.Versions))
	for _, v := range p.Versions {
		known[v.Form] = v
	}
	a := &Answer{Round: p.Round, Stamp: g.stamp(now)}
	view := g.config.Table.View()
	for s := range view.All() {
		v, ok := known[s.form]
		if !ok || s.version().newer(v) {
			a.Rows = append(a.Rows, newRow(now, s, !ok))
		}
	}
	return a
}

// version returns what a Pull tells of the server.
func (s *Server) version() Version {
	return Version{
		Form:     s.form,
		Sequence: s.announcement.Sequence,
		Leaving:  s.announcement.State == announcement.Leaving,
	}
}

// newer returns whether v tells more than o of the same form.
func (v Version) newer(o Version) bool {
	return v.Sequence > o.Sequence || (v.Leaving && !o.Leaving)
}

// take returns when the pull of a round was sent, once, and only for the peer that was asked.
func (g *gossip) take(now time.Time, round uint64, from string, s Stamp) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pulls[round]
	if !ok || p.peer != from {
		return time.Time{}, false
	}
	delete(g.pulls, round)
	if now.Sub(p.sent) > g.config.Await {
		return time.Time{}, false
	}
	if c := g.clocks[from]; c != nil {
		c.add(now, p.sent, s)
	}
	return p.sent, true
}

func (g *gossip) answered(now time.Time, from string, a *Answer) {
	sent, ok := g.take(now, a.Round, from, a.Stamp)
	if !ok {
		return
	}
	view := g.config.Table.View()
	for _, r := range a.Rows {
		g.merge(now, view, r, now.Sub(sent)+millis(r.AgeMillis))
	}
}

// pushedBy merges a push.
//
// An undated row that says ready would raise the sequence without being
// fresh, and the next pull would not bring it; so it waits for that pull.
// That a server leaves counts at any age.
func (g *gossip) pushedBy(now time.Time, from string, p *Push) {
	made, dated := g.made(now, from, p.Stamp)
	view := g.config.Table.View()
	for _, r := range p.Rows {
		switch {
		case dated:
			g.merge(now, view, r, now.Sub(made)+millis(r.AgeMillis))
		case r.Leaving:
			g.merge(now, view, r, undated)
		}
	}
	if dated {
		g.work.learn(made.Add(-g.config.Push/2), p.Work)
	}
}

func (g *gossip) made(now time.Time, from string, s Stamp) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.clocks[from]
	if c == nil {
		return time.Time{}, false
	}
	return c.made(now, s)
}

// merge merges a row whose form is known or comes with it; without one the row is left to the next pull.
func (g *gossip) merge(now time.Time, view View, r Row, age time.Duration) {
	form, ok := formFor(view, r)
	if !ok || r.AgeMillis < 0 {
		return
	}
	g.config.Table.Merge(now, r.announcement(form), age)
}

func formFor(view View, r Row) (announcement.Announcement, bool) {
	if r.Static != nil {
		return *r.Static, true
	}
	for s := range view.All() {
		if s.form == r.Form {
			return formOf(s.announcement), true
		}
	}
	return announcement.Announcement{}, false
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
