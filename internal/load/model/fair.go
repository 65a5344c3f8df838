package model

import (
	"time"

	"hornbeamwood/internal/policy/fairness"
	"hornbeamwood/internal/policy/route"
)

// dispatchInterval is the interval at which an entry checks whether the next waiting request can be
// sent.
const dispatchInterval = 50 * time.Millisecond

// usesFairQueue reports whether a request is subject to fair queueing.
func (e *entry) usesFairQueue(q *request) bool {
	return e.run.config.Variant.FairQueueing && route.Band(q.arrival.Rules.Priority) < route.UrgentBand
}

// ahead returns the backlog at the chosen server.
func ahead(d *route.Decision) time.Duration {
	chosen, _ := d.Chosen()
	return fromSeconds(chosen.Wait)
}

func (e *entry) waitQueue(q *request) *waitQueue {
	return &e.waitQueues[route.Band(q.arrival.Rules.Priority)]
}

func (e *entry) mustWait(q *request, d *route.Decision) bool {
	return e.usesFairQueue(q) && fairness.MustWait(ahead(d), e.waitQueue(q).head != nil)
}

// queueing returns the expected time that the request waits in the queue of this entry, assuming
// that the other entries hold as much work.
func (e *entry) queueing(q *request, d *route.Decision) time.Duration {
	chosen, ok := d.Chosen()
	if !ok || !e.usesFairQueue(q) {
		return 0
	}
	cost := e.waitQueue(q).waiting.Ahead(q.arrival.Workspace, q.arrival.Rules.Share, chosen.Compute)
	return fairness.Wait(cost, len(e.run.entries), len(d.Estimates))
}

// enqueue adds a request to its wait queue, or refuses it if the queue is full.
func (e *entry) enqueue(q *request, d *route.Decision) {
	chosen, _ := d.Chosen()
	q.attempt--
	w := e.waitQueue(q)
	ok := w.waiting.Push(fairness.Item[*request]{
		Workspace: q.arrival.Workspace, Share: q.arrival.Rules.Share, Cost: chosen.Compute, Value: q,
	})
	if !ok {
		q.outcome = refused
		return
	}
	if w.head == nil {
		e.dispatch(w)
	}
}

// dispatchAll dispatches from all wait queues, the most urgent first.
func (e *entry) dispatchAll() {
	for b := range e.waitQueues {
		e.dispatch(&e.waitQueues[len(e.waitQueues)-1-b])
	}
}

// dispatch sends the waiting requests of a queue while the backlog of the best server permits.
func (e *entry) dispatch(w *waitQueue) {
	for !e.down && w.next() {
		q := w.head
		query, cell, servers := e.routeQuery(q)
		d := e.strategy.Decide(e.run.clock.time(), query, cell, e.random)
		if d.Server == route.None || fairness.MustWait(ahead(&d), false) {
			return
		}
		w.head = nil
		q.attempt++
		q.server = servers[d.Server]
		e.send(q, query, d)
	}
}

// resendWaiting makes the callers of the waiting requests of a crashed entry resend them.
func (e *entry) resendWaiting() {
	for b := range e.waitQueues {
		w := &e.waitQueues[b]
		for w.next() {
			q := w.head
			w.head = nil
			e.run.clock.after(resendDelay, func() { e.run.deliver(q) })
		}
	}
}
