package replica

import (
	"context"
	"errors"
	"testing"
	"time"

	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/raft"
)

var founders = []Seed{{"control-1", "10.0.0.1:7000"}, {"control-2", "10.0.0.2:7000"}, {"control-3", "10.0.0.3:7000"}}

func unformed(name string, id raft.Identity) Formation {
	return Formation{Name: name, Identity: id}
}

// Three replicas start in any order. If a group were founded before all of them
// answered, or by two of them, there could be two groups, and an operator's edit
// accepted by one would be unknown to the other.
func TestOnlyTheFirstSeedFoundsAndOnlyWithAll(t *testing.T) {
	all := map[string]Formation{
		"control-1": unformed("control-1", "a"), "control-2": unformed("control-2", "b"), "control-3": unformed("control-3", "c"),
	}
	for _, s := range founders {
		answers := map[string]Formation{}
		for name, a := range all {
			if name != s.Name {
				answers[name] = a
			}
		}
		got, err := newFounding(all[s.Name], founders, answers)
		if err != nil || (got.ID != "") != (s.Name == "control-1") {
			t.Errorf("%s founded %+v, %v", s.Name, got, err)
		}
		delete(answers, "control-3")
		delete(answers, "control-2")
		if got, err := newFounding(all[s.Name], founders, answers); err != nil || got.ID != "" {
			t.Errorf("%s founded %+v without answers of all seeds, %v", s.Name, got, err)
		}
	}
	spare := unformed("control-9", "z")
	if got, err := newFounding(spare, founders, all); err != nil || got.ID != "" {
		t.Errorf("a replica that is not a seed founded %+v, %v", got, err)
	}
}

// An operator copies a data folder to a second VM, or swaps the addresses of two
// VMs. In a group founded from these answers one disk could vote twice.
func TestSeedsThatDisagreeFoundNothing(t *testing.T) {
	for _, answers := range []map[string]Formation{
		{"control-2": unformed("control-2", "a"), "control-3": unformed("control-3", "c")},
		{"control-2": unformed("control-3", "b"), "control-3": unformed("control-2", "c")},
		{"control-2": {Name: "control-2", Identity: "b", Group: 7}, "control-3": unformed("control-3", "c")},
	} {
		if _, err := newFounding(unformed("control-1", "a"), founders, answers); !errors.Is(err, errSeedsDisagree) {
			t.Errorf("got %v", err)
		}
	}
}

// A replica may join an existing group only if its identity is a member. A
// replica with an empty disk under a member's name and address must not join.
func TestGroupAdmitsIdentitiesNotNames(t *testing.T) {
	member := raft.Member{Name: "control-1", Identity: "a", Address: "10.0.0.1:7000", Voter: true}
	f := Formation{Name: "control-2", Identity: "b", Formed: true, Founding: disk.Founding{ID: "f", Configuration: raft.NewConfiguration(member)}}
	if !f.hasMember("a") || f.hasMember("new-a") {
		t.Error("membership is not determined by identity")
	}
	f.Configuration = raft.NewConfiguration(member, raft.Member{Name: "control-1", Identity: "new-a"})
	if !f.hasMember("new-a") {
		t.Error("an admitted identity is rejected")
	}
	f.Formed = false
	if f.hasMember("a") {
		t.Error("a replica without a group reports a member")
	}
}

// An invalid node file is rejected with an error that names the duplicate or missing
// setting, before anything is written.
func TestConfigIsChecked(t *testing.T) {
	good := Config{Name: "control-1", Address: "10.0.0.1:7000", Folder: t.TempDir(), Seeds: founders, Transport: testTransport{}, Machine: &commandRecorder{}}
	for _, change := range []func(*Config){
		func(c *Config) { c.Name = "" },
		func(c *Config) { c.Address = "" },
		func(c *Config) { c.Folder = "" },
		func(c *Config) { c.Transport = nil },
		func(c *Config) { c.Address = "10.0.0.2:7000" },
		func(c *Config) { c.Seeds = append([]Seed{{"control-1", "10.0.0.9:7000"}}, founders...) },
		func(c *Config) { c.Seeds = append([]Seed{{"control-9", "10.0.0.1:7000"}}, founders...) },
	} {
		bad := good
		change(&bad)
		if _, err := New(bad); err == nil {
			t.Errorf("accepted %+v", bad)
		}
	}
	if err := good.validate(); err != nil {
		t.Error(err)
	}
}

// oneReachableTransport is a Transport that reaches one replica of a group; all other replicas never answer.
type oneReachableTransport struct{ reachable Formation }

func (oneReachableTransport) Send(string, raft.Message) {}

func (x oneReachableTransport) Probe(ctx context.Context, address string) (Formation, error) {
	if address == x.reachable.Address {
		return x.reachable, nil
	}
	<-ctx.Done()
	return Formation{}, ctx.Err()
}

// A VM is lost for good, and its replacement still lists its address among the
// seeds. If each probe round waited for the seed that never answers, the
// replacement would be without a vote for seconds longer, and another loss in that
// time would stop the control log.
func TestUnreachableSeedDoesNotDelayJoining(t *testing.T) {
	reachable := Formation{Name: "control-1", Address: "10.0.0.1:7000", Formed: true, Founding: disk.Founding{ID: "f"}}
	b := &bootstrapper{replica: &replica{config: Config{Name: "control-4", Address: "10.0.0.4:7000", Seeds: founders, Transport: oneReachableTransport{reachable}}}}
	began := time.Now()
	answers := b.probe()
	if took := time.Since(began); took > probeTimeout/2 {
		t.Errorf("the probe round took %s although the group had answered", took)
	}
	if len(answers) != 1 || !answers["control-1"].Formed {
		t.Errorf("got %+v", answers)
	}
}
