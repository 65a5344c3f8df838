package quarantine

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// partRun is a run of a workspace's prompt with those parts.
type partRun struct {
	workspace string
	parts     []string
}

func part(id string) suspicion.Fingerprint {
	return suspicion.FingerprintOfPart([]byte(id))
}

func parts(ids ...string) []suspicion.Fingerprint {
	all := make([]suspicion.Fingerprint, len(ids))
	for i, id := range ids {
		all[i] = part(id)
	}
	return all
}

// losses applies the loss of one server after the other, a second apart, under those runs.
func losses(t testing.TB, s Section, from int, all ...[]partRun) {
	t.Helper()
	for i, runs := range all {
		c := Lost{Server: fmt.Sprint("s", from+i), Servers: limit, PartServers: suspicion.DefaultPartServers, Window: window, Hold: time.Hour}
		for n, r := range runs {
			c.Running = append(c.Running, Running{
				Fingerprint: fingerprint(fmt.Sprint("request ", from+i, n)), Workspace: r.workspace, Age: time.Millisecond, Parts: parts(r.parts...),
			})
		}
		apply(t, s, start.Add(time.Duration(from+i)*time.Second), Command{Losses: []Lost{c}})
	}
}

// refused returns whether an entry that knows the section's periods refuses a prompt of those parts.
func refused(s Section, workspace string, ids ...string) bool {
	r, now := suspicion.NewRegister(), start.Add(time.Minute)
	for f, p := range s.Periods() {
		r.Apply(f, p, now)
	}
	_, no := r.Match(workspace, suspicion.Attributes{Parts: parts(ids...)}, now.Add(time.Second))
	return no
}

// Guards against a sound part that is refused everywhere because it comes beside a crashing one, and against the
// crashing one that isn't once it comes beside others.
func TestPartIsRefusedWithItsCompanionsUntilItCrashesWithout(t *testing.T) {
	s := New(Config{})
	run := []partRun{{"w", []string{"sound", "bad"}}}
	losses(t, s, 0, run, run, run)
	if !refused(s, "w", "sound", "bad", "x") || refused(s, "w", "sound", "x") || refused(s, "w", "bad", "x") {
		t.Error("not the parts together are refused")
	}
	losses(t, s, 3, []partRun{{"w", []string{"bad", "x"}}})
	if !refused(s, "w", "bad", "y") || refused(s, "w", "sound", "x") {
		t.Error("the part that crashed without the other one isn't refused")
	}
	s = New(Config{})
	losses(t, s, 0, run, run, run)
	apply(t, s, start.Add(time.Minute), Command{Answered: &Answered{Fingerprints: parts("sound")}})
	if !refused(s, "w", "bad", "y") || refused(s, "w", "sound", "x") {
		t.Error("the answer for the other part doesn't show which one crashes servers")
	}
}

// Guards against a workspace that names the parts of another one beside requests that crash servers for their own
// reasons, to have them refused.
func TestOneWorkspaceBlamesItsOwnPartsOnly(t *testing.T) {
	s := New(Config{})
	for i := range 4 {
		losses(t, s, i, []partRun{{"attacker", []string{"foreign", fmt.Sprint("own ", i)}}})
	}
	if !refused(s, "attacker", "foreign", "x") || refused(s, "victim", "foreign", "x") {
		t.Error("the part isn't refused to the workspace alone that lost servers with it")
	}
	losses(t, s, 4, []partRun{{"other", []string{"foreign"}}})
	if !refused(s, "third", "foreign") {
		t.Error("the part is allowed although servers were lost under it for two workspaces")
	}
}

// Guards against the refusal of a part that ran by chance on each of the servers that another one has crashed.
func TestPartThatRanBesideByChanceIsNotRefused(t *testing.T) {
	s := New(Config{})
	both := []partRun{{"w", []string{"bad"}}, {"v", []string{"beside"}}}
	losses(t, s, 0, both, both, both)
	if refused(s, "v", "beside") {
		t.Error("one of two parts with the same losses is refused")
	}
	losses(t, s, 3, both[:1])
	if !refused(s, "w", "bad") || refused(s, "v", "beside") {
		t.Error("after one more loss the parts aren't told apart")
	}
}

// Guards against parts that are never refused where the servers are few and come back under their IDs.
func TestPartThatCrashesOneServerAgainAndAgainIsRefused(t *testing.T) {
	s := New(Config{})
	for n := range 5 {
		c := Lost{Server: "only", Incarnation: uint64(n), Servers: limit, PartServers: suspicion.DefaultPartServers, Window: window}
		c.Running = []Running{{Fingerprint: fingerprint(fmt.Sprint(n)), Workspace: "w", Age: time.Millisecond, Parts: parts("bad")}}
		if refused(s, "w", "bad") {
			t.Errorf("refused after %d losses of one server", n)
		}
		apply(t, s, start.Add(time.Duration(n)*time.Second), Command{Losses: []Lost{c}})
	}
	if !refused(s, "w", "bad") {
		t.Error("not refused after five losses")
	}
}

// Guards against the blame of a part for servers that others ended while they were answering.
func TestLossesOfServersThatHadBegunCountLess(t *testing.T) {
	s := New(Config{})
	lose := func(n int, began ...bool) {
		c := Lost{Server: fmt.Sprint("s", n), Servers: limit, PartServers: suspicion.DefaultPartServers, Window: window}
		for i, b := range began {
			c.Running = append(c.Running, Running{Fingerprint: fingerprint(fmt.Sprint(n, i)), Workspace: "w", Age: time.Millisecond, Parts: parts("x"), Began: b})
		}
		apply(t, s, start.Add(time.Duration(n)*time.Second), Command{Losses: []Lost{c}})
	}
	lose(0, false)
	lose(1, true)
	lose(2, false)
	if refused(s, "w", "x") {
		t.Error("refused although one of three servers had begun its answer")
	}
	lose(3, true)
	if !refused(s, "w", "x") {
		t.Error("not refused after four servers")
	}
	s = New(Config{})
	for n := range suspicion.DefaultPartServers {
		lose(n, true, false)
	}
	if !refused(s, "w", "x") {
		t.Error("not refused although each of three servers had a run that had not begun")
	}
}

// Guards against a crashing part that is never refused because its record is full of losses that another one explains.
func TestPartWithManyExplainedLossesIsRefusedForFurtherOnes(t *testing.T) {
	s := New(Config{})
	both := []partRun{{"w", []string{"first bad"}}, {"v", []string{"second bad"}}}
	losses(t, s, 0, both[:1], both, both, both, both, both, both, both, both)
	if !refused(s, "w", "first bad") || refused(s, "v", "second bad") {
		t.Fatal("the part with a further loss isn't the only one that is refused")
	}
	losses(t, s, 9, both[1:], both[1:], both[1:])
	if !refused(s, "v", "second bad") {
		t.Error("three servers were lost under the other part alone, and it isn't refused")
	}
}

// Guards against the blame of a part for servers that fail at the same moment.
func TestServersThatFailTogetherBlameNoPart(t *testing.T) {
	s := New(Config{})
	var all []Lost
	for i := range 5 {
		all = append(all, Lost{
			Server: fmt.Sprint("s", i), Servers: limit, PartServers: suspicion.DefaultPartServers, Window: window,
			Running: []Running{{Fingerprint: fingerprint(fmt.Sprint(i)), Workspace: "w", Age: time.Second, Parts: parts("popular")}},
		})
	}
	apply(t, s, start, Command{Losses: all})
	if refused(s, "w", "popular") {
		t.Error("refused")
	}
}

// Guards against callers that fill the memory with parts, or that push out the crashing one.
func TestRecordsOfPartsAreBounded(t *testing.T) {
	s := New(Config{})
	for i := range 200 {
		var names []string
		for n := range 2 * suspicion.MaxParts {
			names = append(names, fmt.Sprint(i, " ", n))
		}
		names[0] = "bad"
		losses(t, s, i, []partRun{{"w", names}})
		if n := s.(*quarantine).parts; n > maxParts {
			t.Fatalf("%d records of parts", n)
		}
	}
	if !refused(s, "w", "bad") {
		t.Error("the crashing part isn't refused")
	}
	restored(t, s)
}
