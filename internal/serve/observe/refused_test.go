package observe

import (
	"testing"
	"time"
)

// Guards that a refused connection to a crashed server is reported to the other entries, even
// if no request of this entry is left there, and only for as long as a restart takes.
func TestRefusalIsReported(t *testing.T) {
	x, now := New(), time.Now()
	a := x.Begin(Attempt{Server: "s", ReservedTokens: 100, SentAt: now})
	x.End(a, Refused, now)
	if l := x.Loads()["s"]; l.RefusedEntries != 1 || l.ReservedTokens != 0 {
		t.Errorf("reported %+v", l)
	}
	if !now.Before(x.Stats("s").EjectedUntil) {
		t.Error("this entry uses the server again at once")
	}
	b := x.Begin(Attempt{Server: "s", ReservedTokens: 100, SentAt: now})
	x.End(b, Refused, now.Add(-2*RefusalWindow))
	if l, ok := x.Loads()["s"]; ok {
		t.Errorf("reported a refusal long ago: %+v", l)
	}
}

// A server restarted under another ID, or loads new weights, and rejects requests as
// misdirected. Until its next announcement every request there would be rejected in the same
// way, each costing a retry from the fleet's budget. It is not a failure of the server.
func TestMisdirectedRequestEjectsServer(t *testing.T) {
	x, now := New(), time.Now()
	x.End(x.Begin(Attempt{Server: "s", SentAt: now}), Misdirected, now)
	if s := x.Stats("s"); !now.Before(s.EjectedUntil) || s.Failures != 0 || s.ConsecutiveLosses != 0 {
		t.Errorf("got %+v", s)
	}
}
