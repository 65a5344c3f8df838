package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/replica"
)

// fakeReplica is a replica with a fixed status.
type fakeReplica struct {
	status replica.Status
}

func (r fakeReplica) Status() replica.Status                       { return r.status }
func (r fakeReplica) Promote(context.Context, raft.Identity) error { return nil }
func (r fakeReplica) Remove(context.Context, raft.Identity) error  { return nil }

// fakePeers are replicas by address. It records whose status was requested and which replica was asked to add a member.
type fakePeers struct {
	statuses map[string]replica.Status
	joinedAt string

	mu    sync.Mutex
	calls []string
}

func (p *fakePeers) Probe(context.Context, string) (replica.Formation, error) {
	return replica.Formation{}, errors.New("not probed in these tests")
}

func (p *fakePeers) Status(_ context.Context, address string) (replica.Status, error) {
	p.mu.Lock()
	p.calls = append(p.calls, address)
	p.mu.Unlock()
	s, ok := p.statuses[address]
	if !ok {
		return replica.Status{}, errors.New("unreachable")
	}
	return s, nil
}

func (p *fakePeers) Join(_ context.Context, address string, _ raft.Member) error {
	p.joinedAt = address
	return nil
}

// Guards against a replica that lost its disk and can't join while no seed is the leader.
func TestBlankReplicaFindsALeaderThatIsNoSeed(t *testing.T) {
	members := []raft.Member{
		{Identity: "1", Address: "seed-1", Voter: true},
		{Identity: "2", Address: "seed-2", Voter: true},
		{Identity: "3", Address: "other", Voter: true},
	}
	follower := replica.Status{Role: raft.Follower.String(), Term: 2, Leader: "other", LeaderAddress: "other", Members: members}
	leader := replica.Status{Role: raft.Leader.String(), Term: 2, Address: "other", Leader: "other", LeaderAddress: "other", Members: members}
	p := &fakePeers{statuses: map[string]replica.Status{"seed-1": follower, "seed-2": follower, "other": leader}}
	r := NewReconciler(Config{
		Replica:   fakeReplica{replica.Status{Identity: "9", Address: "blank", Role: replica.RoleBlank}},
		Peers:     p,
		Addresses: func() []string { return []string{"seed-1", "seed-2"} },
	})
	r.Reconcile(t.Context())
	if p.joinedAt != "other" {
		t.Errorf("asked %q to join, the leader is at %q", p.joinedAt, "other")
	}
}

// blankReconciler returns the Reconciler of a replica that lost its disk and knows only the given addresses.
func blankReconciler(p Peers, known ...string) Reconciler {
	return NewReconciler(Config{
		Replica:   fakeReplica{replica.Status{Identity: "9", Address: "blank", Role: replica.RoleBlank}},
		Peers:     p,
		Addresses: func() []string { return known },
	})
}

// Guards against a replica that lost its disk and asks a former leader, which a partitioned seed still reports.
func TestBlankReplicaIgnoresAFormerLeader(t *testing.T) {
	stale := replica.Status{Role: raft.Follower.String(), Term: 2, LeaderAddress: "former"}
	fresh := replica.Status{Role: raft.Follower.String(), Term: 3, LeaderAddress: "leader"}
	former := replica.Status{Role: raft.Follower.String(), Term: 3, Address: "former", LeaderAddress: "leader"}
	leader := replica.Status{Role: raft.Leader.String(), Term: 3, Address: "leader"}
	p := &fakePeers{statuses: map[string]replica.Status{"seed-1": stale, "former": former, "seed-2": fresh, "leader": leader}}
	blankReconciler(p, "seed-1").Reconcile(t.Context())
	if p.joinedAt != "" {
		t.Errorf("asked %q to join, which isn't the leader", p.joinedAt)
	}
	blankReconciler(p, "seed-1", "seed-2").Reconcile(t.Context())
	if p.joinedAt != "leader" {
		t.Errorf("asked %q to join, the leader is at %q", p.joinedAt, "leader")
	}
}

// Guards against a replica that lost its disk and queries every leader that others report.
func TestBlankReplicaQueriesFewReportedLeaders(t *testing.T) {
	p := &fakePeers{statuses: map[string]replica.Status{}}
	var known []string
	for i := range uint64(20) {
		a := fmt.Sprint("seed-", i)
		known = append(known, a)
		p.statuses[a] = replica.Status{Role: raft.Follower.String(), Term: i, LeaderAddress: fmt.Sprint("reported-", i)}
	}
	p.statuses["reported-19"] = replica.Status{Role: raft.Leader.String(), Term: 19, Address: "reported-19"}
	blankReconciler(p, known...).Reconcile(t.Context())
	if p.joinedAt != "reported-19" {
		t.Errorf("asked %q to join, the leader is at %q", p.joinedAt, "reported-19")
	}
	if limit := len(known) + maxReported; len(p.calls) > limit {
		t.Errorf("the status of %d replicas was requested, the limit is %d", len(p.calls), limit)
	}
}

// Guards against a replica that can't join and logs nothing about it.
func TestFailedSearchIsLoggedOnce(t *testing.T) {
	follower := replica.Status{Role: raft.Follower.String(), Term: 2, LeaderAddress: "leader"}
	p := &fakePeers{statuses: map[string]replica.Status{"seed-1": follower}}
	handler := memory.New()
	r := NewReconciler(Config{
		Replica:   fakeReplica{replica.Status{Name: "r", Identity: "9", Address: "blank", Role: replica.RoleBlank}},
		Peers:     p,
		Addresses: func() []string { return []string{"seed-1"} },
		Logger:    &log.Logger{Handler: handler, Level: log.InfoLevel},
	})
	logged := func() int {
		n := 0
		for _, e := range handler.Entries {
			if e.Message == "leader-not-found" {
				n++
			}
		}
		return n
	}
	r.Reconcile(t.Context())
	r.Reconcile(t.Context())
	if logged() != 1 {
		t.Fatalf("logged %d times in one search", logged())
	}
	p.statuses["leader"] = replica.Status{Role: raft.Leader.String(), Term: 2, Address: "leader"}
	r.Reconcile(t.Context())
	delete(p.statuses, "leader")
	r.Reconcile(t.Context())
	if logged() != 2 {
		t.Errorf("logged %d times in two searches", logged())
	}
}
