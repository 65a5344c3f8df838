package caller

import (
	"context"
	"testing"
	"time"

	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/serve/waitqueue"
	"hornbeamwood/internal/site/document"
)

// tellingSite tells until when a prompt would wait for the stores.
type tellingSite struct {
	fakeSite
	until time.Time
}

func (s *tellingSite) AwaitStores(ctx context.Context) {
	s.until, _ = ctx.Deadline()
}

// All processes of a large site were killed, and hundreds of long prompts wait when
// they are back. The stores' lists need three seconds to get to all entries. Sent
// before that, every prompt is read whole by its engine: 6 million tokens in a
// moment, and who comes in the next ten seconds is late behind them. They are late
// themselves by then, so that waiting on costs their callers nothing; but the answer
// must come before they leave.
func TestLatePromptsWaitForTheStores(t *testing.T) {
	const silence, spread = 4 * time.Second, 2800 * time.Millisecond
	s := &tellingSite{}
	now := time.Now()
	j := &job{
		gateway: &gateway{Config: Config{Site: s}}, arrived: now, deadline: now.Add(15 * time.Second),
		route:   document.Route{LatencyTarget: time.Second, Silence: silence},
		request: request.Request{Prompt: &request.Prompt{Tokens: 12_000, Output: 400}},
	}
	j.awaitStores(t.Context())
	if wait := s.until.Sub(now); wait < spread || wait > silence-expectedFirst {
		t.Errorf("a prompt waits %s for the stores", wait)
	}
}

// Prompts wait for more room than there is. A short question takes so little of an
// engine that it goes beside them; in turn with them it would be late for nothing.
func TestSmallRequestsTakeNoTurns(t *testing.T) {
	e := document.Engine{CapacityTokens: 96_000}
	l := waitqueue.New()
	l.Enter(waitqueue.Item{Tokens: 1_000_000})
	j := &job{gateway: &gateway{Config: Config{Queue: l, PeerLoads: share.NewPeerLoads("e")}}}
	for tokens, small := range map[int]bool{2_000: true, 12_000: false} {
		j.request.Prompt = &request.Prompt{Tokens: tokens}
		if took := j.turn(e, choice{}, time.Second); took != small {
			t.Errorf("%d tokens: %v", tokens, took)
		}
	}
}

// A site promises its callers the first event within 200 ms, less than an engine
// takes to one as a rule. If each of its prompts counted as late when it comes, they
// would have but a part of every engine, and leave the rest to nobody.
func TestPromptIsNotLateWhenItComes(t *testing.T) {
	now := time.Now()
	for _, target := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		j := &job{
			gateway: &gateway{}, arrived: now, deadline: now.Add(time.Minute), route: document.Route{LatencyTarget: target},
			request: request.Request{Prompt: &request.Prompt{Tokens: 1000}},
		}
		if on := j.ask().Rank.TargetTime; !on.After(now) || on.After(now.Add(target)) {
			t.Errorf("with a target of %s on time until %s after it came", target, on.Sub(now))
		}
	}
}
