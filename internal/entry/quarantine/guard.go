package quarantine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	section "hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/entry/completion"
	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/policy/suspicion"
)

// Guard is a completion.Guard that follows the fleet-wide quarantine record.
type Guard interface {
	completion.Guard
	// Calls returns the guard of plain services' calls, which share the record.
	Calls() service.Guard
	// RecordOwner records the workspace and model of a fingerprint, for the list shown to operators.
	RecordOwner(f completion.Fingerprint, workspace, model string)
	// MarkSuspect marks a fingerprint as suspect that another entry reported.
	MarkSuspect(f completion.Fingerprint)
	// Quarantined returns the number of quarantined requests.
	Quarantined() int
	// Close stops the goroutine that polls the record.
	Close()
}

type guard struct {
	Config
	mu    sync.Mutex
	view  suspicion.View
	local localRuns
	// parts holds the quarantined parts of prompts.
	parts *suspicion.Register
	// unreported are losses whose reports failed, oldest first, and own is what they alone quarantine.
	unreported []unreportedLoss
	own        section.Local
	// repeating is set while reports that failed are repeated.
	repeating bool
	// wake ends a wait of the poll, because another entry has lost a server.
	wake   chan struct{}
	owners map[completion.Fingerprint]section.Running
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a Guard that polls the record until it is closed.
func New(c Config) Guard {
	ctx, cancel := context.WithCancel(context.Background())
	g := &guard{
		Config: c.withDefaults(),
		local:  newLocalRuns(),
		parts:  suspicion.NewRegister(),
		wake:   make(chan struct{}, 1),
		owners: map[completion.Fingerprint]section.Running{},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(g.done)
		g.poll(ctx)
	}()
	return g
}

// Close implements Guard.
func (g *guard) Close() {
	g.cancel()
	<-g.done
}

// RecordOwner implements Guard.
func (g *guard) RecordOwner(f completion.Fingerprint, workspace, model string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.owners) >= maxOwners {
		clear(g.owners)
	}
	g.owners[f] = section.Running{Fingerprint: f, Workspace: workspace, Model: model}
}

// Quarantined implements Guard.
func (g *guard) Quarantined() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Quarantined() + g.parts.Len()
}

// Check implements completion.Guard. A refusal is final and immediate: a caller
// whose request is delayed would send it a second time through another entry.
func (g *guard) Check(now time.Time, workspace string, a suspicion.Attributes) error {
	g.mu.Lock()
	if m, refused := g.match(workspace, a, now); refused {
		g.mu.Unlock()
		return g.quarantineRefusal(m.Fingerprint, m.RetryAfter)
	}
	f := a.Request
	d := g.view.Decide(f)
	attempt, free := g.local.claimSlot(now, f, d.Standing, g.NewAttempt)
	g.mu.Unlock()
	switch {
	case d.Standing == suspicion.Quarantined:
		return g.quarantineRefusal(f, d.RetryAfter)
	case d.Standing == suspicion.Clear:
		return nil
	case !free:
		return suspectRefusal(time.Second, nil)
	default:
		return g.acquireSlot(f, attempt)
	}
}

// Recheck implements completion.Guard. Two suspects that ran at one server would both be blamed for its loss, so one of
// them waits for the other or goes elsewhere.
func (g *guard) Recheck(now time.Time, workspace string, a suspicion.Attributes, server string) error {
	g.mu.Lock()
	m, refused := g.match(workspace, a, now)
	d := g.view.Decide(a.Request)
	held, suspect := g.local.slots[a.Request]
	g.mu.Unlock()
	switch {
	case refused:
		return g.quarantineRefusal(m.Fingerprint, m.RetryAfter)
	case d.Standing == suspicion.Quarantined:
		return g.quarantineRefusal(a.Request, d.RetryAfter)
	case suspect:
		return g.acquireServer(a.Request, held.attempt, server)
	}
	return nil
}

func (g *guard) quarantineRefusal(f completion.Fingerprint, after time.Duration) error {
	event.RequestQuarantined.Write(g.Logger, log.Fields{"fingerprint": f.String()})
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "request-quarantined",
		"servers were lost while they ran this request, or others with a piece of its prompt; it is not run until an operator clears it").WithRetryAfter(after)
}

// Started implements completion.Guard.
func (g *guard) Started(_ time.Time, f completion.Fingerprint, server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.local.startRun(f, server)
}

// RequiresIsolation implements completion.Guard.
func (g *guard) RequiresIsolation(_ time.Time, server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.local.suspects[server] > 0
}

// MarkSuspect implements Guard.
func (g *guard) MarkSuspect(f completion.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view = g.view.WithSuspect(f)
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Ended implements completion.Guard.
//
// A loss counts fleet-wide once it is committed to the log, which the other
// entries poll once a second. A caller that retries the request through each of
// them could be faster, and each retry would lose another server. The other
// entries are therefore notified before the caller receives its answer, and they
// acquire a slot from the log before they run the request.
func (g *guard) Ended(ctx context.Context, now time.Time, r completion.Run) {
	e := service.Unanswered
	g.mu.Lock()
	switch {
	case r.Answered:
		e = service.Answered
		g.parts.Answered(r.Attributes, now)
	case r.Lost:
		e = service.Lost
		g.parts.Lost(r.Attributes)
	}
	run := g.ownerOf(r.Attributes.Request)
	run.Parts, run.Began = g.parts.Unanswered(r.Attributes), r.Began
	g.mu.Unlock()
	run.Workspace, run.RunAge = r.Workspace, max(time.Nanosecond, now.Sub(r.SentAt))
	g.endRun(ctx, now, run, r.Server, e)
}

// endRun ends a run at a server. Only an answer clears a suspect: one that was rejected hasn't run.
func (g *guard) endRun(ctx context.Context, now time.Time, run section.Running, server string, e service.Ending) {
	f := run.Fingerprint
	g.mu.Lock()
	attempt, held := g.local.endRun(f, server)
	if e == service.Lost {
		g.view = g.view.WithSuspect(f)
	}
	g.mu.Unlock()
	if e == service.Lost {
		g.ReportSuspect(ctx, f)
		g.reportLoss(ctx, now, server, run)
	}
	if held {
		g.releaseSlot(ctx, f, attempt, e == service.Answered)
	}
}

// ownerOf returns the request of a fingerprint, with its workspace and model if they are recorded. The caller holds the
// lock.
func (g *guard) ownerOf(f completion.Fingerprint) section.Running {
	if r, ok := g.owners[f]; ok {
		return r
	}
	return section.Running{Fingerprint: f}
}
