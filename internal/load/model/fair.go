package model

import (
	"time"

	"hornbeamwood/internal/policy/fairness"
	"hornbeamwood/internal/policy/route"
)

// turnEvery is how often an entry looks whether the next request can go.
const turnEvery = 50 * time.Millisecond

// patient says whether a request takes part in fair queueing.
func (e *entry) patient(q *request) bool {
	return e.run.config.Contender.Fair && route.Band(q.arrival.Rules.Priority) < route.UrgentBand
}

// ahead returns the work ahead at the chosen server.
func ahead(d *route.Decision) time.Duration {
	chosen, _ := d.Chosen()
	return span(chosen.Wait)
}

func (e *entry) line(q *request) *line {
	return &e.lines[route.Band(q.arrival.Rules.Priority)]
}

func (e *entry) mustWait(q *request, d *route.Decision) bool {
	return e.patient(q) && fairness.Hold(ahead(d), e.line(q).head != nil)
}

// queueing returns how long the request is expected to wait for its turn; other
// entries are taken to hold as much as this one.
func (e *entry) queueing(q *request, d *route.Decision) time.Duration {
	chosen, ok := d.Chosen()
	if !ok || !e.patient(q) {
		return 0
	}
	cost := e.line(q).waiting.Ahead(q.arrival.Workspace, q.arrival.Rules.Share, chosen.Compute)
	return fairness.Wait(cost, len(e.run.entries), len(d.Estimates))
}

// wait queues a request; a full queue refuses it.
func (e *entry) wait(q *request, d *route.Decision) {
	chosen, _ := d.Chosen()
	q.attempt--
	l := e.line(q)
	ok := l.waiting.Push(fairness.Item[*request]{
		Workspace: q.arrival.Workspace, Share: q.arrival.Rules.Share, Cost: chosen.Compute, Value: q,
	})
	if !ok {
		q.outcome = refused
		return
	}
	if l.head == nil {
		e.turn(l)
	}
}

// turns looks at all lines, the most urgent first.
func (e *entry) turns() {
	for b := range e.lines {
		e.turn(&e.lines[len(e.lines)-1-b])
	}
}

// turn sends the waiting requests of a line while the best server has room.
func (e *entry) turn(l *line) {
	for !e.dead && l.next() {
		q := l.head
		ask, cell, servers := e.question(q)
		d := e.strategy.Decide(e.run.clock.time(), ask, cell, e.random)
		if d.Server == route.None || fairness.Hold(ahead(&d), false) {
			return
		}
		l.head = nil
		q.attempt++
		q.server = servers[d.Server]
		e.send(q, ask, d)
	}
}

// abandon gives the waiting requests of a dead entry back to their callers.
func (e *entry) abandon() {
	for b := range e.lines {
		l := &e.lines[b]
		for l.next() {
			q := l.head
			l.head = nil
			e.run.clock.after(comeBack, func() { e.run.deliver(q) })
		}
	}
}
