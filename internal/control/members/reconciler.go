package members

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/replica"
)

const (
	// checkInterval is the time between two checks of the members, and bounds a change.
	checkInterval = time.Second
	// probeTimeout bounds one probe of a replica.
	probeTimeout = 500 * time.Millisecond
)

// Replica is this process's replica.
type Replica interface {
	// Status returns the replica's current state.
	Status() replica.Status
	// AddLearner, Promote and Remove change the members, at the leader.
	AddLearner(ctx context.Context, m raft.Member) error
	Promote(ctx context.Context, id raft.Identity) error
	Remove(ctx context.Context, id raft.Identity) error
}

// Prober probes replicas.
type Prober interface {
	// Probe returns the formation of the replica at address.
	Probe(ctx context.Context, address string) (replica.Formation, error)
}

// Config configures a Reconciler.
type Config struct {
	// Replica is this process's replica.
	Replica Replica
	// Prober probes the other replicas.
	Prober Prober
	// Seeds are the names and addresses in the node file.
	Seeds []replica.Seed
	// Admitted returns the identities that operators admit.
	Admitted func() []string
	// Logger receives the events.
	Logger log.Interface
}

// Reconciler reconciles the members of the control log with the identities that operators admit.
type Reconciler interface {
	// Run checks the members periodically until ctx is done.
	Run(ctx context.Context)
	// Reconcile makes the next membership change, if there is one.
	Reconcile(ctx context.Context)
}

type reconciler struct {
	Config
}

// NewReconciler returns a Reconciler; it changes nothing while its replica is not the leader.
func NewReconciler(c Config) Reconciler {
	return &reconciler{Config: c}
}

// Run implements Reconciler.
func (r *reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Reconcile(ctx)
		}
	}
}

// Reconcile implements Reconciler.
func (r *reconciler) Reconcile(ctx context.Context) {
	s := r.Replica.Status()
	admitted := r.Admitted()
	if s.Role != raft.Leader.String() || len(admitted) == 0 {
		return
	}
	c, ok := Next(s.Members, r.candidates(ctx), admitted)
	if !ok {
		return
	}
	err := r.apply(ctx, c)
	fields := log.Fields{"change": string(c.Kind), "replica": c.Member.Name, "identity": string(c.Member.Identity)}
	if err != nil {
		fields["error"] = err.Error()
		event.MemberChangeRefused.Write(r.Logger, fields)
		return
	}
	event.MemberChanged.Write(r.Logger, fields)
}

// candidates probes the seeds and returns those that answer under their name, with their current identities.
func (r *reconciler) candidates(ctx context.Context) []raft.Member {
	var all []raft.Member
	for _, s := range r.Seeds {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		f, err := r.Prober.Probe(ctx, s.Address)
		cancel()
		if err != nil || f.Name != s.Name {
			continue
		}
		all = append(all, raft.Member{Name: s.Name, Identity: f.Identity, Address: s.Address})
	}
	return all
}

func (r *reconciler) apply(ctx context.Context, c protocol.Change) error {
	ctx, cancel := context.WithTimeout(ctx, checkInterval)
	defer cancel()
	switch c.Kind {
	case protocol.AddLearner:
		return r.Replica.AddLearner(ctx, c.Member)
	case protocol.Promote:
		return r.Replica.Promote(ctx, c.Member.Identity)
	}
	return r.Replica.Remove(ctx, c.Member.Identity)
}
