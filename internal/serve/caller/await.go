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
	// expectedFirst is how long an engine takes to the first event of a prompt that has most of its parts.
	expectedFirst = 250 * time.Millisecond
	// storesShare is the part of the time until a caller leaves for which a long prompt
	// waits for the stores in a process that has just started: an election, a lease,
	// the stores' lists and their way to all entries take seconds. The rest is for
	// the prompts that wait with it and go out at the same moment.
	storesShare = 0.75
	// smallShare is the part of an engine's memory up to which a request takes room
	// without waiting for its turn: several of them at once don't fill an engine.
	smallShare = 1.0 / 16
	// returnSpread is the part of the time until there is room by which callers
	// that are refused together return apart.
	returnSpread = 0.5
)

// Reasons of refusals.
const (
	noServer   = "no-server"
	overloaded = "overloaded"
)

// awaitEngine waits in line until an engine has room for the request.
//
// A request that is sent to a full engine pushes out the parts that others are
// about to use, and waits behind all that came before. Here it waits in an order
// that can still be changed, and goes to whichever engine has room first.
func (j *job) awaitEngine(ctx context.Context, e document.Engine) (choice, bool) {
	if j.longest() >= longPart {
		j.awaitStores(ctx)
	}
	c, ok := j.chooseEngine(e)
	if ok && c.fits && j.turn(e, c, j.PeerLoads.PropagationDelay()) || !ok && !j.engineComes() {
		j.Queue.RecordImmediate(j.ask())
		return c, ok
	}
	w := j.Queue.Enter(j.ask())
	c, ok = j.wait(ctx, e, w)
	j.Queue.Leave(w, ok)
	return c, ok
}

// wait waits until there is room, or there won't be any in time.
//
// A request that can't be served is refused while its caller can still do
// something else with the time; held until it is too late, it would take the room
// of others at the last moment and bring nobody anything.
func (j *job) wait(ctx context.Context, e document.Engine, w *waitqueue.Waiter) (choice, bool) {
	rest, looked := waitqueue.RecheckInterval, time.Now()
	for {
		f := j.Queue.Forecast(w)
		if f.Unservable {
			j.refusal, j.clear = overloaded, f.ClearAfter
			return choice{}, false
		}
		why := j.Queue.Wait(ctx, w, rest)
		if why == waitqueue.ContextDone {
			return choice{}, false
		}
		if why == waitqueue.Recheck && rest != waitqueue.AdmitBackoff {
			continue
		}
		c, ok := j.chooseEngine(e)
		rest = waitqueue.RecheckInterval
		since := time.Since(looked)
		looked = looked.Add(since)
		switch {
		case ok && c.fits && !j.turn(e, c, since):
			rest = waitqueue.AdmitBackoff
		case ok && c.fits:
			c.fields["waited-ms"] = time.Since(j.arrived).Milliseconds()
			return c, true
		case !ok && !j.engineComes():
			return c, false
		}
	}
}

// turn returns whether the request takes room that other entries see too, when it last looked that long ago.
func (j *job) turn(e document.Engine, c choice, since time.Duration) bool {
	if float64(j.room()) <= smallShare*float64(e.CapacityTokens) {
		return true
	}
	now, wanted := time.Now(), 0
	own := j.Queue.WaitingTokens()
	for u := range j.urgency() + 1 {
		wanted += own[u] + j.PeerLoads.Load(share.QueueKey(u), now).ReservedTokens
	}
	return waitqueue.Admit(c.free, wanted, since, j.PeerLoads.PropagationDelay(), fraction())
}

// ask returns what the request waits for.
func (j *job) ask() waitqueue.Item {
	last := j.deadline
	if j.route.Silence > 0 {
		last = wait.Earlier(last, j.arrived.Add(j.route.Silence))
	}
	return waitqueue.Item{
		Rank:   waitqueue.Rank{TargetTime: j.arrived.Add(j.route.LatencyTarget - min(expectedFirst, j.route.LatencyTarget/2)), Urgency: j.urgency()},
		Tokens: j.room(),
		SendBy: last.Add(-expectedFirst),
	}
}

// room returns how many tokens of an engine's memory the request takes.
func (j *job) room() int {
	return j.request.Prompt.Tokens + j.request.Prompt.Output
}

// longest returns the size of the longest shared part.
func (j *job) longest() int {
	most := 0
	for i, p := range j.request.Prompt.Parts {
		if i < len(j.request.Prompt.Parts)-1 {
			most = max(most, p.Tokens)
		}
	}
	return most
}

// awaitStores lets a long prompt wait for what lies in the stores, in a process
// that has just started.
//
// After a loss of power all entries come back knowing nothing. Each prompt of
// the first seconds would have its engine read again what lies in a store;
// the engines are behind for seconds then. Such a prompt is late by the time that
// the stores are known, so that it loses nothing by waiting for as long as its
// caller does, and those that come after it find engines that are free.
func (j *job) awaitStores(ctx context.Context) {
	last := j.ask().SendBy
	ctx, cancel := context.WithTimeout(ctx, time.Duration(storesShare*float64(time.Until(last))))
	defer cancel()
	j.Site.AwaitStores(ctx)
}
