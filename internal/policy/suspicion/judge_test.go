package suspicion

import (
	"slices"
	"testing"
	"time"
)

func TestFingerprintsOfWorkspacesDiffer(t *testing.T) {
	if Of("a", "bc", nil) == Of("ab", "c", nil) || Of("a", "m", []byte("x")) == Of("b", "m", []byte("x")) {
		t.Error("two workspaces share a fingerprint")
	}
	f := Of("a", "m", []byte("x"))
	if got, ok := Parse(f.String()); !ok || got != f {
		t.Error("a fingerprint doesn't survive its text")
	}
	if _, ok := Parse("zz"); ok {
		t.Error("nonsense was parsed")
	}
}

// judge returns the standings of cases with the given servers; losses come in the order of their letters.
func judge(limit int, cases ...string) []Standing {
	var list []*Case
	for _, servers := range cases {
		c := &Case{}
		for _, n := range servers {
			c.Losses = append(c.Losses, Loss{Server: string(n), At: int64(n)})
		}
		list = append(list, c)
	}
	Judge(list, limit)
	var got []Standing
	for _, c := range list {
		got = append(got, c.Standing)
	}
	return got
}

// Requests share the losses of the servers that they ran on. Each case names
// the servers lost under each request, and what is thought of it then.
func TestJudge(t *testing.T) {
	cases := []struct {
		name   string
		losses []string
		want   []Standing
	}{
		{"one server", []string{"a", "a"}, []Standing{Suspect, Suspect}},
		{"companions of a culprit", []string{"ab", "a", "b"}, []Standing{Quarantined, Suspect, Suspect}},
		{"another loss of a companion", []string{"ab", "ac"}, []Standing{Suspect, Quarantined}},
		{"always together", []string{"ab", "ab"}, []Standing{Quarantined, Quarantined}},
		{"beside two culprits", []string{"ab", "ac", "bd"}, []Standing{Suspect, Quarantined, Quarantined}},
		{"apart", []string{"ab", "c"}, []Standing{Quarantined, Suspect}},
		{"none", []string{""}, []Standing{Clear}},
	}
	for _, c := range cases {
		if got := judge(2, c.losses...); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v instead of %v", c.name, got, c.want)
		}
	}
}

func TestJudgeCountsDifferentServers(t *testing.T) {
	again := &Case{Losses: []Loss{{Server: "a", Incarnation: 1}, {Server: "a", Incarnation: 2}}}
	if Judge([]*Case{again}, 2); again.Standing != Suspect {
		t.Errorf("one server twice: %s", again.Standing)
	}
	at := time.Unix(1000, 0)
	if got := Recent([]Loss{{At: at.UnixNano()}}, at.Add(time.Minute), time.Minute); len(got) != 0 {
		t.Errorf("an old loss counts: %v", got)
	}
}
