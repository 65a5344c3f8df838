package quarantine

import (
	"fmt"
	"testing"
	"time"

	section "hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/policy/suspicion"
)

// loseUnder has a guard lose so many servers, one every 100 ms, each under a different request with the part. It returns
// when the last one was lost.
func loseUnder(g Guard, part suspicion.Fingerprint, count int) time.Time {
	at := now
	for i := range count {
		at = now.Add(time.Duration(i) * 100 * time.Millisecond)
		a := suspicion.Attributes{
			Request: suspicion.FingerprintOf("w", "POST h/x", []byte(fmt.Sprint("request ", i))),
			Parts:   []suspicion.Fingerprint{suspicion.FingerprintOfPart([]byte("first")), part},
		}
		g.Lost(Run{Attributes: a, Workspace: "w", Server: fmt.Sprint("server-", i), SentAt: at.Add(-10 * time.Millisecond), LostAt: at})
	}
	return at
}

// promptWith returns the attributes of a new request with those parts.
func promptWith(parts ...string) suspicion.Attributes {
	a := suspicion.Attributes{Request: x}
	for _, p := range parts {
		a.Parts = append(a.Parts, suspicion.FingerprintOfPart([]byte(p)))
	}
	return a
}

// Guards against parts, and requests, that end servers for as long as the control log takes no reports.
func TestOwnLossesCountWhileNoReportIsTaken(t *testing.T) {
	g := newGuard(nil)
	bad := suspicion.FingerprintOfPart([]byte("bad"))
	g.Answered(promptWith("first", "sound"), now.Add(-time.Second))
	last := loseUnder(g, bad, suspicion.DefaultPartServers)
	refused := func(at time.Time, parts ...string) bool {
		_, no := g.Quarantined("w", promptWith(parts...), at)
		return no
	}
	if refused(last.Add(confirmAfter), "first", "bad") {
		t.Error("refused before the control log has had time for the report")
	}
	late := last.Add(2 * time.Second)
	if !refused(late, "first", "bad") {
		t.Error("three servers were lost under the part, no report was taken, and it isn't refused")
	}
	if refused(late, "first", "sound") {
		t.Error("a sound prompt with the same first part is refused")
	}
	if _, ok := g.Pending(late); !ok {
		t.Fatal("nothing is pending")
	}
	g.Reported(section.Result{}, late)
	if !refused(late.Add(100*time.Millisecond), "first", "bad") {
		t.Error("sent again before rows can have arrived")
	}
	if refused(late.Add(5*time.Second), "first", "bad") {
		t.Error("still refused, although the control log has the losses and doesn't quarantine the part")
	}
}

// Guards against entries of a large site that go by their own losses although their reports only wait for their turn.
func TestReportsOfLargeSitesMayWait(t *testing.T) {
	g := New(Config{Signs: func(string) Signs { return Signs{} }, ReportDelay: func() time.Duration { return 800 * time.Millisecond }})
	last := loseUnder(g, suspicion.FingerprintOfPart([]byte("bad")), suspicion.DefaultPartServers)
	for _, c := range []struct {
		wait time.Duration
		want bool
	}{{1500 * time.Millisecond, false}, {3 * time.Second, true}} {
		if _, refused := g.Quarantined("w", promptWith("first", "bad"), last.Add(c.wait)); refused != c.want {
			t.Errorf("refused %s after the last loss: %v, want %v", c.wait, refused, c.want)
		}
	}
}

// Guards against the refusal, by an entry alone, of a part that it has answered.
func TestOwnLossesDoNotOutweighAnswers(t *testing.T) {
	g := newGuard(nil)
	loseUnder(g, suspicion.FingerprintOfPart([]byte("sound")), 2*suspicion.DefaultPartServers)
	g.Answered(promptWith("first", "sound"), now.Add(time.Second))
	if _, refused := g.Quarantined("w", promptWith("first", "sound"), now.Add(2*time.Second)); refused {
		t.Error("refused")
	}
}

// Guards, on a simulated site whose control log takes no reports, against a part that keeps ending servers, and
// against the refusal of sound requests by entries that know only their own answers.
func TestPartIsKeptFromServersWithoutTheControlLog(t *testing.T) {
	terms := worldTerms{entries: 3, servers: 12, sessions: 20, workspaces: 3, sound: 40, bad: 10, crashing: 1, together: 1, outage: true}
	w := newWorld(terms, 1)
	for w.elapsed() < worldDuration/2 {
		w.step()
	}
	ended := w.losses[0]
	for w.elapsed() < worldDuration {
		w.step()
	}
	t.Logf("%d servers ended; %d of %d sound requests were refused", ended, w.soundRefused, w.soundSent)
	if w.losses[0] != ended {
		t.Errorf("%d servers ended in the first half, and %d more in the second one", ended, w.losses[0]-ended)
	}
	if float64(w.soundRefused) > worldServedAsBefore*float64(w.soundSent) {
		t.Errorf("%d of %d sound requests were refused", w.soundRefused, w.soundSent)
	}
}
