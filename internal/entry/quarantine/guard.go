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
	"hornbeamwood/internal/policy/suspicion"
)

// Guard follows the fleet's record; it is a completion.Guard.
type Guard interface {
	completion.Guard
	// Name notes whose request a fingerprint is, for the operators' list.
	Name(f completion.Fingerprint, workspace, model string)
	// Suspect takes in what another entry tells.
	Suspect(f completion.Fingerprint)
	// Quarantined returns the number of quarantined requests.
	Quarantined() int
	// Close ends the goroutine that follows the record.
	Close()
}

type guard struct {
	Config
	mu     sync.Mutex
	view   suspicion.View
	book   book
	names  map[completion.Fingerprint]section.Running
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a Guard that follows the record until it is closed.
func New(c Config) Guard {
	ctx, cancel := context.WithCancel(context.Background())
	g := &guard{
		Config: c.withDefaults(),
		book:   newBook(),
		names:  map[completion.Fingerprint]section.Running{},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(g.done)
		g.follow(ctx)
	}()
	return g
}

// Close implements Guard.
func (g *guard) Close() {
	g.cancel()
	<-g.done
}

// Name implements Guard.
func (g *guard) Name(f completion.Fingerprint, workspace, model string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.names) >= maxNames {
		clear(g.names)
	}
	g.names[f] = section.Running{Fingerprint: suspicion.Fingerprint(f), Workspace: workspace, Model: model}
}

// Quarantined implements Guard.
func (g *guard) Quarantined() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Quarantined()
}

// Check implements completion.Guard. A refusal is final and comes at once: a
// caller that is held back sends the request a second time elsewhere.
func (g *guard) Check(now time.Time, f completion.Fingerprint) error {
	g.mu.Lock()
	d := g.view.Decide(suspicion.Fingerprint(f))
	attempt, free := g.book.take(now, f, d.Standing, g.NewAttempt)
	g.mu.Unlock()
	switch {
	case d.Standing == suspicion.Quarantined:
		return g.refuse(f, d.RetryAfter)
	case d.Standing == suspicion.Clear:
		return nil
	case !free:
		return busy(time.Second, nil)
	default:
		return g.probe(f, attempt)
	}
}

func (g *guard) refuse(f completion.Fingerprint, after time.Duration) error {
	event.RequestQuarantined.Write(g.Logger, log.Fields{"fingerprint": suspicion.Fingerprint(f).String()})
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "request-quarantined",
		"servers were lost while they ran this request; it is not run until an operator clears it").WithRetryAfter(after)
}

// Started implements completion.Guard.
func (g *guard) Started(_ time.Time, f completion.Fingerprint, server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.start(f, server)
}

// Alone implements completion.Guard.
func (g *guard) Alone(_ time.Time, server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.suspects[server] > 0
}

// Suspect implements Guard.
func (g *guard) Suspect(f completion.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view = g.view.WithSuspect(suspicion.Fingerprint(f))
}

// Ended implements completion.Guard.
//
// A loss counts in the fleet when the log has it, and the other entries look
// there once a second. A caller that sends the request again through each of
// them would be faster and lose one more server at each; so they are told
// before the caller gets its answer, and ask the log before they run it.
func (g *guard) Ended(ctx context.Context, _ time.Time, f completion.Fingerprint, server string, lost bool) {
	g.mu.Lock()
	attempt, held := g.book.end(f, server)
	if lost {
		g.view = g.view.WithSuspect(suspicion.Fingerprint(f))
	}
	who := g.whose(f)
	g.mu.Unlock()
	if lost {
		g.Tell(ctx, f)
		g.report(ctx, server, who)
	}
	if held {
		g.finish(ctx, f, attempt, !lost)
	}
}

// whose returns the request of a fingerprint with what is known of it.
func (g *guard) whose(f completion.Fingerprint) section.Running {
	if r, ok := g.names[f]; ok {
		return r
	}
	return section.Running{Fingerprint: suspicion.Fingerprint(f)}
}
