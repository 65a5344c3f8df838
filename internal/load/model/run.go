package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamwood/internal/load/workload"
	"hornbeamwood/internal/policy/placement"
	"hornbeamwood/internal/policy/route"
)

// run is the state of one run.
type run struct {
	config         Config
	clock          *clock
	random         *rand.Rand
	directory      *directory
	engines        []*engine
	stores         []*store
	storeNames     []string
	entries        []*entry
	allEngines     []int
	serviceEngines []int
	computed       map[uint64]bool // pieces that were computed at least once
	requests       []*request
	linkBaselines  []linkCounters
	missingPieces  int // answers generated while the engine lacked a piece
}

// linkCounters are the counters of a link at the start of the measured time.
type linkCounters struct {
	transferred int64
	busy        time.Duration
}

// Run simulates one run and returns its result.
func Run(c Config) Result {
	r := newRun(c)
	end := c.Warmup + c.Measured
	r.schedule(end)
	r.clock.runUntil(c.Warmup)
	r.recordLinkBaselines()
	r.clock.runUntil(end)
	links := r.links()
	r.clock.runUntil(end + drainTime)
	return r.result(links)
}

// drainTime is the time after the measured time in which its requests can end.
const drainTime = 3 * time.Minute

func newRun(c Config) *run {
	r := &run{config: c, clock: &clock{}, random: rand.New(rand.NewPCG(c.Seed, 1)), computed: map[uint64]bool{}}
	r.directory = newDirectory(r.clock, c.Profile, rand.New(rand.NewPCG(c.Seed, 2)))
	for i := range c.Deployment.Stores {
		r.storeNames = append(r.storeNames, fmt.Sprintf("store-%d", i))
		r.stores = append(r.stores, newStore(i, r.clock, c.Profile, func(key uint64, held bool, tier route.Tier) {
			r.directory.storeChanged(i, key, held, tier)
		}))
	}
	for i := range c.Deployment.Servers + c.Deployment.Reserve {
		r.engines = append(r.engines, r.newEngine(i))
		r.allEngines = append(r.allEngines, i)
		if i >= c.Deployment.Servers {
			r.serviceEngines = append(r.serviceEngines, i)
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
	e.computed = func(key uint64) bool { before := r.computed[key]; r.computed[key] = true; return before }
	e.missingPiece = func() { r.missingPieces++ }
	e.memory = newLRU(r.config.Profile.EnginePieces, func(key uint64) { e.changed(key, false) })
	return e
}

// schedule schedules the periodic tasks, the failures and the first arrival.
func (r *run) schedule(end time.Duration) {
	p := r.config.Profile
	for i := range r.engines {
		r.clock.after(p.ReportEvery*time.Duration(i)/time.Duration(len(r.engines)), func() {
			r.report(i)
			r.clock.every(p.ReportEvery, end+drainTime, func() { r.report(i) })
		})
		r.clock.every(p.ListEvery+time.Duration(i)*time.Millisecond, end+drainTime, func() { r.list(i) })
	}
	for i := range r.stores {
		r.reportStore(i)
		r.clock.every(p.ReportEvery/2, end+drainTime, func() { r.reportStore(i) })
	}
	for _, e := range r.entries {
		r.clock.every(dispatchInterval, end+drainTime, e.dispatchAll)
		r.clock.every(p.GossipEvery, end+drainTime, func() { e.gossip(r.config.Deployment.ZoneDelay) })
	}
	for _, f := range r.config.Failures {
		r.fail(f)
	}
	g := workload.New(workload.Config{
		Deployment: r.config.Deployment, Rate: r.config.Rate, Length: end, Seed: r.config.Seed,
	})
	r.scheduleNext(g)
}

func (r *run) fail(f Failure) {
	a := failureActions[f.Kind]
	r.clock.at(r.config.Warmup+f.At, func() { a.begin(r, f) })
	if f.Until > 0 {
		r.clock.at(r.config.Warmup+f.Until, func() { a.end(r, f) })
	}
}

// scheduleNext takes the next arrival of g and delivers it at its time.
func (r *run) scheduleNext(g workload.Generator) {
	a, ok := g.Next()
	if !ok {
		return
	}
	r.clock.at(a.At, func() {
		q := &request{arrival: a, class: &r.config.Deployment.Classes[a.Class]}
		r.requests = append(r.requests, q)
		r.deliver(q)
		r.clock.at(a.At+a.Rules.Deadline, func() { r.expire(q) })
		r.scheduleNext(g)
	})
}

// deliver sends a request to a random running entry, as a load balancer of the platform does.
func (r *run) deliver(q *request) {
	if q.outcome != open {
		return
	}
	e := r.entries[r.random.IntN(len(r.entries))]
	for e.down {
		e = r.entries[r.random.IntN(len(r.entries))]
	}
	r.clock.after(r.config.Deployment.ClientDelay, func() { e.arrive(q) })
}

// expire ends a request without a first token at its deadline.
func (r *run) expire(q *request) {
	if q.outcome != open {
		return
	}
	q.outcome = expired
	if q.entry != nil {
		q.entry.cancel(q)
	}
}

// eligible returns the engines that can run the request.
func (r *run) eligible(q *request) []int {
	if q.class.Service != "" {
		return r.serviceEngines
	}
	return r.allEngines
}

// extra returns the work of a request in addition to its pieces, in tokens.
func (r *run) extra(q *request) int {
	if q.class.Service != "" {
		return int(q.class.ServiceTime.Seconds() * r.config.Profile.PrefillRate)
	}
	return q.arrival.Tail
}

func (r *run) newJob(q *request, d route.Decision) *job {
	return &job{
		priority:     q.arrival.Rules.Priority,
		pieces:       q.arrival.Pieces,
		plan:         d.Plan,
		extraTokens:  r.extra(q),
		answerTokens: q.arrival.Answer,
	}
}

// reply runs f at e after the network delay, unless e has crashed.
func (r *run) reply(e *entry, f func()) {
	r.clock.after(r.config.Deployment.ZoneDelay, func() {
		if !e.down {
			f()
		}
	})
}

// countTokens records the recomputed and total prompt tokens of a request.
func (r *run) countTokens(q *request, j *job) {
	q.recomputed = j.recomputed * r.config.Deployment.PieceTokens
	q.prompt = len(j.pieces)*r.config.Deployment.PieceTokens + q.arrival.Tail
}

func (r *run) report(i int) {
	e := r.engines[i]
	if e.down {
		return
	}
	v := serverView{load: e.report(), reportedAt: r.clock.now}
	lag := r.config.Profile.ReportLag
	for _, x := range r.entries {
		d := lag[0] + time.Duration(r.random.Int64N(int64(lag[1]-lag[0])))
		r.clock.after(d, func() { x.applyReport(i, v) })
	}
}

func (r *run) list(i int) {
	e := r.engines[i]
	if e.down {
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
		reportedAt: r.clock.now, lost: s.down,
	}
	for _, x := range r.entries {
		r.clock.after(r.config.Profile.ReportLag[0], func() { x.stores[i] = v })
	}
}

// crashStore crashes a store; its locations are discarded once the loss is detected.
func (r *run) crashStore(i int) {
	r.stores[i].crash()
	r.clock.after(storeTimeout, func() {
		if placement.React(placement.StoreLost).ForgetCopies {
			r.directory.forgetStore(i)
		}
	})
}

func (r *run) crashServers(f Failure) {
	for i := range f.Count {
		r.engines[f.Index+i].crash()
	}
}

func (r *run) restartServers(f Failure) {
	for i := range f.Count {
		r.engines[f.Index+i].down = false
		r.engines[f.Index+i].stepRunning = false
	}
}

func (r *run) recordLinkBaselines() {
	for _, s := range r.stores {
		r.linkBaselines = append(r.linkBaselines, linkCounters{transferred: s.link.transferred, busy: s.link.busy})
	}
}
