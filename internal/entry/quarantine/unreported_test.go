package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/entry/completion"
	"hornbeamwood/internal/policy/suspicion"
)

// mutedLog is a control log that takes no commands while it is down.
type mutedLog struct {
	*sectionLog
	down bool
}

func (l *mutedLog) Propose(ctx context.Context, section string, body []byte) ([]byte, error) {
	if l.down {
		return nil, errors.New("no leader")
	}
	return l.sectionLog.Propose(ctx, section, body)
}

// Guards against a piece of prompts that keeps crashing engines while the control log takes no reports, and against
// losses that the record never learns of because their first report failed.
func TestFailedReportsCountAndAreRepeated(t *testing.T) {
	l := &mutedLog{sectionLog: newSectionLog(), down: true}
	g := newGuard(l)
	start := time.Now().Add(-time.Minute)
	bad, sound := suspicion.FingerprintOfPart([]byte("bad")), suspicion.FingerprintOfPart([]byte("sound"))
	prompt := func(n int, p suspicion.Fingerprint) suspicion.Attributes {
		return suspicion.Attributes{Request: completion.FingerprintOf("w", "m", fmt.Append(nil, n)), Parts: []suspicion.Fingerprint{p}}
	}
	at := start
	for n := range suspicion.DefaultPartServers {
		at = start.Add(time.Duration(n) * 200 * time.Millisecond)
		a, server := prompt(n, bad), fmt.Sprint("engine-", n)
		if err := g.Check(at, "w", a); err != nil {
			t.Fatalf("prompt %d: %v", n, err)
		}
		g.Started(at, a.Request, server)
		g.Ended(t.Context(), at, completion.Run{Workspace: "w", Attributes: a, Server: server, SentAt: at.Add(-time.Millisecond), Lost: true})
	}
	late := at.Add(2 * time.Second)
	if g.Check(late, "w", prompt(8, bad)) == nil {
		t.Error("three engines were lost under the piece, no report was taken, and it isn't refused")
	}
	if err := g.Check(late, "w", prompt(9, sound)); err != nil {
		t.Errorf("another piece: %v", err)
	}
	l.down = false
	g.refresh(t.Context())
	other := newGuard(l)
	other.refresh(t.Context())
	if other.Check(time.Now().Add(time.Minute), "w", prompt(10, bad)) == nil {
		t.Error("another entry allows the piece after the control log is back")
	}
}
