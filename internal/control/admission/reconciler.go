package admission

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/replica"
)

const (
	// interval is the time between two reconciliations: a few heartbeats.
	interval = 500 * time.Millisecond
	// probeTimeout bounds one request to a replica.
	probeTimeout = 400 * time.Millisecond
	// changeTimeout bounds one membership change.
	changeTimeout = time.Second
	// joinAfter is how long a replica must be without a leader before it asks to join.
	joinAfter = time.Second
	// maxReported is the maximum number of reported leaders that are queried per reconciliation.
	maxReported = 2
)

// Replica is this process's replica.
type Replica interface {
	// Status returns the replica's status.
	Status() replica.Status
	// Promote and Remove change the members if this replica is the leader.
	Promote(ctx context.Context, id raft.Identity) error
	Remove(ctx context.Context, id raft.Identity) error
}

// Peers sends requests to other replicas.
type Peers interface {
	// Probe returns the identity and the group of the replica at address.
	Probe(ctx context.Context, address string) (replica.Formation, error)
	// Status returns the status of the replica at address.
	Status(ctx context.Context, address string) (replica.Status, error)
	// Join asks the leader at address to add the member as a learner.
	Join(ctx context.Context, address string, m raft.Member) error
}

// Config holds the dependencies of a Reconciler.
type Config struct {
	// Replica is this process's replica.
	Replica Replica
	// Peers sends requests to the other replicas.
	Peers Peers
	// Addresses returns the known addresses of replicas.
	Addresses func() []string
	// Logger receives the events.
	Logger log.Interface
}

// Reconciler changes the members while its replica is the leader, and asks to join while its replica belongs to no group.
type Reconciler interface {
	// Reconcile carries out the next membership change or join request, if one is needed.
	Reconcile(ctx context.Context)
	// Run calls Reconcile at a fixed interval until ctx ends.
	Run(ctx context.Context)
}

type reconciler struct {
	Config
	// lastSeen is when each member last answered under its identity.
	lastSeen map[raft.Identity]time.Time
	// replaced is true for members at whose address another identity answered.
	replaced map[raft.Identity]bool
	// wasLeader is true if this replica was the leader at the previous reconciliation.
	wasLeader bool
	// leaderlessSince is the time since which there is no leader, or zero while there is one.
	leaderlessSince time.Time
	// searchFailed is true if the latest search for the leader failed.
	searchFailed bool
}

// NewReconciler returns a Reconciler.
func NewReconciler(c Config) Reconciler {
	return &reconciler{Config: c}
}

// Run implements Reconciler.
func (r *reconciler) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.Reconcile(ctx)
		}
	}
}

// Reconcile implements Reconciler.
func (r *reconciler) Reconcile(ctx context.Context) {
	s := r.Replica.Status()
	if s.Role == raft.Leader.String() {
		r.manageMembers(ctx, s)
		return
	}
	r.wasLeader = false
	r.requestJoin(ctx, s)
}

func (r *reconciler) manageMembers(ctx context.Context, s replica.Status) {
	now := time.Now()
	if !r.wasLeader {
		// No member was probed yet, so each counts as last seen now.
		r.lastSeen, r.replaced, r.wasLeader = map[raft.Identity]time.Time{}, map[raft.Identity]bool{}, true
		for _, m := range s.Members {
			r.lastSeen[m.Identity] = now
		}
	}
	r.probe(ctx, s)
	c, ok := Next(r.view(s, time.Now()))
	if !ok {
		return
	}
	err := r.apply(ctx, c)
	f := log.Fields{"change": string(c.Kind), "replica": c.Member.Name, "identity": string(c.Member.Identity)}
	if err != nil {
		f["error"] = err.Error()
		event.MemberChangeRefused.Write(r.Logger, f)
		return
	}
	event.MemberChanged.Write(r.Logger, f)
}

// probe asks all other members for their identity in parallel.
func (r *reconciler) probe(ctx context.Context, s replica.Status) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var pending sync.WaitGroup
	for _, m := range s.Members {
		if m.Identity == s.Identity {
			continue
		}
		pending.Go(func() {
			f, err := r.Peers.Probe(ctx, m.Address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			r.replaced[m.Identity] = f.Identity != m.Identity
			if f.Identity == m.Identity {
				r.lastSeen[m.Identity] = time.Now()
			}
		})
	}
	pending.Wait()
}

func (r *reconciler) view(s replica.Status, now time.Time) View {
	v := View{Self: s.Identity, Members: s.Members, Matches: s.Matches, Commit: s.Commit, Replaced: r.replaced, Silent: map[raft.Identity]time.Duration{}}
	for _, m := range s.Members {
		at, ok := r.lastSeen[m.Identity]
		if !ok {
			r.lastSeen[m.Identity], at = now, now
		}
		v.Silent[m.Identity] = now.Sub(at)
	}
	return v
}

func (r *reconciler) apply(ctx context.Context, c protocol.Change) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if c.Kind == protocol.Promote {
		return r.Replica.Promote(ctx, c.Member.Identity)
	}
	return r.Replica.Remove(ctx, c.Member.Identity)
}

// requestJoin asks the leader to add this replica while it receives nothing from a leader.
//
// A replica that was removed while it was partitioned is still a member
// according to its own log, so only the leader's member list is reliable.
func (r *reconciler) requestJoin(ctx context.Context, s replica.Status) {
	if s.CaughtUp {
		r.leaderlessSince, r.searchFailed = time.Time{}, false
		return
	}
	now := time.Now()
	if r.leaderlessSince.IsZero() {
		r.leaderlessSince = now
	}
	if s.Role != replica.RoleBlank && now.Sub(r.leaderlessSince) < joinAfter {
		return
	}
	leader, ok := r.leader(ctx, s)
	r.logSearch(ok, s)
	if !ok {
		return
	}
	for _, m := range leader.Members {
		if m.Identity == s.Identity {
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	self := raft.Member{Name: s.Name, Identity: s.Identity, Address: s.Address}
	f := log.Fields{"leader": leader.Address, "replica": s.Name, "identity": string(s.Identity)}
	if err := r.Peers.Join(ctx, leader.Address, self); err != nil {
		f["error"] = err.Error()
	}
	event.JoinAsked.Write(r.Logger, f)
}

// logSearch logs a failed search for the leader, once until a search succeeds.
func (r *reconciler) logSearch(found bool, s replica.Status) {
	if !found && !r.searchFailed {
		event.LeaderNotFound.Write(r.Logger, log.Fields{"replica": s.Name, "identity": string(s.Identity), "asked": len(r.Addresses())})
	}
	r.searchFailed = !found
}

// leader returns the status of the leader and whether one was found.
//
// A replica without a log knows only the seeds. If none of them is the leader,
// the leaders that they report are queried as well. A replica counts as the
// leader only if its own status says so, because a reported one may be outdated.
func (r *reconciler) leader(ctx context.Context, self replica.Status) (replica.Status, bool) {
	known := slices.DeleteFunc(slices.Clone(r.Addresses()), func(a string) bool { return a == self.Address })
	answers := r.statuses(ctx, known)
	reported := slices.DeleteFunc(reportedLeaders(answers), func(a string) bool {
		return a == self.Address || slices.Contains(known, a)
	})
	answers = append(answers, r.statuses(ctx, reported[:min(len(reported), maxReported)])...)
	var found replica.Status
	for _, s := range answers {
		if s.Role == raft.Leader.String() && s.Term >= found.Term {
			found = s
		}
	}
	return found, found.Role != ""
}

// statuses queries the replicas at addresses in parallel and returns the statuses that arrive in time.
func (r *reconciler) statuses(ctx context.Context, addresses []string) []replica.Status {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var pending sync.WaitGroup
	var answers []replica.Status
	for _, a := range addresses {
		pending.Go(func() {
			s, err := r.Peers.Status(ctx, a)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, s)
		})
	}
	pending.Wait()
	return answers
}

// reportedLeaders returns the leader addresses that the replicas report, those of the latest term first.
func reportedLeaders(answers []replica.Status) []string {
	latest := slices.SortedFunc(slices.Values(answers), func(a, b replica.Status) int { return cmp.Compare(b.Term, a.Term) })
	var reported []string
	for _, s := range latest {
		if s.LeaderAddress != "" && !slices.Contains(reported, s.LeaderAddress) {
			reported = append(reported, s.LeaderAddress)
		}
	}
	return reported
}
