package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/entry/settings"
	"hornbeamwood/internal/policy/retry"
)

// budget lets idempotent calls of plain services be tried again within the same budgets as completions.
type budget struct {
	policy   retry.Policy
	settings settings.Keeper

	mu     sync.Mutex
	random *rand.Rand
}

func newBudget(p retry.Policy, s settings.Keeper) *budget {
	return &budget{policy: p, settings: s, random: newRandom()}
}

// callTime is assumed to be left of a call's deadline; the service client keeps the real one.
const callTime = time.Minute

// Retry implements service.Budget.
func (b *budget) Retry(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Decide(retry.Failure{
		Workspace:  workspace,
		Verdict:    verdict.MayHaveRun,
		Idempotent: true,
		Attempt:    1,
		Remaining:  callTime,
		Servers:    1,
	}, b.random).Retry
}

// counted fills the budgets from the first tries of calls.
type counted struct {
	client  service.Client
	retries retry.Policy
}

// Call implements caller.Services.
func (c counted) Call(ctx context.Context, r service.Request) (service.Answer, error) {
	c.retries.First(r.Workspace, r.Rules.RetryShare)
	return c.client.Call(ctx, r)
}
