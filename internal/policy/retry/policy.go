package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/base/verdict"
)

// Policy holds the retry budgets of one entry. It is safe for concurrent use. Each entry fills its
// budgets from its own first attempts, so that the sum over all entries stays within the configured
// share of the requests.
type Policy interface {
	// CountFirstAttempt counts a first attempt of a workspace. The rules allow share of the requests
	// of the workspace, and fleetShare of all requests, to be retried.
	CountFirstAttempt(workspace string, share, fleetShare float64)
	// Decide returns whether the failed attempt is followed by another and, if so, takes it from
	// the budgets.
	Decide(f Failure, random *rand.Rand) Decision
	// Forget deletes the budget of a workspace that no longer exists.
	Forget(workspace string)
}

const shards = 16

type shard struct {
	mutex   sync.Mutex
	buckets map[string]*bucket
}

type policy struct {
	config Config
	mutex  sync.Mutex
	fleet  bucket
	shards [shards]shard
}

// New returns a Policy with a full budget for all workspaces together and none for each workspace.
func New(c Config) Policy {
	p := &policy{config: c.withDefaults()}
	p.fleet.tokens = p.config.FleetBurst
	for i := range p.shards {
		p.shards[i].buckets = map[string]*bucket{}
	}
	return p
}

func (p *policy) shard(workspace string) *shard {
	return &p.shards[xxhash.Sum64String(workspace)%shards]
}

func (p *policy) CountFirstAttempt(workspace string, share, fleetShare float64) {
	s := p.shard(workspace)
	s.mutex.Lock()
	b, ok := s.buckets[workspace]
	if !ok {
		b = &bucket{tokens: min(1, p.config.Burst)}
		s.buckets[workspace] = b
	}
	b.refill(share, p.config.Burst)
	s.mutex.Unlock()
	p.mutex.Lock()
	p.fleet.refill(fleetShare, p.config.FleetBurst)
	p.mutex.Unlock()
}

func (p *policy) Forget(workspace string) {
	s := p.shard(workspace)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.buckets, workspace)
}

// Decide checks first what forbids another attempt regardless of the budgets, then the budgets.
func (p *policy) Decide(f Failure, random *rand.Rand) Decision {
	if why := forbiddenReason(f); why != "" {
		return Decision{Reason: why}
	}
	wait := p.wait(f, random)
	if wait >= f.Remaining {
		return Decision{Reason: NoTime}
	}
	if why := p.take(f.Workspace); why != Budgeted {
		return Decision{Reason: why}
	}
	return Decision{Retry: true, Wait: wait, Reason: Budgeted}
}

func forbiddenReason(f Failure) Reason {
	if f.Answered {
		return PartAnswered
	}
	if !f.Idempotent && f.Verdict != verdict.NotRun {
		return MayHaveRun
	}
	if f.Servers <= 0 {
		return NoOtherServer
	}
	return ""
}

// take spends one retry of the budgets of the workspace and of the fleet, or of neither.
func (p *policy) take(workspace string) Reason {
	s := p.shard(workspace)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, ok := s.buckets[workspace]
	if !ok || b.empty() {
		return WorkspaceBudgetSpent
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.fleet.empty() {
		return FleetBudgetSpent
	}
	b.take()
	p.fleet.take()
	return Budgeted
}

// wait returns a random wait between zero and a bound that doubles with each attempt. A fixed wait
// would send all requests of a lost server to the next one at the same moment.
func (p *policy) wait(f Failure, random *rand.Rand) time.Duration {
	bound := p.config.BaseWait
	for range f.Attempt - 1 {
		bound = min(2*bound, p.config.MaxWait)
	}
	return time.Duration(random.Float64() * float64(bound))
}
