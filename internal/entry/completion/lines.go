package completion

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/policy/admission"
	"hornbeamwood/internal/policy/fairness"
	"hornbeamwood/internal/policy/route"
)

// turnInterval is how often an entry looks whether the next waiting request can go.
const turnInterval = 50 * time.Millisecond

// place names a line: requests for one model in one priority band wait behind each other.
type place struct {
	model string
	band  int
}

// ticket is one waiting request.
type ticket struct {
	job *job
	ctx context.Context
	// called is closed when it is the request's turn, gone by the request once it was sent or has given up.
	called, gone chan struct{}
}

// lines are the requests that wait at this entry for their workspace's turn.
//
// Long requests wait here and not at the servers, because a server works its
// queue in the order of arrival: one large workspace would fill it, and the
// small ones would wait behind all of that.
type lines struct {
	router *router
	mu     sync.Mutex
	queues map[place]fairness.Queue[*ticket]
}

func newLines(r *router) *lines {
	return &lines{router: r, queues: make(map[place]fairness.Queue[*ticket])}
}

func placeOf(j *job) place {
	return place{model: j.Model.Name, band: route.Band(j.Rules.Priority)}
}

// patient says whether a request takes part in fair queueing.
func patient(j *job) bool {
	return route.Band(j.Rules.Priority) < route.UrgentBand
}

// queueing returns how long the request is expected to wait for its turn and
// whether it has to; the other entries are taken to hold as much as this one.
func (l *lines) queueing(j *job, c *consideration) (time.Duration, bool) {
	if !patient(j) || !c.found() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.queues[placeOf(j)]
	if !ok || q.Len() == 0 {
		return 0, c.hold(false)
	}
	cost := q.Ahead(j.Workspace, j.Rules.Share, c.compute())
	return fairness.Wait(cost, l.router.Entries, len(c.decision.Estimates)), c.hold(true)
}

// wait returns when it is the request's turn; the caller calls the returned function once the request is sent.
//
// Servers that take requests and answer none, or lines that grow faster than
// was foreseen, would hold a request until its caller leaves. From the moment
// at which it can't make its deadline any more it is refused instead.
func (l *lines) wait(ctx context.Context, j *job, c *consideration, queueing time.Duration) (sent func(), err error) {
	waiting, cancel := context.WithTimeout(ctx, j.remaining(l.router.Now())-seconds(c.compute()))
	defer cancel()
	t := &ticket{job: j, ctx: waiting, called: make(chan struct{}), gone: make(chan struct{})}
	sent = sync.OnceFunc(func() { close(t.gone) })
	if !l.push(t, c.compute()) {
		return sent, l.refuse(j, c, admission.QueueFull, queueing)
	}
	event.RequestQueued.Write(l.router.Logger, log.Fields{"request": j.ID, "workspace": j.Workspace, "expected": queueing.String()})
	select {
	case <-t.called:
		return sent, nil
	case <-waiting.Done():
		sent()
	}
	if ctx.Err() != nil {
		return sent, callerGone(nil)
	}
	return sent, l.refuse(j, c, admission.DeadlineMissed, queueing)
}

func (l *lines) refuse(j *job, c *consideration, why admission.Reason, queueing time.Duration) error {
	r := l.router
	v := r.Admission.Refuse(why, queueing, r.Random)
	r.logRefused(j, c.decision, v)
	return v.Err()
}

func (l *lines) push(t *ticket, cost float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := placeOf(t.job)
	q, ok := l.queues[p]
	if !ok {
		q = fairness.New[*ticket](fairness.Config{})
		l.queues[p] = q
	}
	return q.Push(fairness.Item[*ticket]{Workspace: t.job.Workspace, Share: t.job.Rules.Share, Cost: cost, Value: t})
}

// run calls waiting requests while the best server has room, until ctx ends.
func (l *lines) run(ctx context.Context) {
	tick := time.NewTicker(turnInterval)
	defer tick.Stop()
	heads := make(map[place]*ticket)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, p := range l.places() {
			heads[p] = l.turn(p, heads[p])
		}
	}
}

func (l *lines) places() []place {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]place, 0, len(l.queues))
	for p := range l.queues {
		all = append(all, p)
	}
	return all
}

// turn calls the requests of one line and returns the one that has to wait on.
func (l *lines) turn(p place, head *ticket) *ticket {
	for {
		if head == nil || head.ctx.Err() != nil {
			var ok bool
			if head, ok = l.pop(p); !ok {
				return nil
			}
			continue
		}
		c := l.router.consider(head.job)
		if !c.found() || c.hold(false) {
			return head
		}
		close(head.called)
		// The next decision must see this request among the work in flight.
		<-head.gone
		head = nil
	}
}

func (l *lines) pop(p place) (*ticket, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.queues[p].Pop()
	return i.Value, ok
}
