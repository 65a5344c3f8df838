package admission

import (
	"context"
	"errors"
	"testing"

	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/replica"
)

// fakeReplica is a replica that stands where the test says.
type fakeReplica struct {
	status replica.Status
}

func (r fakeReplica) Status() replica.Status                       { return r.status }
func (r fakeReplica) Promote(context.Context, raft.Identity) error { return nil }
func (r fakeReplica) Remove(context.Context, raft.Identity) error  { return nil }

// fakePeers are replicas by their address; it notes who was asked to take a member in.
type fakePeers struct {
	statuses map[string]replica.Status
	asked    string
}

func (p *fakePeers) Probe(context.Context, string) (replica.Formation, error) {
	return replica.Formation{}, errors.New("not asked here")
}

func (p *fakePeers) Status(_ context.Context, address string) (replica.Status, error) {
	s, ok := p.statuses[address]
	if !ok {
		return replica.Status{}, errors.New("unreachable")
	}
	return s, nil
}

func (p *fakePeers) Join(_ context.Context, address string, _ raft.Member) error {
	p.asked = address
	return nil
}

// A replica loses its disk while one leads that isn't a seed. It knows the seeds
// alone, and must find the leader through them, or it stays out for as long as that
// one leads and the next loss counts double.
func TestBlankReplicaFindsALeaderThatIsNoSeed(t *testing.T) {
	members := []raft.Member{
		{Identity: "1", Address: "seed-1", Voter: true},
		{Identity: "2", Address: "seed-2", Voter: true},
		{Identity: "3", Address: "other", Voter: true},
	}
	follower := replica.Status{Role: raft.Follower.String(), Term: 2, Leader: "other", LeaderAddress: "other", Members: members}
	leader := replica.Status{Role: raft.Leader.String(), Term: 2, Address: "other", Leader: "other", LeaderAddress: "other", Members: members}
	p := &fakePeers{statuses: map[string]replica.Status{"seed-1": follower, "seed-2": follower, "other": leader}}
	k := NewKeeper(Config{
		Replica:   fakeReplica{replica.Status{Identity: "9", Address: "blank", Role: replica.RoleBlank}},
		Peers:     p,
		Addresses: func() []string { return []string{"seed-1", "seed-2"} },
	})
	k.Look(t.Context())
	if p.asked != "other" {
		t.Errorf("asked %q to be taken in, the leader is at %q", p.asked, "other")
	}
}
