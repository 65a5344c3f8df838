package quarantine

import (
	"fmt"
	"testing"
	"time"

	section "hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/policy/suspicion"
)

// othersAnswered is how many other requests are answered, as many as are remembered.
const othersAnswered = 4096

var (
	now = time.UnixMilli(1_800_000_000_000)
	x   = suspicion.FingerprintOf("w", "POST h/x", nil)
)

func period(version uint64, quarantined bool, firstLoss time.Time) suspicion.Period {
	return suspicion.Period{Version: version, Quarantined: quarantined, FirstLoss: firstLoss.UnixMilli(), Release: now.Add(time.Hour).UnixMilli()}
}

// refusedFor returns for how long the request x is refused.
func refusedFor(g Guard, now time.Time) time.Duration {
	m, _ := g.Quarantined("w", suspicion.Attributes{Request: x}, now)
	return m.RetryAfter
}

// whole returns the attributes of a request without parts.
func whole(f suspicion.Fingerprint) suspicion.Attributes {
	return suspicion.Attributes{Request: f}
}

func newGuard(responded map[string]time.Time) Guard {
	return New(Config{Signs: func(server string) Signs { return Signs{RespondedAt: responded[server]} }})
}

// Guards against a row of a replica that lags behind, which would undo a newer one.
func TestOlderRowsChangeNothing(t *testing.T) {
	g := newGuard(nil)
	g.Apply(x, period(5, true, now), now)
	if d := refusedFor(g, now); d != time.Hour {
		t.Fatalf("quarantined for %s", d)
	}
	g.Apply(x, period(6, false, now), now)
	g.Apply(x, period(5, true, now), now)
	if d := refusedFor(g, now); d != 0 || g.Len() != 0 {
		t.Errorf("quarantined for %s, %d in all", d, g.Len())
	}
	g.Apply(x, period(7, true, now), now)
	if d := refusedFor(g, now.Add(2*time.Hour)); d != 0 {
		t.Errorf("after its release quarantined for %s", d)
	}
}

// Guards against the refusal of a request that servers have answered between their losses, and against a request
// that stays quarantined because it was answered long before them.
func TestAnsweredRequestIsRefuted(t *testing.T) {
	for _, c := range []struct {
		answered time.Duration
		want     bool
	}{{-time.Second, false}, {time.Second, true}} {
		g := newGuard(nil)
		g.Answered(whole(x), now.Add(c.answered))
		for i := range othersAnswered {
			g.Answered(whole(suspicion.FingerprintOf("w", fmt.Sprint(i), nil)), now)
		}
		g.Apply(x, period(1, true, now), now.Add(2*time.Second))
		if p, ok := g.Pending(now.Add(2 * time.Second)); ok != c.want || ok && p.Answered == nil {
			t.Errorf("answered %s after the first loss: pending %+v", c.answered, p)
		}
	}
	g := newGuard(nil)
	g.Apply(x, period(1, true, now), now)
	g.Answered(whole(x), now.Add(time.Second))
	if _, ok := g.Pending(now.Add(time.Second)); !ok {
		t.Error("an answer that arrived during the quarantine is not reported")
	}
	g.Reported(section.Result{}, now)
	if _, ok := g.Pending(now.Add(time.Second)); ok {
		t.Error("the answer is reported twice")
	}
}

// Guards against suspicion of requests whose server broke off one response and continues, and against reports that
// are lost with their replica.
func TestRunsAreReportedOnceTheirServerIsLost(t *testing.T) {
	responded := map[string]time.Time{"faulty": now.Add(50 * time.Millisecond), "lost": now.Add(5 * time.Millisecond)}
	g := newGuard(responded)
	for _, server := range []string{"faulty", "lost", "lost"} {
		g.Lost(Run{Attributes: whole(x), Server: server, Incarnation: 3, SentAt: now.Add(-time.Second), LostAt: now})
	}
	if _, ok := g.Pending(now.Add(confirmAfter / 2)); ok {
		t.Fatal("reported at once")
	}
	for range 2 {
		c, ok := g.Pending(now.Add(confirmAfter))
		if !ok || len(c.Losses) != 1 || c.Losses[0].Server != "lost" || len(c.Losses[0].Running) != 2 {
			t.Fatalf("pending %+v", c)
		}
		if l := c.Losses[0]; l.Incarnation != 3 || l.Ago != confirmAfter || l.Running[0].Age != time.Second+confirmAfter {
			t.Errorf("reported %+v", l)
		}
	}
	g.Reported(section.Result{}, now)
	if _, ok := g.Pending(now.Add(confirmAfter)); ok {
		t.Error("reported twice")
	}
}

// Guards against the quarantine of a part whose streams all callers leave at their last event, so that no answer is
// ever complete, and against answers that are counted although their server has ended since.
func TestStreamThatItsCallerLeavesIsAnswered(t *testing.T) {
	part := suspicion.FingerprintOfPart([]byte("p"))
	a := suspicion.Attributes{Request: x, Parts: []suspicion.Fingerprint{part}}
	for _, c := range []struct {
		name string
		sign Signs
		want bool
	}{
		{"no sign", Signs{}, false},
		{"an older request was answered later", Signs{RespondedAt: now.Add(time.Second), SentAt: now.Add(-time.Second), Incarnation: 3}, false},
		{"a successor answered", Signs{SentAt: now.Add(time.Second), Incarnation: 4}, false},
		{"the server answered a later request", Signs{SentAt: now.Add(time.Second), Incarnation: 3}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := New(Config{Signs: func(string) Signs { return c.sign }})
			g.Left(Run{Attributes: a, Server: "s", Incarnation: 3, SentAt: now.Add(-2 * time.Second), LostAt: now, Began: true})
			g.Pending(now.Add(2 * time.Second))
			g.Apply(part, suspicion.Period{Version: 1, Quarantined: true, Kind: suspicion.Part, FirstLoss: now.UnixMilli()}, now.Add(3*time.Second))
			if _, refused := g.Quarantined("w", a, now.Add(4*time.Second)); refused == c.want {
				t.Errorf("refused: %t", refused)
			}
			g.Apply(x, period(2, true, now.Add(-time.Second)), now.Add(4*time.Second))
			if refusedFor(g, now.Add(4*time.Second)) == 0 || len(g.(*guard).register.Refuted()) > 1 {
				t.Error("the request as a whole counts as answered")
			}
		})
	}
}

// Guards against an entry that has too little processor time and takes responses that a lost server sent before its
// end for a sign of life.
func TestResponsesThatAreReadLateAreNoSigns(t *testing.T) {
	for _, c := range []struct {
		name  string
		lag   time.Duration
		signs Signs
		want  bool
	}{
		{"in time", 0, Signs{RespondedAt: now.Add(50 * time.Millisecond)}, false},
		{"late", 40 * time.Millisecond, Signs{RespondedAt: now.Add(50 * time.Millisecond)}, true},
		{"late, but to a later request", 40 * time.Millisecond, Signs{RespondedAt: now.Add(50 * time.Millisecond), SentAt: now.Add(time.Millisecond), Incarnation: 3}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := New(Config{Signs: func(string) Signs { return c.signs }, Lag: func(time.Time) time.Duration { return c.lag }})
			g.Lost(Run{Attributes: whole(x), Server: "s", Incarnation: 3, SentAt: now.Add(-time.Second), LostAt: now})
			if _, reported := g.Pending(now.Add(confirmAfter)); reported != c.want {
				t.Errorf("reported: %t", reported)
			}
		})
	}
}
