package limit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

const (
	// simulatedContact is how long after the first announcement servers begin to fall over, and downTime for how long
	// they do.
	simulatedContact = 4 * time.Second
	downTime         = 3 * time.Second
	// loadStep is when the load rises.
	loadStep = 6 * time.Second
	// simulatedEnd is the length of a simulation.
	simulatedEnd = 14 * time.Second
	// calmTime is how long the servers are used before they say that they are brittle.
	calmTime = 3 * time.Second
	// minCallerTime is the time that a caller has, callerFactor that as a multiple of the work time.
	minCallerTime, callerFactor = 1500 * time.Millisecond, 5
	// maxRetries is how often a caller tries again.
	maxRetries = 2
	// maxTries is how many servers an entry tries, ejection how long it leaves out one that refused a connection.
	maxTries = 4
	ejection = time.Second
	// enterPoll is how often a request that waits for the end of another one looks.
	enterPoll = time.Millisecond
)

// brittleCase is a service whose servers fall over, and its load.
type brittleCase struct {
	entries, servers, slots int
	// room is how many requests wait at a server at most, shrunk what remains of it.
	room, shrunk int
	work         time.Duration
	// transit is the mean time for which a request or a response is on its way.
	transit   time.Duration
	tolerated float64
	// before and after are the loads before and after the step, as shares of the capacity.
	before, after float64
	// silent is set if servers do not tell their load, unnoticed if they do not say that they are brittle.
	silent, unnoticed bool
}

func (c brittleCase) String() string {
	text := fmt.Sprintf("%d entries, %d servers of %d slots for %s with room for %d, then %d; %.0f tolerated; load %.1f, then %.1f; silent %t",
		c.entries, c.servers, c.slots, c.work, c.room, c.shrunk, c.tolerated, c.before, c.after, c.silent)
	if c.transit > 0 {
		text += fmt.Sprintf("; %s on the way", c.transit)
	}
	return text
}

// simulatedCall is a caller's request.
type simulatedCall struct {
	arrived time.Duration
	// retries counts the caller's retries, tries the servers that its entry has sent it to since.
	retries, tries int
	entry          int
	sent           time.Duration
	// reservedAt is when its entry last reserved it at a server.
	reservedAt time.Time
}

type simulatedServer struct {
	id               string
	index            int
	running, waiting int
	queue            []*simulatedCall
	rejections       []time.Duration
	downUntil        time.Duration
	falls            int
	// start counts the starts of the server.
	start int
}

type simulatedEvent struct {
	at  time.Duration
	run func()
}

type simulatedEvents []simulatedEvent

func (e simulatedEvents) Len() int           { return len(e) }
func (e simulatedEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simulatedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simulatedEvents) Push(x any)        { *e = append(*e, x.(simulatedEvent)) }
func (e *simulatedEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulatedEntry is what an entry knows of each server: the last load that it told, and its own requests.
type simulatedEntry struct {
	limits   Limits
	load     []float64
	inFlight []int
	// ejected is until when each server gets nothing since it refused a connection.
	ejected []time.Duration
	// weight is the entry's share of the callers.
	weight float64
}

// brittleWorld simulates entries and brittle servers in virtual time.
type brittleWorld struct {
	brittleCase
	random  *rand.Rand
	now     time.Duration
	events  simulatedEvents
	servers []*simulatedServer
	entries []*simulatedEntry
	weights float64
	// offered and served count callers since the step.
	offered, served, rejected int
}

func newBrittleWorld(c brittleCase, seed uint64) *brittleWorld {
	w := &brittleWorld{brittleCase: c, random: rand.New(rand.NewPCG(seed, 7))}
	for i := range c.servers {
		w.servers = append(w.servers, &simulatedServer{id: fmt.Sprint("s", i), index: i})
	}
	for range c.entries {
		l := New(Config{Random: w.random.Float64, Logger: &log.Logger{Handler: discard.New()}})
		l.SetEntries(c.entries)
		e := &simulatedEntry{limits: l, load: make([]float64, c.servers), inFlight: make([]int, c.servers), ejected: make([]time.Duration, c.servers), weight: 0.3 + w.random.ExpFloat64()}
		w.weights += e.weight
		w.entries = append(w.entries, e)
	}
	return w
}

func (w *brittleWorld) after(d time.Duration, run func()) {
	heap.Push(&w.events, simulatedEvent{w.now + d, run})
}

func (w *brittleWorld) time() time.Time { return start.Add(w.now) }

func (w *brittleWorld) callerTime() time.Duration { return max(minCallerTime, callerFactor*w.work) }

func (w *brittleWorld) breaking() bool { return w.now > calmTime+simulatedContact }

// randomEntry returns an entry; some get several times as many callers as others.
func (w *brittleWorld) randomEntry() int {
	x := w.random.Float64() * w.weights
	for i, e := range w.entries {
		if x -= e.weight; x < 0 {
			return i
		}
	}
	return 0
}

// arrive lets callers arrive at random.
func (w *brittleWorld) arrive() {
	share := w.before
	if w.now > calmTime+loadStep {
		share = w.brittleCase.after
		w.offered++
	}
	w.try(&simulatedCall{arrived: w.now, entry: w.randomEntry()})
	perSecond := share * float64(w.brittleCase.servers*w.slots) / w.work.Seconds()
	w.after(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), w.arrive)
}

// try lets the caller's entry choose the least loaded server that may get the request.
func (w *brittleWorld) try(c *simulatedCall) {
	e, now := w.entries[c.entry], w.time()
	best, least, soonest, wait := -1, math.Inf(1), -1, time.Duration(math.MaxInt64)
	for _, i := range w.random.Perm(len(w.servers)) {
		e.limits.ExpectBrittle("service", w.servers[i].id, now)
		if x := e.limits.Wait(w.servers[i].id, now); x > 0 {
			if x < wait {
				soonest, wait = i, x
			}
			continue
		}
		if w.now < e.ejected[i] {
			continue
		}
		if x := e.load[i] + float64(e.inFlight[i])/float64(w.slots); x < least {
			best, least = i, x
		}
	}
	if best < 0 && soonest < 0 {
		w.retry(c)
		return
	}
	if best < 0 {
		w.await(c, soonest)
		return
	}
	c.reservedAt = now
	if _, ok := e.limits.Reserve(w.servers[best].id, 0, now); !ok {
		w.retry(c)
		return
	}
	w.send(c, best)
}

// await lets the request wait at its entry for the server that takes one first.
func (w *brittleWorld) await(c *simulatedCall, server int) {
	e, left := w.entries[c.entry], w.callerTime()-(w.now-c.arrived)
	c.reservedAt = w.time()
	d, ok := e.limits.Reserve(w.servers[server].id, left/2, c.reservedAt)
	if !ok {
		w.retry(c)
		return
	}
	w.after(d, func() {
		if e.limits.Paused(w.servers[server].id, w.time()) {
			e.limits.Release(w.servers[server].id, c.reservedAt, w.time())
			w.try(c)
			return
		}
		w.send(c, server)
	})
}

// send waits until the request may be in flight.
func (w *brittleWorld) send(c *simulatedCall, server int) {
	l, id := w.entries[c.entry].limits.(*limits), w.servers[server].id
	e := l.enter(id, w.time())
	if e == nil {
		w.sendNow(c, server)
		return
	}
	w.awaitEntry(c, server, e, w.now+maxEnterWait)
}

// awaitEntry waits until the request is admitted.
func (w *brittleWorld) awaitEntry(c *simulatedCall, server int, e *entrant, end time.Duration) {
	w.after(enterPoll, func() {
		l, id := w.entries[c.entry].limits.(*limits), w.servers[server].id
		select {
		case <-e.admitted:
			w.sendNow(c, server)
			return
		default:
		}
		switch {
		case w.now < end:
			w.awaitEntry(c, server, e, end)
		case l.withdraw(id, e):
			w.sendNow(c, server)
		default:
			l.Release(id, c.reservedAt, w.time())
			w.try(c)
		}
	})
}

// leave ends a request in flight.
func (w *brittleWorld) leave(c *simulatedCall, server int) {
	w.entries[c.entry].limits.Leave(w.servers[server].id, w.time())
}

// tryAgain tries another server for a request that was not run.
func (w *brittleWorld) tryAgain(c *simulatedCall) {
	if c.tries >= maxTries {
		w.retry(c)
		return
	}
	w.try(c)
}

// retry lets the caller try again at another entry; one in four does so at once.
func (w *brittleWorld) retry(c *simulatedCall) {
	if c.retries++; c.retries > maxRetries {
		return
	}
	c.entry, c.tries = w.randomEntry(), 0
	d := time.Duration(0)
	if w.random.IntN(4) > 0 {
		d = 250*time.Millisecond + time.Duration(w.random.Float64()*float64(250*time.Millisecond))
	}
	w.after(d, func() { w.try(c) })
}

func (w *brittleWorld) sendNow(c *simulatedCall, server int) {
	x, e := w.servers[server], w.entries[c.entry]
	c.sent = w.now
	c.tries++
	if w.now < x.downUntil {
		e.ejected[server] = w.now + ejection
		w.leave(c, server)
		w.tryAgain(c)
		return
	}
	e.inFlight[server]++
	w.afterTransit(func() { w.arriveAt(x, c, server) })
}

// afterTransit runs what happens when a request or a response has arrived.
func (w *brittleWorld) afterTransit(run func()) {
	if w.transit == 0 {
		run()
		return
	}
	w.after(time.Duration(w.random.ExpFloat64()*float64(w.transit)), run)
}

// simulate returns how often servers fell over and the share of callers that were served after the step.
func (w *brittleWorld) simulate() (falls int, served float64) {
	w.after(0, w.arrive)
	for w.now < calmTime+simulatedEnd {
		e := heap.Pop(&w.events).(simulatedEvent)
		w.now = e.at
		e.run()
	}
	for _, x := range w.servers {
		falls += x.falls
	}
	return falls, float64(w.served) / float64(max(1, w.offered))
}
