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

// recordingSite records until when a prompt would wait for the stores.
type recordingSite struct {
	fakeSite
	until time.Time
}

func (s *recordingSite) AwaitStores(ctx context.Context) {
	s.until, _ = ctx.Deadline()
}

// All processes of a large site were killed, and hundreds of long prompts wait when they are
// back. The stores' inventories need three seconds to reach all entries. Sent before that,
// every prompt would be prefilled completely by its engine: 6 million tokens in a moment,
// which delays all prompts of the next ten seconds. The waiting prompts are past their target
// by then, so that further waiting costs their callers nothing; but the response must arrive
// before the callers time out.
func TestPromptsPastTargetWaitForStores(t *testing.T) {
	const silence, spread = 4 * time.Second, 2800 * time.Millisecond
	s := &recordingSite{}
	now := time.Now()
	j := &job{
		gateway: &gateway{Config: Config{Site: s}}, arrived: now, deadline: now.Add(15 * time.Second),
		route:   document.Route{LatencyTarget: time.Second, CallerEventTimeout: silence},
		request: request.Request{Prompt: &request.Prompt{Tokens: 12_000, Output: 400}},
	}
	j.awaitStores(t.Context())
	if wait := s.until.Sub(now); wait < spread || wait > silence-expectedFirstEvent {
		t.Errorf("a prompt waits %s for the stores", wait)
	}
}

// Prompts wait for more capacity than there is. A small request takes so little of an engine
// that it must be sent beside them; waiting for admission with them would delay it for
// nothing.
func TestSmallRequestsNeedNoAdmission(t *testing.T) {
	e := document.Engine{CapacityTokens: 96_000}
	q := waitqueue.New()
	q.Enter(waitqueue.Item{Tokens: 1_000_000})
	j := &job{gateway: &gateway{Config: Config{Queue: q, PeerLoads: share.NewPeerLoads("e")}}}
	for tokens, small := range map[int]bool{2_000: true, 12_000: false} {
		j.request.Prompt = &request.Prompt{Tokens: tokens}
		if admitted := j.admitted(e, choice{}, time.Second); admitted != small {
			t.Errorf("%d tokens: %v", tokens, admitted)
		}
	}
}

// A site has a latency target of 200 ms for the first event, less than an engine usually
// takes. If each of its prompts counted as past its target on arrival, they could use only a
// part of every engine, and the rest would stay unused.
func TestPromptIsNotPastTargetOnArrival(t *testing.T) {
	now := time.Now()
	for _, target := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		j := &job{
			gateway: &gateway{}, arrived: now, deadline: now.Add(time.Minute), route: document.Route{LatencyTarget: target},
			request: request.Request{Prompt: &request.Prompt{Tokens: 1000}},
		}
		if at := j.queueItem().Rank.TargetTime; !at.After(now) || at.After(now.Add(target)) {
			t.Errorf("with a target of %s the target time is %s after arrival", target, at.Sub(now))
		}
	}
}
