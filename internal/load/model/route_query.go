package model

import (
	"time"

	"hornbeamwood/internal/policy/placement"
	"hornbeamwood/internal/policy/route"
)

// routeQuery returns the input of the strategy, with the index of the engine of each candidate.
func (e *entry) routeQuery(q *request) (*route.Request, *route.Cell, []int) {
	servers := e.run.eligible(q)
	cell := &route.Cell{Candidates: make([]route.Candidate, len(servers)), Stores: make([]route.Store, len(e.stores))}
	at := make([]int, len(e.servers))
	for i := range at {
		at[i] = route.None
	}
	for i, s := range servers {
		at[s] = i
		e.fill(&cell.Candidates[i], s)
	}
	for i := range e.stores {
		e.fillStore(&cell.Stores[i], i)
	}
	e.addWork(cell, at)
	return e.routeRequest(q, at), cell, servers
}

func (e *entry) fill(c *route.Candidate, s int) {
	v := &e.servers[s]
	c.Identity = e.run.engines[s].identity
	c.Load = v.load
	c.ReportedAt = origin.Add(v.reportedAt)
	c.Suspect = v.suspect || e.run.clock.now-v.receivedAt > e.run.config.Profile.SilentAfter
	c.Reserve = s >= e.run.config.Deployment.Servers
	c.PriorityAware = !e.run.engines[s].fifo
}

func (e *entry) fillStore(s *route.Store, i int) {
	v := &e.stores[i]
	age := (e.run.clock.now - v.reportedAt).Seconds()
	s.LinkRate = v.rate
	if v.lost {
		s.LinkRate = 0
	}
	s.DiskRate = v.diskRate
	s.LinkQueued = max(v.queued-int64(age*v.rate), 0)
	s.DiskQueued = max(v.diskQueued-int64(age*v.diskRate), 0)
}

// addWork adds the work in flight of this entry and, by their last messages, of its peers.
func (e *entry) addWork(cell *route.Cell, at []int) {
	for r := range e.own {
		e.addRecord(cell, at, r)
	}
	for p := range e.peers {
		e.dropLost(&e.peers[p])
		for i := range e.peers[p].work {
			e.addRecord(cell, at, &e.peers[p].work[i])
		}
	}
}

// dropLost discards the work of a lost peer.
func (e *entry) dropLost(m *workMessage) {
	if e.run.clock.now-m.receivedAt > peerTimeout && placement.React(placement.EntryLost).DropWork {
		m.work = nil
	}
}

func (e *entry) addRecord(cell *route.Cell, at []int, r *record) {
	for s, bytes := range r.link {
		if r.sent > e.stores[s].reportedAt {
			cell.Stores[s].LinkQueued += bytes
			cell.Stores[s].DiskQueued += r.disk[s]
		}
	}
	if at[r.server] == route.None {
		return
	}
	c := &cell.Candidates[at[r.server]]
	c.InFlight = c.InFlight.With(r.band, 1, r.tokens)
	if r.sent > e.servers[r.server].reportedAt {
		c.SentSinceReport = c.SentSinceReport.With(r.band, 1, r.tokens)
	}
}

// routeRequest returns the request with the locations that the directory knows.
func (e *entry) routeRequest(q *request, at []int) *route.Request {
	d := e.run.config.Deployment
	a := &q.arrival
	r := &route.Request{Workspace: a.Workspace, Rules: a.Rules, Key: keyOf(q), Tokens: e.run.extra(q)}
	r.Pieces = make([]route.Piece, len(a.Pieces))
	for i, key := range a.Pieces {
		p := &r.Pieces[i]
		p.Tokens, p.Bytes = d.PieceTokens, e.run.config.Profile.PieceBytes
		p.Copies = e.run.directory.copies[key]
		for _, s := range e.run.directory.engines[key] {
			if at[s] != route.None {
				p.Engines = append(p.Engines, at[s])
			}
		}
		r.Tokens += p.Tokens
	}
	return r
}

// keyOf returns the key of the second piece, which is the first one specific to a document; prompts
// without one are spread by request number.
func keyOf(q *request) uint64 {
	if len(q.arrival.Pieces) > 1 {
		return q.arrival.Pieces[1]
	}
	return uint64(q.arrival.Number)
}

// applyReport applies a load report of a server unless it is older than the last one or than the
// failure of the connection.
func (e *entry) applyReport(server int, v serverView) {
	old := &e.servers[server]
	if v.reportedAt < old.reportedAt || v.reportedAt < old.suspectedAt {
		return
	}
	v.receivedAt = e.run.clock.now
	e.servers[server] = v
}

// gossip sends the work in flight of this entry to its peers.
func (e *entry) gossip(delay time.Duration) {
	if e.down {
		return
	}
	list := make([]record, 0, len(e.own))
	for r := range e.own {
		list = append(list, *r)
	}
	for _, p := range e.run.entries {
		if p != e {
			e.run.clock.after(delay, func() { p.peers[e.index] = workMessage{receivedAt: e.run.clock.now, work: list} })
		}
	}
}
