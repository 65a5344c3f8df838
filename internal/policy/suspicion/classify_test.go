package suspicion

import (
	"slices"
	"testing"
	"time"
)

func TestFingerprintsOfWorkspacesDiffer(t *testing.T) {
	if FingerprintOf("a", "bc", nil) == FingerprintOf("ab", "c", nil) || FingerprintOf("a", "m", []byte("x")) == FingerprintOf("b", "m", []byte("x")) {
		t.Error("different workspaces or models share a fingerprint")
	}
	f := FingerprintOf("a", "m", []byte("x"))
	if got, ok := Parse(f.String()); !ok || got != f {
		t.Error("a fingerprint differs after formatting and parsing")
	}
	if _, ok := Parse("zz"); ok {
		t.Error("an invalid fingerprint was parsed")
	}
}

// classify returns the standings of cases, each given by the letters of its lost servers; the losses
// happened in alphabetical order.
func classify(limit int, cases ...string) []Standing {
	var list []*FingerprintLosses
	for _, servers := range cases {
		c := &FingerprintLosses{Limit: limit}
		for _, n := range servers {
			c.Losses = append(c.Losses, Loss{Server: string(n), At: int64(n)})
		}
		list = append(list, c)
	}
	Classify(list)
	var got []Standing
	for _, c := range list {
		got = append(got, c.Standing)
	}
	return got
}

// A loss is attributed to every request that was running on the lost server. Each case lists the
// servers lost under each request and the expected standings.
func TestClassify(t *testing.T) {
	cases := []struct {
		name   string
		losses []string
		want   []Standing
	}{
		{"one server", []string{"a", "a"}, []Standing{Suspect, Suspect}},
		{"requests next to a faulty one", []string{"ab", "a", "b"}, []Standing{Quarantined, Suspect, Suspect}},
		{"another loss of one of two", []string{"ab", "ac"}, []Standing{Suspect, Quarantined}},
		{"always on the same servers", []string{"ab", "ab"}, []Standing{Quarantined, Quarantined}},
		{"next to two faulty requests", []string{"ab", "ac", "bd"}, []Standing{Suspect, Quarantined, Quarantined}},
		{"no common server", []string{"ab", "c"}, []Standing{Quarantined, Suspect}},
		{"no loss", []string{""}, []Standing{Clear}},
	}
	for _, c := range cases {
		if got := classify(2, c.losses...); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v instead of %v", c.name, got, c.want)
		}
	}
}

func TestClassifyCountsDifferentServers(t *testing.T) {
	again := &FingerprintLosses{Limit: 2, Losses: []Loss{{Server: "a", Incarnation: 1}, {Server: "a", Incarnation: 2}}}
	if Classify([]*FingerprintLosses{again}); again.Standing != Suspect {
		t.Errorf("one server twice: %s", again.Standing)
	}
	at := time.Unix(1000, 0)
	if got := Recent([]Loss{{At: at.UnixNano()}}, at.Add(time.Minute), time.Minute); len(got) != 0 {
		t.Errorf("an old loss counts: %v", got)
	}
}
