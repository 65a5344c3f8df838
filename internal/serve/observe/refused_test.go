package observe

import (
	"testing"
	"time"
)

// A server crashed and nobody listens at its address. The other entries must be
// told, also when nothing of this entry is there any more, and only for as long as
// a restart takes.
func TestRefusalIsTold(t *testing.T) {
	x, now := New(), time.Now()
	a := x.Begin(Attempt{Server: "s", ReservedTokens: 100, SentAt: now})
	x.End(a, Refused, now)
	if l := x.Loads()["s"]; l.RefusedEntries != 1 || l.ReservedTokens != 0 {
		t.Errorf("told %+v", l)
	}
	if !now.Before(x.Stats("s").EjectedUntil) {
		t.Error("this entry asks the server again at once")
	}
	b := x.Begin(Attempt{Server: "s", ReservedTokens: 100, SentAt: now})
	x.End(b, Refused, now.Add(-2*refusedFor))
	if l, ok := x.Loads()["s"]; ok {
		t.Errorf("told of a refusal long ago: %+v", l)
	}
}

// A server restarted under another ID, or loads new weights, and says that it
// isn't the one that was meant. Until announcements tell more every request there
// would be refused in the same way, and each costs a retry of the whole fleet. It
// is no failure of the server.
func TestMisdirectedRequestSetsTheServerAside(t *testing.T) {
	x, now := New(), time.Now()
	x.End(x.Begin(Attempt{Server: "s", SentAt: now}), Misdirected, now)
	if s := x.Stats("s"); !now.Before(s.EjectedUntil) || s.Failures != 0 || s.ConsecutiveLosses != 0 {
		t.Errorf("got %+v", s)
	}
}
