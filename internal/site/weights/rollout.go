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
	// minConcurrent is the number of engines that may load weights concurrently on a small site.
	// On larger sites the limit is concurrentShare of the engines: beyond a fifth of
	// the engines, the weight store slows down all loads.
	minConcurrent   = 2
	concurrentShare = 0.19
	// maxDraining bounds the number of engines that are drained.
	maxDraining = 256
	// minDrain is how long entries send an engine no requests before its order at least,
	// so that its running requests end while other engines load.
	minDrain = 400 * time.Millisecond
	// maxDrain is how long an order waits for these requests at most; the engine itself waits for the rest.
	maxDrain = 1600 * time.Millisecond
	// finishShare is the share of the deadline that a rollout uses when drains are shortened
	// for it. The rest is reserved for engines that fail and for a change of the lease holder.
	finishShare = 0.6
	// unreachableBackoff is how long an engine is skipped after a call to it has failed.
	unreachableBackoff = time.Second
	// slotInterval is the time between two attempts to acquire a load slot.
	slotInterval = 20 * time.Millisecond
	// pollInterval is the time between two polls of an engine that is drained or loads.
	pollInterval = 200 * time.Millisecond
	// callTimeout bounds one call to an engine.
	callTimeout = time.Second
	// loadTimeout is how long a load may take until the engine is considered again by a later scan.
	loadTimeout = 12 * time.Second
	// scanInterval is the time between two scans for engines with outdated weights.
	scanInterval = 100 * time.Millisecond
	// startDelay is how much later than planned an engine is ready to load at most: its drain starts at a
	// scan, and its end is seen at a poll.
	startDelay = scanInterval + pollInterval
)

// Site gives a Rollout the state of the site and takes its updates.
type Site interface {
	// TargetVersions returns the target version of each model.
	TargetVersions() map[string]int64
	// Engines returns the ready servers that have models.
	Engines() []directory.Server
	// MayOrder returns whether orders may be sent now.
	MayOrder() bool
	// Permit returns the permit of one order, valid for the given time at most, and false while none may be sent.
	Permit(most time.Duration) (Permit, bool)
	// ObserveFencing reports that an engine has seen a higher fencing number than the given one.
	ObserveFencing(fencing uint64)
	// SetBusy reports to entries whether an engine takes no requests.
	SetBusy(server string, busy bool)
	// ReportLoaded reports to entries which weights an engine has now.
	ReportLoaded(s directory.Server, model string, version int64)
	// Version returns the newest version of the model that the engine is known to have.
	Version(s directory.Server, model string) int64
}

// Config configures a Rollout.
type Config struct {
	// Client calls engines.
	Client Client
	// Site is the site.
	Site Site
	// Deadline is how long after a target version was set all engines must have loaded it; zero for no bound.
	Deadline time.Duration
	// Logger takes the events.
	Logger log.Interface
}

// Rollout has engines load the target versions while this process holds the lease.
type Rollout interface {
	// Run runs until ctx ends.
	Run(ctx context.Context)
}

type rollout struct {
	Config
	// draining holds an element for each engine that is drained.
	draining chan struct{}
	mu       sync.Mutex
	updating map[string]bool
	// loadStarted is when each engine that is loading started to.
	loadStarted map[string]time.Time
	// unreachableAt is when a call to each engine last failed.
	unreachableAt map[string]time.Time
	// targets are the target versions and when this process first saw them, by model.
	targets      map[string]target
	loadEstimate loadEstimate
	// drainEstimate estimates how long drains take until the engine is idle.
	drainEstimate drainEstimate
	ended         sync.WaitGroup
}

// target is a target version and when this process first saw it.
type target struct {
	version int64
	at      time.Time
}

// New returns a Rollout.
func New(c Config) Rollout {
	return &rollout{
		Config: c, updating: map[string]bool{}, loadStarted: map[string]time.Time{},
		unreachableAt: map[string]time.Time{}, targets: map[string]target{}, loadEstimate: newLoadEstimate(),
		draining: make(chan struct{}, maxDraining),
	}
}

// Run implements Rollout.
func (r *rollout) Run(ctx context.Context) {
	defer r.ended.Wait()
	t := time.NewTicker(scanInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.scan(ctx)
		}
	}
}

// outdatedEngine is an engine that has an older version than the target.
type outdatedEngine struct {
	server  directory.Server
	model   string
	version int64
	// current is the version that the engine has.
	current int64
}

// scan starts updates of outdated engines while there are free slots.
func (r *rollout) scan(ctx context.Context) {
	r.recordTargets()
	if !r.Site.MayOrder() {
		return
	}
	limit := max(minConcurrent, int(concurrentShare*float64(len(r.Site.Engines()))))
	all := r.outdatedEngines()
	for _, d := range all {
		drain := r.drainTime(d.model, len(all), limit)
		if len(r.draining) >= limit || r.tooEarly(limit, drain) {
			return
		}
		r.draining <- struct{}{}
		r.setUpdating(d.server.ID, true)
		r.ended.Go(func() {
			defer r.setUpdating(d.server.ID, false)
			r.update(ctx, d, drain, limit)
		})
	}
}

// recordTargets records new target versions and when they were first seen. It also does so while another process holds the lease.
func (r *rollout) recordTargets() {
	for model, version := range r.Site.TargetVersions() {
		if r.targets[model].version != version {
			r.targets[model] = target{version, time.Now()}
		}
	}
}

// outdatedEngines returns the engines that have yet to load and can be updated now, the ones
// that are most versions behind first.
//
// A new target may be set before the previous one is loaded everywhere. An engine that
// has the previous one can wait; one that is two versions behind has answered
// requests from old weights for longest.
func (r *rollout) outdatedEngines() []outdatedEngine {
	targets := r.Site.TargetVersions()
	var all []outdatedEngine
	for _, s := range r.Site.Engines() {
		if d, ok := r.outdated(s, targets); ok && r.available(s.ID) {
			all = append(all, d)
		}
	}
	slices.SortStableFunc(all, func(a, b outdatedEngine) int { return cmp.Compare(b.version-b.current, a.version-a.current) })
	return all
}

// outdated returns the first model of which the engine has an older version than the target.
func (r *rollout) outdated(s directory.Server, targets map[string]int64) (outdatedEngine, bool) {
	for _, w := range s.Models {
		current := r.Site.Version(s, w.Model)
		if v := targets[w.Model]; v > current {
			return outdatedEngine{server: s, model: w.Model, version: v, current: current}, true
		}
	}
	return outdatedEngine{}, false
}

// available returns whether an update of the engine can start now. Without the backoff a crashed
// engine would repeatedly take a slot from engines that work.
func (r *rollout) available(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.updating[id] && time.Since(r.unreachableAt[id]) >= unreachableBackoff
}

// recordUnreachable records that a call to the engine failed.
func (r *rollout) recordUnreachable(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachableAt[id] = time.Now()
}

func (r *rollout) setUpdating(id string, updating bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if updating {
		r.updating[id] = true
		return
	}
	delete(r.updating, id)
}

// update drains an engine and has it load; the engine occupies a slot in each phase.
func (r *rollout) update(ctx context.Context, d outdatedEngine, drain time.Duration, limit int) {
	s := d.server
	r.Site.SetBusy(s.ID, true)
	defer r.Site.SetBusy(s.ID, false)
	if !r.drain(ctx, s, drain) {
		<-r.draining
		return
	}
	for !r.acquireSlot(s.ID, limit) {
		if ctx.Err() != nil {
			<-r.draining
			return
		}
		wait.For(ctx, slotInterval)
	}
	<-r.draining
	defer r.releaseSlot(s.ID)
	r.load(ctx, s, d.model, d.version)
}

// acquireSlot takes a load slot for the engine and returns whether one was free.
func (r *rollout) acquireSlot(id string, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.loadStarted) >= limit {
		return false
	}
	r.loadStarted[id] = time.Now()
	return true
}

func (r *rollout) releaseSlot(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.loadStarted, id)
}

func (r *rollout) handleCallError(s directory.Server, err error) {
	r.recordUnreachable(s.ID)
	event.EngineNotAsked.Write(r.Logger, log.Fields{"server": s.ID, "error": err.Error()})
}

func (r *rollout) report(ctx context.Context, s directory.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Client.Report(ctx, s)
}

// load sends the order, again if necessary, and returns once the engine has the weights or can't load them now.
//
// The order has the sequence of the report right before it. An order without an
// answer is sent again only after another report. If the engine accepts the first one
// meanwhile, its sequence has increased, and the second order has no effect.
func (r *rollout) load(ctx context.Context, s directory.Server, model string, version int64) {
	started := time.Now()
	for ctx.Err() == nil && time.Since(started) < loadTimeout {
		p, err := r.report(ctx, s)
		switch {
		case err != nil:
			r.handleCallError(s, err)
			return
		case p.Versions[model] >= version && !p.Busy:
			r.recordLoad(time.Since(started))
			r.Site.ReportLoaded(s, model, p.Versions[model])
			return
		case !p.Busy && !r.sendOrder(ctx, s, Order{Model: model, Version: version, Sequence: p.Sequence}):
			return
		}
		wait.For(ctx, pollInterval)
	}
}

// sendOrder sends one order and returns whether the load may still succeed.
func (r *rollout) sendOrder(ctx context.Context, s directory.Server, o Order) bool {
	p, ok := r.Site.Permit(callTimeout)
	if !ok {
		return false
	}
	o.Holder, o.Fencing = p.Holder, p.Fencing
	ctx, cancel := context.WithTimeout(ctx, p.ValidFor)
	defer cancel()
	got, err := r.Client.Order(ctx, s, o)
	p.End(err == nil)
	f := log.Fields{"server": s.ID, "model": o.Model, "version": o.Version, "fencing": o.Fencing, "sequence": o.Sequence, "outcome": got.String()}
	if err != nil {
		f["error"] = err.Error()
	}
	event.WeightsOrdered.Write(r.Logger, f)
	if got == Fenced {
		r.Site.ObserveFencing(o.Fencing)
	}
	return got == Accepted || got == AlreadyLoaded || got == Conflict || got == Unanswered
}
