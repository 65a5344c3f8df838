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

// admitInterval is how often an entry checks whether the next queued request can be sent.
const admitInterval = 50 * time.Millisecond

// queueKey identifies a wait queue; requests for one model in one priority band share it.
type queueKey struct {
	model string
	band  int
}

// queuedRequest is one waiting request.
type queuedRequest struct {
	job *job
	ctx context.Context
	// admitted is closed when the request may be sent; done is closed when the request was sent or no longer waits.
	admitted, done chan struct{}
}

// waitQueues holds the requests that wait at this entry in fair queues by workspace.
//
// Long requests wait here and not at the servers, because a server serves its
// queue in order of arrival. One large workspace would fill it, and the requests
// of small ones would wait behind that.
type waitQueues struct {
	router *router
	mu     sync.Mutex
	byKey  map[queueKey]fairness.Queue[*queuedRequest]
}

func newWaitQueues(r *router) *waitQueues {
	return &waitQueues{router: r, byKey: make(map[queueKey]fairness.Queue[*queuedRequest])}
}

func queueKeyOf(j *job) queueKey {
	return queueKey{model: j.Model.Name, band: route.Band(j.Rules.Priority)}
}

// fairlyQueued reports whether a request takes part in fair queueing.
func fairlyQueued(j *job) bool {
	return route.Band(j.Rules.Priority) < route.UrgentBand
}

// estimate returns the expected time of the request in the queue and whether it
// has to wait. It assumes that each other entry has as much queued as this one.
func (w *waitQueues) estimate(j *job, ev *evaluation) (time.Duration, bool) {
	if !fairlyQueued(j) || !ev.found() {
		return 0, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	q, ok := w.byKey[queueKeyOf(j)]
	if !ok || q.Len() == 0 {
		return 0, ev.mustQueue(false)
	}
	cost := q.Ahead(j.Workspace, j.Rules.Share, ev.compute())
	return fairness.Wait(cost, w.router.Entries, len(ev.decision.Estimates)), ev.mustQueue(true)
}

// wait returns when the request may be sent; the caller calls the returned function once the request is sent.
//
// Servers that accept requests and answer none, or queues that grow faster than
// estimated, would hold a request until its caller disconnects. It is refused
// as soon as it can't meet its deadline any more.
func (w *waitQueues) wait(ctx context.Context, j *job, ev *evaluation, queueTime time.Duration) (sent func(), err error) {
	waiting, cancel := context.WithTimeout(ctx, j.remaining(w.router.Now())-seconds(ev.compute()))
	defer cancel()
	req := &queuedRequest{job: j, ctx: waiting, admitted: make(chan struct{}), done: make(chan struct{})}
	sent = sync.OnceFunc(func() { close(req.done) })
	if !w.push(req, ev.compute()) {
		return sent, w.refuse(j, ev, admission.QueueFull, queueTime)
	}
	event.RequestQueued.Write(w.router.Logger, log.Fields{"request": j.ID, "workspace": j.Workspace, "expected": queueTime.String()})
	select {
	case <-req.admitted:
		return sent, nil
	case <-waiting.Done():
		sent()
	}
	if ctx.Err() != nil {
		return sent, callerCancelled(nil)
	}
	return sent, w.refuse(j, ev, admission.DeadlineMissed, queueTime)
}

func (w *waitQueues) refuse(j *job, ev *evaluation, reason admission.Reason, queueTime time.Duration) error {
	r := w.router
	v := r.Admission.Refuse(reason, queueTime, r.Random)
	r.logRefused(j, ev.decision, v)
	return v.Err()
}

func (w *waitQueues) push(req *queuedRequest, cost float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := queueKeyOf(req.job)
	q, ok := w.byKey[k]
	if !ok {
		q = fairness.New[*queuedRequest](fairness.Config{})
		w.byKey[k] = q
	}
	return q.Push(fairness.Item[*queuedRequest]{Workspace: req.job.Workspace, Share: req.job.Rules.Share, Cost: cost, Value: req})
}

// run admits queued requests while the best server has capacity, until ctx ends.
func (w *waitQueues) run(ctx context.Context) {
	tick := time.NewTicker(admitInterval)
	defer tick.Stop()
	heads := make(map[queueKey]*queuedRequest)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, k := range w.keys() {
			heads[k] = w.admitNext(k, heads[k])
		}
	}
}

func (w *waitQueues) keys() []queueKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]queueKey, 0, len(w.byKey))
	for k := range w.byKey {
		all = append(all, k)
	}
	return all
}

// admitNext admits requests of one queue and returns the first one that still has to wait.
func (w *waitQueues) admitNext(k queueKey, head *queuedRequest) *queuedRequest {
	for {
		if head == nil || head.ctx.Err() != nil {
			var ok bool
			if head, ok = w.pop(k); !ok {
				return nil
			}
			continue
		}
		ev := w.router.evaluate(head.job)
		if !ev.found() || ev.mustQueue(false) {
			return head
		}
		close(head.admitted)
		// The next decision must count this request as work in flight.
		<-head.done
		head = nil
	}
}

func (w *waitQueues) pop(k queueKey) (*queuedRequest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i, ok := w.byKey[k].Pop()
	return i.Value, ok
}
