package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamwood/internal/base/verdict"
)

// Policy holds the budgets of one entry; it may be used by several goroutines at once.
// Each entry fills its budgets from its own first tries, so that the sum over the entries
// stays within the share of all.
type Policy interface {
	// First counts a first try of a workspace whose rules allow share of its requests, and of all requests fleetShare, to be repeated.
	First(workspace string, share, fleetShare float64)
	// Decide returns whether the failed attempt is followed by another and takes it from the budgets.
	Decide(f Failure, random *rand.Rand) Decision
	// Forget drops the budget of a workspace that no longer exists.
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

// New returns a Policy with a full budget for all workspaces together and none for each.
func New(c Config) Policy {
	p := &policy{config: c.withDefaults()}
	p.fleet.left = p.config.FleetBurst
	for i := range p.shards {
		p.shards[i].buckets = map[string]*bucket{}
	}
	return p
}

func (p *policy) shard(workspace string) *shard {
	return &p.shards[xxhash.Sum64String(workspace)%shards]
}

func (p *policy) First(workspace string, share, fleetShare float64) {
	s := p.shard(workspace)
	s.mutex.Lock()
	b, ok := s.buckets[workspace]
	if !ok {
		b = &bucket{left: min(1, p.config.Burst)}
		s.buckets[workspace] = b
	}
	b.fill(share, p.config.Burst)
	s.mutex.Unlock()
	p.mutex.Lock()
	p.fleet.fill(fleetShare, p.config.FleetBurst)
	p.mutex.Unlock()
}

func (p *policy) Forget(workspace string) {
	s := p.shard(workspace)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.buckets, workspace)
}

// Decide asks first what forbids another attempt at any price, then the budgets.
func (p *policy) Decide(f Failure, random *rand.Rand) Decision {
	if why := forbidden(f); why != "" {
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

func forbidden(f Failure) Reason {
	if f.Answered {
		return PartAnswered
	}
	if !f.Idempotent && f.Verdict != verdict.NotRun {
		return MayRepeat
	}
	if f.Servers <= 0 {
		return NoOther
	}
	return ""
}

// take uses one repeat of the workspace and of the fleet, or neither.
func (p *policy) take(workspace string) Reason {
	s := p.shard(workspace)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, ok := s.buckets[workspace]
	if !ok || b.empty() {
		return WorkspaceSpent
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.fleet.empty() {
		return FleetSpent
	}
	b.take()
	p.fleet.take()
	return Budgeted
}

// wait returns a wait between zero and a bound that doubles with each attempt.
// A fixed wait would bring all requests of a lost server to the next one at the same moment.
func (p *policy) wait(f Failure, random *rand.Rand) time.Duration {
	bound := p.config.BaseWait
	for range f.Attempt - 1 {
		bound = min(2*bound, p.config.MaxWait)
	}
	return time.Duration(random.Float64() * float64(bound))
}
