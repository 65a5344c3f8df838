package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/entry/settings"
	"hornbeamwood/internal/policy/retry"
)

// budget lets idempotent calls of plain services be retried within the same retry budgets as completions.
type budget struct {
	policy   retry.Policy
	settings settings.LeasedSettings

	mu     sync.Mutex
	random *rand.Rand
}

func newBudget(p retry.Policy, s settings.LeasedSettings) *budget {
	return &budget{policy: p, settings: s, random: newRandom()}
}

// assumedCallTime is the assumed remaining time of a call; the service client enforces the real deadline.
const assumedCallTime = time.Minute

// Retry implements service.Budget.
func (b *budget) Retry(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Decide(retry.Failure{
		Workspace:  workspace,
		Verdict:    verdict.MayHaveRun,
		Idempotent: true,
		Attempt:    1,
		Remaining:  assumedCallTime,
		Servers:    1,
	}, b.random).Retry
}

// calls refuses non-idempotent calls outside the workspace's region, and fills the retry budgets from first attempts.
type calls struct {
	client   service.Client
	retries  retry.Policy
	settings settings.LeasedSettings
	region   string
}

// Call implements caller.Services.
//
// Each region has its own ledger. A call claimed in two regions would run in both, so
// only the workspace's own region accepts its non-idempotent calls.
func (c calls) Call(ctx context.Context, r service.Request) (service.Answer, error) {
	s := c.settings.View().Rules
	home := s.Workspaces[r.Workspace].Region
	if r.Rules.NonIdempotent && home != c.region {
		return service.Answer{}, verdict.New(verdict.MayHaveRun, http.StatusMisdirectedRequest, "other-region",
			"calls of this workspace are claimed in region %s; this send dispatched nothing", home)
	}
	c.retries.CountFirstAttempt(r.Workspace, r.Rules.RetryShare, s.Fleet.RetryShare)
	return c.client.Call(ctx, r)
}
