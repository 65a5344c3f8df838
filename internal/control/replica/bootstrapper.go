package replica

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/raft"
)

const (
	// probeTicks is the number of ticks between two rounds of probes, probeTimeout the timeout of a round.
	probeTicks   = 4
	probeTimeout = time.Second
	// formedGrace is how long a round waits for further answers once a replica of a
	// group has answered: several round trips. A lost VM never answers.
	formedGrace = 150 * time.Millisecond
)

var errSeedsDisagree = errors.New("replica: the seeds disagree")

// bootstrapper finds or founds the group of a replica that belongs to none yet.
type bootstrapper struct {
	replica *replica
	// lastLogged is the last logged state, so that each state is logged once.
	lastLogged string
}

func startBootstrapper(r *replica) {
	b := &bootstrapper{replica: r}
	go func() {
		ticker := time.NewTicker(probeTicks * r.config.Tick)
		defer ticker.Stop()
		for {
			if founding, ok := b.round(); ok {
				r.founded <- founding
				return
			}
			select {
			case <-ticker.C:
			case <-r.failed:
				return
			case <-r.done:
				return
			}
		}
	}()
}

// round probes all seeds once and returns the founding to use, if there is one.
func (b *bootstrapper) round() (disk.Founding, bool) {
	answers := b.probe()
	own := b.replica.Formation()
	for _, a := range answers {
		if a.Group == own.Group && a.hasMember(own.Identity) {
			event.GroupJoined.Write(b.replica.config.Logger, log.Fields{"replica": own.Name, "identity": own.Identity, "seed": a.Name})
			return a.Founding, true
		}
	}
	for _, a := range answers {
		if a.Formed {
			b.setBlank(a)
			return disk.Founding{}, false
		}
	}
	if b.replica.config.JoinOnly {
		return disk.Founding{}, false
	}
	founding, err := newFounding(own, b.replica.config.Seeds, answers)
	if err != nil {
		b.logOnce(err.Error(), event.SeedsDisagree, log.Fields{"replica": own.Name, "error": err.Error()})
		return disk.Founding{}, false
	}
	if founding.ID == "" {
		return disk.Founding{}, false
	}
	event.GroupFounded.Write(b.replica.config.Logger, log.Fields{"replica": own.Name, "founding": founding.ID})
	return founding, true
}

// probe probes all other seeds and peers concurrently and returns the answers by name.
func (b *bootstrapper) probe() map[string]Formation {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	answers := map[string]Formation{}
	for _, s := range b.probeTargets() {
		wait.Go(func() {
			a, err := b.replica.config.Transport.Probe(ctx, s.Address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[s.Name] = a
			if a.Formed {
				time.AfterFunc(formedGrace, cancel)
			}
		})
	}
	wait.Wait()
	return answers
}

// probeTargets returns the seeds and the peers, without this replica.
func (b *bootstrapper) probeTargets() []Seed {
	c := b.replica.config
	all := slices.Clone(c.Seeds)
	if c.Peers != nil {
		for _, a := range c.Peers() {
			all = append(all, Seed{Name: a, Address: a})
		}
	}
	return slices.DeleteFunc(all, func(s Seed) bool { return s.Name == c.Name || s.Address == c.Address })
}

// setBlank sets the role of a replica whose identity is not a member of the existing group.
func (b *bootstrapper) setBlank(a Formation) {
	b.replica.mu.Lock()
	b.replica.status.Role = RoleBlank
	b.replica.mu.Unlock()
	b.logOnce(RoleBlank, event.ReplicaBlank, log.Fields{"replica": b.replica.config.Name, "identity": b.replica.self.Identity, "seed": a.Name})
}

func (b *bootstrapper) logOnce(state string, e event.Event, fields log.Fields) {
	if b.lastLogged == state {
		return
	}
	b.lastLogged = state
	e.Write(b.replica.config.Logger, fields)
}

// newFounding returns a founding if this replica is the one to found the group and every seed answered, an empty one otherwise.
//
// If each seed founded the group by itself, one could record a peer's identity
// just before that peer loses its disk, and another just after. This would
// result in two groups with different initial configurations. Therefore only the
// first seed by name founds the group, and the others adopt its configuration.
// The random ID of the founding ensures that replicas of different foundings
// ignore each other.
func newFounding(own Formation, seeds []Seed, answers map[string]Formation) (disk.Founding, error) {
	members := make([]raft.Member, 0, len(seeds))
	identities := map[raft.Identity]string{}
	first := len(seeds) > 0
	isSeed := false
	for _, s := range seeds {
		a, ok := answers[s.Name]
		if s.Name == own.Name {
			a, ok, isSeed = own, true, true
		}
		if !ok {
			return disk.Founding{}, nil
		}
		if a.Name != s.Name || a.Group != own.Group {
			return disk.Founding{}, fmt.Errorf("%w: %s is %q of group %d, not %q of group %d", errSeedsDisagree, s.Address, a.Name, a.Group, s.Name, own.Group)
		}
		if other, ok := identities[a.Identity]; ok {
			return disk.Founding{}, fmt.Errorf("%w: %s and %s have the same identity; one data folder is a copy of the other", errSeedsDisagree, other, s.Name)
		}
		identities[a.Identity] = s.Name
		first = first && own.Name <= s.Name
		members = append(members, raft.Member{Name: s.Name, Identity: a.Identity, Address: s.Address, Voter: true})
	}
	if !first || !isSeed {
		return disk.Founding{}, nil
	}
	b := make([]byte, 8)
	if _, err := crand.Read(b); err != nil {
		return disk.Founding{}, err
	}
	return disk.Founding{ID: hex.EncodeToString(b), Configuration: raft.NewConfiguration(members...)}, nil
}
