package weights

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/directory"
)

const (
	// atOnce is how many engines load weights at once at least, and atOnceShare
	// the part of a site's engines that do so where it has more. Beyond a fifth of
	// the engines the weight store makes all loads slower.
	atOnce      = 2
	atOnceShare = 0.19
	// mostAtOnce bounds the places for engines that are drained.
	mostAtOnce = 256
	// drainLeast is how long entries keep away from an engine before its order,
	// so that the running requests end while others load.
	drainLeast = 400 * time.Millisecond
	// drainMost is how long an order waits for them at most; the engine waits for the rest itself.
	drainMost = 1600 * time.Millisecond
	// finishedBy is the part of the time within which engines must have named
	// weights that a roll-out takes when draining is cut short for it; the rest is
	// for engines that fail and for the next giver of orders.
	finishedBy = 0.6
	// askAgainAfter is how long an engine is left alone that couldn't be asked.
	askAgainAfter = time.Second
	// placePause is the time between two looks for a place to load.
	placePause = 20 * time.Millisecond
	// lookInterval is the time between two questions to an engine that is drained or loads.
	lookInterval = 200 * time.Millisecond
	// callTimeout bounds one call to an engine.
	callTimeout = time.Second
	// loadMost is how long an engine may take until the order is looked into anew.
	loadMost = 12 * time.Second
	// tick is the time between two looks for engines with older weights.
	tick = 100 * time.Millisecond
)

// Site is what a Rollout knows and tells.
type Site interface {
	// TargetVersions returns the named version of each model.
	TargetVersions() map[string]int64
	// Engines returns the ready servers that have models.
	Engines() []directory.Server
	// Holder returns the name and the fencing number under which orders are given, and false while none may be.
	Holder() (name string, fencing uint64, ok bool)
	// ObserveFencing tells that a higher fencing number has been seen.
	ObserveFencing(fencing uint64)
	// SetBusy tells entries whether an engine takes no requests.
	SetBusy(server string, busy bool)
	// ReportLoaded tells entries which weights an engine has now.
	ReportLoaded(s directory.Server, model string, version int64)
	// Version returns the newest version of the model that the engine is known to have.
	Version(s directory.Server, model string) int64
}

// Config is what a Rollout needs.
type Config struct {
	// Client speaks to engines.
	Client Client
	// Site is what is known.
	Site Site
	// Deadline is how long after they were named all engines must have weights; zero for no bound.
	Deadline time.Duration
	// Logger takes the events.
	Logger log.Interface
}

// Rollout brings engines to the named versions while this process holds the lease.
type Rollout interface {
	// Run works until ctx ends.
	Run(ctx context.Context)
}

type rollout struct {
	Config
	// draining holds a place for each engine that is drained.
	draining chan struct{}
	mu       sync.Mutex
	underWay map[string]bool
	// began is when each engine that loads began to.
	began map[string]time.Time
	// failed is when each engine last couldn't be asked.
	failed map[string]time.Time
	// noticed is when this process saw the present version of each model.
	noticed map[string]notice
	pace    pace
	ended   sync.WaitGroup
}

// notice is a named version with when this process saw it.
type notice struct {
	version int64
	at      time.Time
}

// New returns a Rollout.
func New(c Config) Rollout {
	return &rollout{
		Config: c, underWay: map[string]bool{}, began: map[string]time.Time{},
		failed: map[string]time.Time{}, noticed: map[string]notice{}, pace: newPace(),
		draining: make(chan struct{}, mostAtOnce),
	}
}

// Run implements Rollout.
func (r *rollout) Run(ctx context.Context) {
	defer r.ended.Wait()
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.look(ctx)
		}
	}
}

// due is an engine that is to load.
type due struct {
	server  directory.Server
	model   string
	version int64
	// has is the version that it has.
	has int64
}

// look begins with engines that have older weights than named, as places are free.
func (r *rollout) look(ctx context.Context) {
	r.notice()
	if _, _, ok := r.Site.Holder(); !ok {
		return
	}
	most := max(atOnce, int(atOnceShare*float64(len(r.Site.Engines()))))
	all := r.order()
	for _, d := range all {
		drain := r.drainTime(d.model, len(all), most)
		if len(r.draining) >= most || r.early(most, drain) {
			return
		}
		r.draining <- struct{}{}
		r.set(d.server.ID, true)
		r.ended.Go(func() {
			defer r.set(d.server.ID, false)
			r.bring(ctx, d, drain, most)
		})
	}
}

// notice notes which versions are named and since when, also while another process gives the orders.
func (r *rollout) notice() {
	for model, version := range r.Site.TargetVersions() {
		if r.noticed[model].version != version {
			r.noticed[model] = notice{version, time.Now()}
		}
	}
}

// order returns the engines that are to load, those with the oldest weights first.
//
// A version may be named before the one before it is everywhere. An engine that
// has that one already can wait; the requests of one that is two versions behind
// have been answered from old weights for longest.
func (r *rollout) order() []due {
	named := r.Site.TargetVersions()
	var all []due
	for _, s := range r.Site.Engines() {
		if d, ok := r.behind(s, named); ok && r.free(s.ID) {
			all = append(all, d)
		}
	}
	slices.SortStableFunc(all, func(a, b due) int { return cmp.Compare(b.version-b.has, a.version-a.has) })
	return all
}

// behind returns the first model of which the engine has an older version than the named one.
func (r *rollout) behind(s directory.Server, named map[string]int64) (due, bool) {
	for _, w := range s.Models {
		has := r.Site.Version(s, w.Model)
		if v := named[w.Model]; v > has {
			return due{server: s, model: w.Model, version: v, has: has}, true
		}
	}
	return due{}, false
}

// free returns whether the engine can be brought to other weights now. One that
// has crashed would keep a place from those that work again and again.
func (r *rollout) free(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.underWay[id] && time.Since(r.failed[id]) >= askAgainAfter
}

// fail notes that the engine couldn't be asked.
func (r *rollout) fail(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[id] = time.Now()
}

func (r *rollout) set(id string, working bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if working {
		r.underWay[id] = true
		return
	}
	delete(r.underWay, id)
}

// bring drains an engine and has it load; it holds a place in each phase.
func (r *rollout) bring(ctx context.Context, d due, drain time.Duration, most int) {
	s := d.server
	r.Site.SetBusy(s.ID, true)
	defer r.Site.SetBusy(s.ID, false)
	if !r.drain(ctx, s, drain) {
		<-r.draining
		return
	}
	for !r.takePlace(s.ID, most) {
		if ctx.Err() != nil {
			<-r.draining
			return
		}
		wait.For(ctx, placePause)
	}
	<-r.draining
	defer r.leavePlace(s.ID)
	r.load(ctx, s, d.model, d.version)
}

// takePlace returns whether the engine may load now.
func (r *rollout) takePlace(id string, most int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.began) >= most {
		return false
	}
	r.began[id] = time.Now()
	return true
}

func (r *rollout) leavePlace(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.began, id)
}

func (r *rollout) notAsked(s directory.Server, err error) {
	r.fail(s.ID)
	event.EngineNotAsked.Write(r.Logger, log.Fields{"server": s.ID, "error": err.Error()})
}

func (r *rollout) report(ctx context.Context, s directory.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Client.Report(ctx, s)
}

// load gives the order, again if need be, and returns once the engine has the weights or can't be brought to them now.
//
// The order names the sequence that was read right before. One that got no
// answer is given again only after another look: if the engine has accepted it
// meanwhile the sequence has moved, and the second one counts for nothing.
func (r *rollout) load(ctx context.Context, s directory.Server, model string, version int64) {
	began := time.Now()
	for ctx.Err() == nil && time.Since(began) < loadMost {
		p, err := r.report(ctx, s)
		switch {
		case err != nil:
			r.notAsked(s, err)
			return
		case p.Versions[model] >= version && !p.Busy:
			r.learn(time.Since(began))
			r.Site.ReportLoaded(s, model, p.Versions[model])
			return
		case !p.Busy && !r.give(ctx, s, Order{Model: model, Version: version, Sequence: p.Sequence}):
			return
		}
		wait.For(ctx, lookInterval)
	}
}

// give gives one order and returns whether it makes sense to go on.
func (r *rollout) give(ctx context.Context, s directory.Server, o Order) bool {
	holder, fencing, ok := r.Site.Holder()
	if !ok {
		return false
	}
	o.Holder, o.Fencing = holder, fencing
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got, err := r.Client.Order(ctx, s, o)
	f := log.Fields{"server": s.ID, "model": o.Model, "version": o.Version, "fencing": fencing, "sequence": o.Sequence, "outcome": got.String()}
	if err != nil {
		f["error"] = err.Error()
	}
	event.WeightsOrdered.Write(r.Logger, f)
	if got == Fenced {
		r.Site.ObserveFencing(fencing)
	}
	return got == Accepted || got == AlreadyLoaded || got == Conflict || got == Unanswered
}
