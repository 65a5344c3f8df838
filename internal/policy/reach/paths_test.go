package reach

import (
	"fmt"
	"testing"
	"time"
)

// testPaths are paths with a clock that the test advances.
type testPaths struct {
	Paths
	now time.Time
}

func newTestPaths() *testPaths {
	return &testPaths{Paths: New(), now: time.Unix(1_700_000_000, 0)}
}

func (p *testPaths) after(d time.Duration) *testPaths {
	p.now = p.now.Add(d)
	return p
}

// attempt records an attempt that took some time.
func (p *testPaths) attempt(address string, path Path, o Outcome, took time.Duration) Change {
	return p.Record(Attempt{Address: address, Path: path, Outcome: o, Began: p.now, Ended: p.now.Add(took)})
}

// Guards against an entry that takes its own lost links for the loss of a server, or the loss of a server for that
// of its links.
func TestCutOffNeedsFailedConnectionAndTunnel(t *testing.T) {
	const rtt = 2 * time.Millisecond
	for _, x := range []struct {
		name            string
		direct, tunnel  Outcome
		cut             bool
		directWasSlower bool
	}{
		{"both connect", Connected, Connected, false, false},
		{"refused, a tunnel connects", Refused, Connected, true, false},
		{"times out, a tunnel connects", Failed, Connected, true, false},
		{"times out after a tunnel has connected", Failed, Connected, true, true},
		{"refused on both", Refused, Refused, false, false},
		{"times out on both", Failed, Failed, false, false},
		{"refused, no peer", Refused, NoPeer, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := newTestPaths()
			if x.directWasSlower {
				p.attempt("s", Tunnel, x.tunnel, rtt)
				p.attempt("s", Direct, x.direct, 400*time.Millisecond)
			} else {
				p.attempt("s", Direct, x.direct, rtt)
				p.attempt("s", Tunnel, x.tunnel, 2*rtt)
			}
			if p.CutOff("s") != x.cut {
				t.Errorf("cut off is %t, want %t", !x.cut, x.cut)
			}
			want := 0
			if x.cut {
				want = 1
			}
			if p.Len() != want {
				t.Errorf("%d servers are cut off, want %d", p.Len(), want)
			}
		})
	}
}

// Guards against a cut that is held for good, and against a direct attempt for each request while it lasts.
func TestCutIsProbedAndEnds(t *testing.T) {
	p := newTestPaths()
	p.attempt("s", Direct, Refused, time.Millisecond)
	p.attempt("s", Tunnel, Connected, 2*time.Millisecond)
	p.after(10 * time.Millisecond)
	if x := p.Plan("s", p.now); x.First != Tunnel || x.Other == 0 {
		t.Errorf("right after the cut the plan is %+v", x)
	}
	probes := 0
	for range 1000 {
		if x := p.after(5*time.Millisecond).Plan("s", p.now); x.Other == 0 {
			probes++
		}
	}
	if probes < 4 || probes > 6 {
		t.Errorf("%d direct attempts in 5 s, want one a second", probes)
	}
	if got := p.attempt("s", Direct, Connected, time.Millisecond); got != Regained || p.CutOff("s") || p.Len() != 0 {
		t.Errorf("a direct connection changed %d, cut off is %t", got, p.CutOff("s"))
	}
	if x := p.Plan("s", p.now); x.First != Direct {
		t.Errorf("after the cut the plan is %+v", x)
	}
}

// Guards against a cut that lasts while nothing connects anew, against two direct attempts where one will do, and
// against probes of servers that nothing uses any more.
func TestProbes(t *testing.T) {
	p := newTestPaths()
	due := func() int {
		n := 0
		for _, x := range p.Probes(p.now) {
			if x != (Probe{Server: "name", Address: "s"}) {
				t.Errorf("the probe is %+v", x)
			}
			n++
		}
		return n
	}
	fail := func(path Path, o Outcome, took time.Duration) {
		p.Record(Attempt{Server: "name", Address: "s", Path: path, Outcome: o, Began: p.now, Ended: p.now.Add(took)})
	}
	fail(Direct, Refused, time.Millisecond)
	if p.after(10 * time.Second); due() != 0 {
		t.Error("a server that isn't cut off is probed")
	}
	fail(Direct, Refused, time.Millisecond)
	fail(Tunnel, Connected, 2*time.Millisecond)
	if due() != 0 {
		t.Error("a probe right after the direct attempt that failed")
	}
	n := 0
	for range 1000 {
		p.after(5 * time.Millisecond)
		if p.Plan("s", p.now).Other == 0 {
			n++
		}
		n += due()
	}
	if n < 4 || n > 6 {
		t.Errorf("%d direct attempts in 5 s, want one a second", n)
	}
	n = 0
	probe := Attempt{Server: "name", Address: "s", Path: Direct, Outcome: Failed, Probe: true}
	for range 10 * forgetAfter / time.Second {
		p.after(time.Second)
		n += due()
		probe.Began, probe.Ended = p.now, p.now.Add(400*time.Millisecond)
		if got := p.Record(probe); got != Unchanged {
			t.Errorf("a probe that fails changed %d", got)
		}
	}
	if most := int(2 * forgetAfter / time.Second); n == 0 || n > most+1 || p.Len() != 0 {
		t.Errorf("an unused server is probed %d times, at most %d allowed, and %d are cut off", n, most, p.Len())
	}
	if n := len(p.Paths.(*paths).servers); n != 0 {
		t.Errorf("%d servers are kept", n)
	}
}

// Guards against a server that counts as lost, because failures of probes tell less about this entry than those of
// other direct attempts.
func TestProbesThatFailPointToTheEntry(t *testing.T) {
	p := newTestPaths()
	p.attempt("a", Direct, Failed, 400*time.Millisecond)
	p.attempt("a", Tunnel, Connected, 60*time.Millisecond)
	p.after(2 * failureWindow)
	p.Record(Attempt{Address: "a", Path: Direct, Outcome: Refused, Began: p.now, Ended: p.now.Add(time.Millisecond), Probe: true})
	p.after(probeInterval).attempt("b", Direct, Refused, time.Millisecond)
	if p.OnlyOne("b", p.now) || !p.CutOff("a") {
		t.Error("a failure counts against the server although the entry is cut off from another one")
	}
}

// Guards against probes of all servers of a large site at one time.
func TestProbesAreBounded(t *testing.T) {
	p := newTestPaths()
	const servers = 3*maxProbes + 1
	for i := range servers {
		p.attempt(fmt.Sprint(i), Direct, Refused, 0)
		p.attempt(fmt.Sprint(i), Tunnel, Connected, time.Millisecond)
	}
	p.after(2 * probeInterval)
	probed := map[string]bool{}
	for range servers/maxProbes + 1 {
		due := p.Probes(p.now)
		if len(due) > maxProbes {
			t.Errorf("%d probes at one time", len(due))
		}
		for _, x := range due {
			probed[x.Address] = true
		}
	}
	if len(probed) != servers {
		t.Errorf("%d of %d servers were probed", len(probed), servers)
	}
}

// Guards against a tunnel for each new connection to a server that is far away.
func TestDirectConnectionMayTakeSomeHandshakes(t *testing.T) {
	p := newTestPaths()
	if x := p.Plan("s", p.now); x.Other != minOther {
		t.Errorf("the first direct connection may take %v", x.Other)
	}
	p.attempt("s", Direct, Connected, 40*time.Millisecond)
	if x := p.Plan("s", p.now); x.Other != handshakes*40*time.Millisecond {
		t.Errorf("after a handshake of 40 ms a direct connection may take %v", x.Other)
	}
	p.attempt("s", Direct, Connected, time.Second)
	if x := p.Plan("s", p.now); x.Other != maxOther {
		t.Errorf("after a handshake of 1 s a direct connection may take %v", x.Other)
	}
}

// Guards against requests on kept connections that a cut has broken without a reset, and against closing those that
// live on.
func TestConnectionsFromBeforeACutAreNotTrusted(t *testing.T) {
	p := newTestPaths()
	for _, s := range []string{"a", "b", "c"} {
		p.attempt(s, Direct, Connected, time.Millisecond)
	}
	before := p.now.Add(time.Millisecond)
	p.after(time.Second)
	p.attempt("a", Direct, Failed, 400*time.Millisecond)
	p.attempt("a", Tunnel, Connected, 60*time.Millisecond)
	later := p.now.Add(10 * time.Millisecond)
	p.after(500*time.Millisecond).Received("c", p.now)
	for _, x := range []struct {
		server     string
		receivedAt time.Time
		want       bool
	}{{"a", before, false}, {"a", later, true}, {"b", before, false}, {"b", later, true}, {"c", before, true}, {"new", before, true}} {
		if got := p.Trusted(x.server, x.receivedAt); got != x.want {
			t.Errorf("server %s, receivedAt at %v: trusted is %t", x.server, x.receivedAt.Sub(before), got)
		}
	}
	p.Silent("a", later)
	if p.Trusted("a", later) {
		t.Error("a connection is trusted although another one that lived on as long has become silent")
	}
	if p.attempt("a", Direct, Connected, time.Millisecond); p.Trusted("a", before) {
		t.Error("a connection that a cut has broken is trusted after the cut")
	}
}

// Guards against the end of responses that come on connections that live on, and against waiting on those that don't.
func TestConnectionsHangOnlyWhereNewOnesDo(t *testing.T) {
	for _, x := range []struct {
		direct Outcome
		want   bool
	}{{Failed, true}, {Refused, false}} {
		p := newTestPaths()
		p.attempt("s", Direct, Connected, time.Millisecond)
		sent := p.after(time.Second).now
		p.attempt("s", Direct, x.direct, 400*time.Millisecond)
		if p.Hangs("s", sent) {
			t.Error("a connection hangs although no tunnel has shown that the server is there")
		}
		p.attempt("s", Tunnel, Connected, 10*time.Millisecond)
		if p.Hangs("s", sent) != x.want {
			t.Errorf("after outcome %d a connection hangs: %t", x.direct, !x.want)
		}
		p.after(time.Second).Received("s", p.now)
		if p.Hangs("s", sent) {
			t.Error("a connection hangs although bytes have come")
		}
	}
}

// Guards against a failure of the entry's own links that counts against each server, and against a lost server
// that counts as a failure of the links.
func TestFailuresOfSeveralServersPointToTheEntry(t *testing.T) {
	p := newTestPaths()
	p.attempt("a", Direct, Refused, time.Millisecond)
	if !p.OnlyOne("a", p.now) {
		t.Error("the first failure doesn't count against the server")
	}
	p.after(10*time.Millisecond).attempt("b", Direct, Refused, time.Millisecond)
	if p.OnlyOne("b", p.now) {
		t.Error("the second failure counts against the server")
	}
	p.after(10*time.Millisecond).Received("c", p.now)
	if !p.OnlyOne("b", p.now) {
		t.Error("a failure doesn't count against the server although another one answers")
	}
}

// Guards against an entry that takes callers although no path leads to any server, and one that never takes them
// again.
func TestIsolation(t *testing.T) {
	p := newTestPaths()
	fail := func(s string) {
		p.attempt(s, Direct, Failed, 400*time.Millisecond)
		p.attempt(s, Tunnel, NoPeer, 400*time.Millisecond)
		p.after(400 * time.Millisecond)
	}
	p.attempt("a", Direct, Connected, time.Millisecond)
	p.after(time.Second)
	fail("a")
	if p.Isolated(p.now) {
		t.Error("isolated after the failure of one server")
	}
	fail("b")
	if p.Isolated(p.now) {
		t.Error("isolated although the first tunnel may still be established")
	}
	fail("b")
	if !p.Isolated(p.now) {
		t.Error("not isolated after the failures of two servers")
	}
	trials := 0
	for i := range 1000 {
		if p.Trial(p.now.Add(time.Duration(i) * time.Millisecond)) {
			trials++
		}
	}
	if trials != 10 {
		t.Errorf("%d requests are tried in a second, want 10", trials)
	}
	if p.Isolated(p.now.Add(failureWindow)) {
		t.Error("still isolated although nothing was tried")
	}
	p.after(time.Millisecond).attempt("a", Tunnel, Refused, time.Millisecond)
	if p.Isolated(p.now.Add(time.Millisecond)) {
		t.Error("isolated although another entry has answered")
	}
}

// Guards against memory for each address that a server ever had.
func TestUnusedServersAreForgotten(t *testing.T) {
	p := newTestPaths()
	for i := range 100 {
		s := fmt.Sprint("old-", i)
		p.attempt(s, Direct, Refused, 0)
		p.attempt(s, Tunnel, Connected, time.Millisecond)
	}
	p.after(2*forgetAfter).Received("new", p.now)
	if n := len(p.Paths.(*paths).servers); n != 1 || p.Len() != 0 {
		t.Errorf("%d servers are kept, %d cut off", n, p.Len())
	}
}

// Guards against a server that refused a connection and counts as one that has run all the time.
func TestRefusalsAreKept(t *testing.T) {
	const rtt = 2 * time.Millisecond
	for _, x := range []struct {
		name           string
		direct, tunnel Outcome
		refused        bool
	}{
		{"connects", Connected, NoPeer, false},
		{"times out", Failed, NoPeer, false},
		{"refused, no peer", Refused, NoPeer, true},
		{"refused on both", Refused, Refused, true},
		{"refused in a tunnel", Failed, Refused, true},
		{"refused, a tunnel connects", Refused, Connected, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := newTestPaths()
			p.attempt("s", Direct, x.direct, rtt)
			p.attempt("s", Tunnel, x.tunnel, rtt)
			if at := p.RefusedAt("s"); at.IsZero() == x.refused {
				t.Errorf("refused at %v", at)
			}
			p.after(time.Second).attempt("s", Direct, Connected, rtt)
			if at := p.RefusedAt("s"); at.IsZero() == x.refused {
				t.Errorf("refused at %v once a connection was established", at)
			}
		})
	}
}
