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
	a := x.Begin(Attempt{Server: "s", Held: 100, Began: now})
	x.End(a, Refused, now)
	if l := x.Loads()["s"]; l.Refused != 1 || l.Held != 0 {
		t.Errorf("told %+v", l)
	}
	if !now.Before(x.Track("s").SetAside) {
		t.Error("this entry asks the server again at once")
	}
	b := x.Begin(Attempt{Server: "s", Held: 100, Began: now})
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
	x.End(x.Begin(Attempt{Server: "s", Began: now}), Misdirected, now)
	if s := x.Track("s"); !now.Before(s.SetAside) || s.Failures != 0 || s.Streak != 0 {
		t.Errorf("got %+v", s)
	}
}
