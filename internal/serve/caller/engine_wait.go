package caller

import (
	"context"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/serve/waitqueue"
	"hornbeamwood/internal/site/document"
)

const (
	// expectedFirstEvent is the expected time from sending a prompt to its first event at an
	// engine that has most of its parts.
	expectedFirstEvent = 250 * time.Millisecond
	// storeWaitShare is the share of the time until a caller times out for which a long prompt
	// waits for the stores in a process that has just started. An election, a lease, the stores'
	// inventories and their propagation to all entries take seconds. The rest is for the prompts
	// that wait with it and are sent at the same moment.
	storeWaitShare = 0.75
	// smallRequestShare is the share of an engine's memory up to which a request takes capacity
	// without waiting for admission, because several such requests at once do not fill an engine.
	smallRequestShare = 1.0 / 16
	// retrySpread is the share of the time until capacity is expected over which the retries of
	// callers that are refused together are spread.
	retrySpread = 0.5
)

// Reasons of refusals.
const (
	noServer   = "no-server"
	overloaded = "overloaded"
	evacuated  = "zones-evacuated"
)

// awaitEngine waits in the queue until an engine has capacity for the request.
//
// A request that is sent to a full engine evicts parts that others are about to use, and waits
// behind all earlier requests there. In the entry's queue the order can still change, and the
// request goes to whichever engine has capacity first.
func (j *job) awaitEngine(ctx context.Context, e document.Engine) (choice, bool) {
	if j.longestShared() >= longPartTokens {
		j.awaitStores(ctx)
	}
	c, ok := j.chooseEngine(e)
	if ok && c.fits && j.admitted(e, c, j.PeerLoads.PropagationDelay()) || !ok && !j.engineExpected() {
		j.Queue.RecordImmediate(j.queueItem())
		return c, ok
	}
	if !ok && j.refuseUnservable() {
		return c, false
	}
	w := j.Queue.Enter(j.queueItem())
	delay := waitqueue.RecheckInterval
	if !ok {
		// An engine may have become available right before the queue could tell.
		delay = waitqueue.AdmitBackoff
	}
	c, ok = j.waitInQueue(ctx, e, w, delay)
	j.Queue.Leave(w, ok)
	return c, ok
}

// waitInQueue waits until there is capacity, or until there will be none in time. It tries again after delay if that
// is waitqueue.AdmitBackoff, and otherwise when capacity may have been freed.
//
// A request that cannot be served is refused while its caller can still use the time for
// something else. If it were held until too late, it would take the capacity of others at the
// last moment without reaching its own caller in time.
func (j *job) waitInQueue(ctx context.Context, e document.Engine, w *waitqueue.Waiter, delay time.Duration) (choice, bool) {
	lastAttempt := time.Now()
	for {
		f := j.Queue.Forecast(w)
		if f.Unservable {
			j.refusal, j.clearAfter = overloaded, f.ClearAfter
			return choice{}, false
		}
		reason := j.Queue.Wait(ctx, w, delay)
		if reason == waitqueue.ContextDone || j.quarantined() {
			return choice{}, false
		}
		if reason == waitqueue.Recheck && delay != waitqueue.AdmitBackoff {
			continue
		}
		c, ok := j.chooseEngine(e)
		delay = waitqueue.RecheckInterval
		since := time.Since(lastAttempt)
		lastAttempt = lastAttempt.Add(since)
		switch {
		case ok && c.fits && !j.admitted(e, c, since):
			delay = waitqueue.AdmitBackoff
		case ok && c.fits:
			c.fields["waited-ms"] = time.Since(j.arrived).Milliseconds()
			return c, true
		case !ok && (!j.engineExpected() || j.refuseUnservable()):
			return c, false
		}
	}
}

// refuseUnservable returns whether no engine may get the request in time for its caller, because all
// are in backoff or have limits, and then sets the refusal.
func (j *job) refuseUnservable() bool {
	now := time.Now()
	for s := range j.untried() {
		if j.Site.Busy(s.ID) || j.outdated(j.Site.Version(s, j.request.Prompt.Model)) {
			return false
		}
	}
	_, soonest, ok := j.soonest(now)
	if !ok || !now.Add(soonest).After(j.queueItem().SendBy) {
		return false
	}
	j.refusal, j.clearAfter = limitReached, soonest
	return true
}

// admitted returns whether the request takes capacity that other entries see too. since is the
// time since its last attempt.
func (j *job) admitted(e document.Engine, c choice, since time.Duration) bool {
	if float64(j.neededTokens()) <= smallRequestShare*float64(e.CapacityTokens) {
		return true
	}
	now, wanted := time.Now(), 0
	own := j.Queue.WaitingTokens()
	for u := range j.urgency() + 1 {
		wanted += own[u] + j.PeerLoads.Load(share.QueueKey(u), now).ReservedTokens
	}
	// Requests that may go to any server take only a part of the capacity of those where this one may run.
	return waitqueue.Admit(c.free, int(j.serverShare()*float64(wanted)), since, j.PeerLoads.PropagationDelay(), randomFraction())
}

// queueItem returns the queue item of the request.
func (j *job) queueItem() waitqueue.Item {
	last := j.deadline
	if j.route.CallerEventTimeout > 0 {
		since := j.arrived
		if j.streamed.started {
			since = j.streamed.lastAt
		}
		last = wait.Earlier(last, since.Add(j.route.CallerEventTimeout))
	}
	item := waitqueue.Item{
		Rank:   waitqueue.Rank{TargetTime: j.arrived.Add(j.route.LatencyTarget - min(expectedFirstEvent, j.route.LatencyTarget/2)), Urgency: j.urgency()},
		Tokens: j.neededTokens(),
		SendBy: last.Add(-expectedFirstEvent),
	}
	if j.begun != nil {
		item.Engines = waitqueue.Engines{Group: j.begun.origin.Software, Share: j.serverShare()}
	}
	return item
}

// neededTokens returns how many tokens of an engine's memory the request needs.
func (j *job) neededTokens() int {
	return j.request.Prompt.Tokens + j.request.Prompt.Output
}

// longestShared returns the size of the longest shared part.
func (j *job) longestShared() int {
	most := 0
	for i, p := range j.request.Prompt.Parts {
		if i < len(j.request.Prompt.Parts)-1 {
			most = max(most, p.Tokens)
		}
	}
	return most
}

// awaitStores lets a long prompt wait for the stores' inventories in a process that has just
// started.
//
// After a power loss all entries restart without any state. Each prompt of the first seconds
// would be prefilled again although its parts are in a store, and the engines would fall
// behind for seconds. Such a prompt is past its target by the time the inventories are known,
// so it loses nothing by waiting within its caller's timeout, and later prompts find idle
// engines.
func (j *job) awaitStores(ctx context.Context) {
	last := j.queueItem().SendBy
	ctx, cancel := context.WithTimeout(ctx, time.Duration(storeWaitShare*float64(time.Until(last))))
	defer cancel()
	j.Site.AwaitStores(ctx)
}
