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
	// interval is the time between two looks.
	interval = time.Second
	// probeTimeout bounds one question to a replica.
	probeTimeout = 500 * time.Millisecond
)

// Replica is this process's replica.
type Replica interface {
	// Status returns where the replica stands.
	Status() replica.Status
	// AddLearner, Promote and Remove change the members, at the leader.
	AddLearner(ctx context.Context, m raft.Member) error
	Promote(ctx context.Context, id raft.Identity) error
	Remove(ctx context.Context, id raft.Identity) error
}

// Prober asks a replica what it is.
type Prober interface {
	// Probe returns the answer of the replica at address.
	Probe(ctx context.Context, address string) (replica.Formation, error)
}

// Config is what a Keeper needs.
type Config struct {
	// Replica is this process's replica.
	Replica Replica
	// Prober asks the others.
	Prober Prober
	// Seeds are the names and addresses of the node file.
	Seeds []replica.Seed
	// Admitted returns the identities that operators admit.
	Admitted func() []string
	// Logger takes the events.
	Logger log.Interface
}

// Keeper makes the members of the control log those that operators admit.
type Keeper interface {
	// Run looks until ctx ends.
	Run(ctx context.Context)
	// Look makes the next change, if there is one.
	Look(ctx context.Context)
}

type keeper struct {
	Config
}

// NewKeeper returns a Keeper; it changes nothing while its replica does not lead.
func NewKeeper(c Config) Keeper {
	return &keeper{Config: c}
}

// Run implements Keeper.
func (k *keeper) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			k.Look(ctx)
		}
	}
}

// Look implements Keeper.
func (k *keeper) Look(ctx context.Context) {
	s := k.Replica.Status()
	admitted := k.Admitted()
	if s.Role != raft.Leader.String() || len(admitted) == 0 {
		return
	}
	c, ok := Next(s.Members, k.candidates(ctx), admitted)
	if !ok {
		return
	}
	err := k.carryOut(ctx, c)
	f := log.Fields{"change": string(c.Kind), "replica": c.Member.Name, "identity": string(c.Member.Identity)}
	if err != nil {
		f["error"] = err.Error()
		event.MemberChangeRefused.Write(k.Logger, f)
		return
	}
	event.MemberChanged.Write(k.Logger, f)
}

// candidates returns what the replicas at the seeds' addresses are now.
func (k *keeper) candidates(ctx context.Context) []raft.Member {
	var all []raft.Member
	for _, s := range k.Seeds {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		f, err := k.Prober.Probe(ctx, s.Address)
		cancel()
		if err != nil || f.Name != s.Name {
			continue
		}
		all = append(all, raft.Member{Name: s.Name, Identity: f.Identity, Address: s.Address})
	}
	return all
}

func (k *keeper) carryOut(ctx context.Context, c protocol.Change) error {
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	switch c.Kind {
	case protocol.AddLearner:
		return k.Replica.AddLearner(ctx, c.Member)
	case protocol.Promote:
		return k.Replica.Promote(ctx, c.Member.Identity)
	}
	return k.Replica.Remove(ctx, c.Member.Identity)
}
