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

// Three replicas start in any order. A group founded before all of them
// answered, or by two of them at once, could exist twice, and operators' edits
// would be accepted by one and be unknown to the other.
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
		got, err := found(all[s.Name], founders, answers)
		if err != nil || (got.ID != "") != (s.Name == "control-1") {
			t.Errorf("%s founded %+v, %v", s.Name, got, err)
		}
		delete(answers, "control-3")
		delete(answers, "control-2")
		if got, err := found(all[s.Name], founders, answers); err != nil || got.ID != "" {
			t.Errorf("%s founded %+v without an answer of all, %v", s.Name, got, err)
		}
	}
	spare := unformed("control-9", "z")
	if got, err := found(spare, founders, all); err != nil || got.ID != "" {
		t.Errorf("a replica that is no seed founded %+v, %v", got, err)
	}
}

// An operator copies a data folder to a second VM, or gives two VMs each
// other's addresses; founded like that, one disk would vote twice.
func TestSeedsThatDisagreeFoundNothing(t *testing.T) {
	for _, answers := range []map[string]Formation{
		{"control-2": unformed("control-2", "a"), "control-3": unformed("control-3", "c")},
		{"control-2": unformed("control-3", "b"), "control-3": unformed("control-2", "c")},
		{"control-2": {Name: "control-2", Identity: "b", Group: 7}, "control-3": unformed("control-3", "c")},
	} {
		if _, err := found(unformed("control-1", "a"), founders, answers); !errors.Is(err, errSeeds) {
			t.Errorf("got %v", err)
		}
	}
}

// A group exists; a replica joins it only if the group has its identity. One
// with an empty disk under a member's old name and address must not.
func TestGroupAdmitsIdentitiesNotNames(t *testing.T) {
	member := raft.Member{Name: "control-1", Identity: "a", Address: "10.0.0.1:7000", Voter: true}
	f := Formation{Name: "control-2", Identity: "b", Formed: true, Founding: disk.Founding{ID: "f", Configuration: raft.NewConfiguration(member)}}
	if !f.admits("a") || f.admits("new-a") {
		t.Error("the group does not go by identities")
	}
	f.Configuration = raft.NewConfiguration(member, raft.Member{Name: "control-1", Identity: "new-a"})
	if !f.admits("new-a") {
		t.Error("an admitted identity is refused")
	}
	f.Formed = false
	if f.admits("a") {
		t.Error("a replica without a group admitted one")
	}
}

// Bad node files get an error that says what stands twice or is missing,
// before anything is written.
func TestConfigIsChecked(t *testing.T) {
	good := Config{Name: "control-1", Address: "10.0.0.1:7000", Folder: t.TempDir(), Seeds: founders, Transport: port{}, Machine: &book{}}
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

// goneTransport reaches one replica of a group; all others never answer.
type goneTransport struct{ alive Formation }

func (goneTransport) Send(string, raft.Message) {}

func (x goneTransport) Probe(ctx context.Context, address string) (Formation, error) {
	if address == x.alive.Address {
		return x.alive, nil
	}
	<-ctx.Done()
	return Formation{}, ctx.Err()
}

// A machine is gone for good and its successor still has its address among the
// seeds. If each question waited for the one that never answers, the successor
// would be without a vote for seconds longer, and the next loss in that time would
// stop the control log.
func TestGoneSeedDoesNotHoldUpJoining(t *testing.T) {
	alive := Formation{Name: "control-1", Address: "10.0.0.1:7000", Formed: true, Founding: disk.Founding{ID: "f"}}
	f := &former{replica: &replica{config: Config{Name: "control-4", Address: "10.0.0.4:7000", Seeds: founders, Transport: goneTransport{alive}}}}
	began := time.Now()
	answers := f.probe()
	if took := time.Since(began); took > probeTimeout/2 {
		t.Errorf("the answer of the group was looked at after %s", took)
	}
	if len(answers) != 1 || !answers["control-1"].Formed {
		t.Errorf("got %+v", answers)
	}
}
