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
	// probeTicks is the time between two rounds of probes, probeTimeout how long one may take.
	probeTicks   = 4
	probeTimeout = time.Second
	// formedGrace is how long the other answers are waited for once a replica of a
	// group has answered: some round trips. A machine that is gone never answers.
	formedGrace = 150 * time.Millisecond
)

var errSeeds = errors.New("replica: the seeds disagree")

// former finds or founds the group of a replica that belongs to none yet.
type former struct {
	replica *replica
	// told is the last state written to the log, so that it is written once.
	told string
}

func newFormer(r *replica) {
	f := &former{replica: r}
	go func() {
		ticker := time.NewTicker(probeTicks * r.config.Tick)
		defer ticker.Stop()
		for {
			if founding, ok := f.round(); ok {
				r.founded <- founding
				return
			}
			select {
			case <-ticker.C:
			case <-r.halt:
				return
			case <-r.done:
				return
			}
		}
	}()
}

// round probes all seeds once and returns the founding configuration to take, if that is decided.
func (f *former) round() (disk.Founding, bool) {
	answers := f.probe()
	own := f.replica.Formation()
	for _, a := range answers {
		if a.Group == own.Group && a.admits(own.Identity) {
			event.GroupJoined.Write(f.replica.config.Logger, log.Fields{"replica": own.Name, "identity": own.Identity, "seed": a.Name})
			return a.Founding, true
		}
	}
	for _, a := range answers {
		if a.Formed {
			f.blank(a)
			return disk.Founding{}, false
		}
	}
	if f.replica.config.Join {
		return disk.Founding{}, false
	}
	founding, err := found(own, f.replica.config.Seeds, answers)
	if err != nil {
		f.tell(err.Error(), event.SeedsDisagree, log.Fields{"replica": own.Name, "error": err.Error()})
		return disk.Founding{}, false
	}
	if founding.ID == "" {
		return disk.Founding{}, false
	}
	event.GroupFounded.Write(f.replica.config.Logger, log.Fields{"replica": own.Name, "founding": founding.ID})
	return founding, true
}

// probe asks all seeds but this replica at once and returns the answers by the seeds' names.
func (f *former) probe() map[string]Formation {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	answers := map[string]Formation{}
	for _, s := range f.targets() {
		wait.Go(func() {
			a, err := f.replica.config.Transport.Probe(ctx, s.Address)
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

// targets returns the seeds and the other known addresses, without this replica.
func (f *former) targets() []Seed {
	c := f.replica.config
	all := slices.Clone(c.Seeds)
	if c.Peers != nil {
		for _, a := range c.Peers() {
			all = append(all, Seed{Name: a, Address: a})
		}
	}
	return slices.DeleteFunc(all, func(s Seed) bool { return s.Name == c.Name || s.Address == c.Address })
}

// blank notes that the group exists without this disk.
func (f *former) blank(a Formation) {
	f.replica.mu.Lock()
	f.replica.status.Role = RoleBlank
	f.replica.mu.Unlock()
	f.tell(RoleBlank, event.ReplicaBlank, log.Fields{"replica": f.replica.config.Name, "identity": f.replica.self.Identity, "seed": a.Name})
}

func (f *former) tell(state string, e event.Event, fields log.Fields) {
	if f.told == state {
		return
	}
	f.told = state
	e.Write(f.replica.config.Logger, fields)
}

// found returns the founding configuration when this replica founds the group and every seed answered; an empty one otherwise.
//
// Were each seed to found by itself, one could take a peer's identity just
// before that peer loses its disk, and another just after: two groups, each
// with an own first configuration. Only the first seed by name founds; the
// others take its configuration, and the random id of the founding keeps
// replicas of different foundings from counting each other.
func found(own Formation, seeds []Seed, answers map[string]Formation) (disk.Founding, error) {
	members := make([]raft.Member, 0, len(seeds))
	identities := map[raft.Identity]string{}
	first := len(seeds) > 0
	among := false
	for _, s := range seeds {
		a, ok := answers[s.Name]
		if s.Name == own.Name {
			a, ok, among = own, true, true
		}
		if !ok {
			return disk.Founding{}, nil
		}
		if a.Name != s.Name || a.Group != own.Group {
			return disk.Founding{}, fmt.Errorf("%w: %s is %q of group %d, not %q of group %d", errSeeds, s.Address, a.Name, a.Group, s.Name, own.Group)
		}
		if other, ok := identities[a.Identity]; ok {
			return disk.Founding{}, fmt.Errorf("%w: %s and %s have the same identity; one data folder is a copy of the other", errSeeds, other, s.Name)
		}
		identities[a.Identity] = s.Name
		first = first && own.Name <= s.Name
		members = append(members, raft.Member{Name: s.Name, Identity: a.Identity, Address: s.Address, Voter: true})
	}
	if !first || !among {
		return disk.Founding{}, nil
	}
	b := make([]byte, 8)
	if _, err := crand.Read(b); err != nil {
		return disk.Founding{}, err
	}
	return disk.Founding{ID: hex.EncodeToString(b), Configuration: raft.NewConfiguration(members...)}, nil
}
