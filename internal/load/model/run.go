package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamwood/internal/load/workload"
	"hornbeamwood/internal/policy/placement"
	"hornbeamwood/internal/policy/route"
)

// run holds everything of one run.
type run struct {
	config     Config
	clock      *clock
	random     *rand.Rand
	directory  *directory
	engines    []*engine
	stores     []*store
	storeNames []string
	entries    []*entry
	everyone   []int
	services   []int
	seen       map[uint64]bool // pieces that were computed before
	requests   []*request
	marks      []linkMark
	wrong      int // answers made with a piece that the engine did not hold
}

// linkMark is a link's counters when the measured time began.
type linkMark struct {
	moved int64
	busy  time.Duration
}

// Run returns what was measured in one run.
func Run(c Config) Result {
	r := newRun(c)
	end := c.Warmup + c.Measured
	r.schedule(end)
	r.clock.runUntil(c.Warmup)
	r.mark()
	r.clock.runUntil(end)
	links := r.links()
	r.clock.runUntil(end + tail)
	return r.result(links)
}

// tail is the time that requests of the measured time have to end.
const tail = 3 * time.Minute

func newRun(c Config) *run {
	r := &run{config: c, clock: &clock{}, random: rand.New(rand.NewPCG(c.Seed, 1)), seen: map[uint64]bool{}}
	r.directory = newDirectory(r.clock, c.Profile, rand.New(rand.NewPCG(c.Seed, 2)))
	for i := range c.Deployment.Stores {
		r.storeNames = append(r.storeNames, fmt.Sprintf("store-%d", i))
		r.stores = append(r.stores, newStore(i, r.clock, c.Profile, func(key uint64, held bool, tier route.Tier) {
			r.directory.storeChanged(i, key, held, tier)
		}))
	}
	for i := range c.Deployment.Servers + c.Deployment.Reserve {
		r.engines = append(r.engines, r.newEngine(i))
		r.everyone = append(r.everyone, i)
		if i >= c.Deployment.Servers {
			r.services = append(r.services, i)
		}
	}
	for i := range c.Deployment.Entries {
		r.entries = append(r.entries, newEntry(i, r))
	}
	return r
}

func (r *run) newEngine(i int) *engine {
	e := &engine{
		index: i, identity: fmt.Sprintf("server-%02d", i), clock: r.clock, profile: r.config.Profile,
		tokens: r.config.Deployment.PieceTokens, stores: r.stores, decoding: map[*job]bool{},
	}
	e.changed = func(key uint64, held bool) { r.directory.engineChanged(i, key, held) }
	e.computed = func(key uint64) bool { before := r.seen[key]; r.seen[key] = true; return before }
	e.wrong = func() { r.wrong++ }
	e.memory = newLRU(r.config.Profile.EnginePieces, func(key uint64) { e.changed(key, false) })
	return e
}

// schedule starts everything that happens by time.
func (r *run) schedule(end time.Duration) {
	p := r.config.Profile
	for i := range r.engines {
		r.clock.after(p.ReportEvery*time.Duration(i)/time.Duration(len(r.engines)), func() {
			r.report(i)
			r.clock.every(p.ReportEvery, end+tail, func() { r.report(i) })
		})
		r.clock.every(p.ListEvery+time.Duration(i)*time.Millisecond, end+tail, func() { r.list(i) })
	}
	for i := range r.stores {
		r.reportStore(i)
		r.clock.every(p.ReportEvery/2, end+tail, func() { r.reportStore(i) })
	}
	for _, e := range r.entries {
		r.clock.every(turnEvery, end+tail, e.turns)
		r.clock.every(p.GossipEvery, end+tail, func() { e.gossip(r.config.Deployment.ZoneDelay) })
	}
	for _, f := range r.config.Failures {
		r.fail(f)
	}
	g := workload.New(workload.Config{
		Deployment: r.config.Deployment, Rate: r.config.Rate, Length: end, Seed: r.config.Seed,
	})
	r.next(g)
}

func (r *run) fail(f Failure) {
	a := failureActions[f.Kind]
	r.clock.at(r.config.Warmup+f.At, func() { a.begin(r, f) })
	if f.Until > 0 {
		r.clock.at(r.config.Warmup+f.Until, func() { a.end(r, f) })
	}
}

// next delivers the next arrival at its time.
func (r *run) next(g workload.Generator) {
	a, ok := g.Next()
	if !ok {
		return
	}
	r.clock.at(a.At, func() {
		q := &request{arrival: a, class: &r.config.Deployment.Classes[a.Class]}
		r.requests = append(r.requests, q)
		r.deliver(q)
		r.clock.at(a.At+a.Rules.Deadline, func() { r.expire(q) })
		r.next(g)
	})
}

// deliver brings a request to a random live entry, as the platform's balancer does.
func (r *run) deliver(q *request) {
	if q.outcome != open {
		return
	}
	e := r.entries[r.random.IntN(len(r.entries))]
	for e.dead {
		e = r.entries[r.random.IntN(len(r.entries))]
	}
	r.clock.after(r.config.Deployment.ClientDelay, func() { e.arrive(q) })
}

// expire ends a request that has no first token at its deadline.
func (r *run) expire(q *request) {
	if q.outcome != open {
		return
	}
	q.outcome = late
	if q.entry != nil {
		q.entry.giveUp(q)
	}
}

// able returns the engines that can run the request.
func (r *run) able(q *request) []int {
	if q.class.Service != "" {
		return r.services
	}
	return r.everyone
}

// extra returns the work of a request besides its pieces, in tokens.
func (r *run) extra(q *request) int {
	if q.class.Service != "" {
		return int(q.class.ServiceTime.Seconds() * r.config.Profile.PrefillRate)
	}
	return q.arrival.Tail
}

func (r *run) jobOf(q *request, d route.Decision) *job {
	return &job{
		priority: q.arrival.Rules.Priority,
		pieces:   q.arrival.Pieces,
		plan:     d.Plan,
		extra:    r.extra(q),
		answer:   q.arrival.Answer,
	}
}

// backTo runs f at e after the way back, unless e has died.
func (r *run) backTo(e *entry, f func()) {
	r.clock.after(r.config.Deployment.ZoneDelay, func() {
		if !e.dead {
			f()
		}
	})
}

// count notes what a first token took.
func (r *run) count(q *request, j *job) {
	q.recomputed = j.recomputed * r.config.Deployment.PieceTokens
	q.prompt = len(j.pieces)*r.config.Deployment.PieceTokens + q.arrival.Tail
}

func (r *run) report(i int) {
	e := r.engines[i]
	if e.dead {
		return
	}
	v := serverView{load: e.report(), reported: r.clock.now}
	lag := r.config.Profile.ReportLag
	for _, x := range r.entries {
		d := lag[0] + time.Duration(r.random.Int64N(int64(lag[1]-lag[0])))
		r.clock.after(d, func() { x.hear(i, v) })
	}
}

func (r *run) list(i int) {
	e := r.engines[i]
	if e.dead {
		r.directory.forgetEngine(i)
		return
	}
	keys := e.memory.keys()
	r.clock.after(r.config.Profile.EventLag, func() { r.directory.list(i, keys) })
}

func (r *run) reportStore(i int) {
	s := r.stores[i]
	v := storeView{
		rate: s.link.rate, queued: s.link.queued, diskRate: s.disk.rate, diskQueued: s.disk.queued,
		reported: r.clock.now, lost: s.dead,
	}
	for _, x := range r.entries {
		r.clock.after(r.config.Profile.ReportLag[0], func() { x.stores[i] = v })
	}
}

// killStore loses a store; its locations are forgotten once the loss is noticed.
func (r *run) killStore(i int) {
	r.stores[i].die()
	r.clock.after(lostAfter, func() {
		if placement.React(placement.StoreLost).ForgetCopies {
			r.directory.forgetStore(i)
		}
	})
}

func (r *run) killServers(f Failure) {
	for i := range f.Count {
		r.engines[f.Index+i].die()
	}
}

func (r *run) reviveServers(f Failure) {
	for i := range f.Count {
		r.engines[f.Index+i].dead = false
		r.engines[f.Index+i].stepping = false
	}
}

func (r *run) mark() {
	for _, s := range r.stores {
		r.marks = append(r.marks, linkMark{moved: s.link.moved, busy: s.link.busy})
	}
}
