package choose

import (
	"testing"
	"time"

	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/site/directory"
)

var now = time.Unix(1000, 0)

func plainServer(id, zone string) Candidate {
	return Candidate{Server: directory.Server{ID: id, Zone: zone, Slots: 6}}
}

// One of four servers passes its health check but fails four in ten requests. Callers see
// those failures until requests are sent elsewhere.
func TestFailingServerIsAvoided(t *testing.T) {
	all := []Candidate{plainServer("a", "z1"), plainServer("b", "z2")}
	all[0].Stats.Failures = 0.45
	all[1].Stats.Failures = 0.05
	if at, _ := (PlainPicker{Now: now, Zone: "z1"}).Pick(all); at != 1 {
		t.Error("the failing server in the entry's zone was chosen")
	}
	all[1].Stats.Failures = 0.4
	if at, _ := (PlainPicker{Now: now, Zone: "z1"}).Pick(all); at != 0 {
		t.Error("with equal failure rates the server in the entry's zone should be chosen")
	}
}

// A server crashed: its announcements have stopped and it does not respond. It must be used
// again only if no other server is left, or as soon as a response proves that it is alive.
func TestSilentServer(t *testing.T) {
	all := []Candidate{plainServer("a", "z1"), plainServer("b", "z2")}
	all[0].Server.Silent = true
	p := PlainPicker{Now: now, Zone: "z1"}
	if at, _ := p.Pick(all); at != 1 {
		t.Error("a silent server was chosen")
	}
	if at, _ := p.Pick(all[:1]); at != 0 {
		t.Error("the only server was not tried")
	}
	all[0].Stats.RespondedAt = now.Add(-time.Second)
	if at, _ := p.Pick(all); at != 0 {
		t.Error("a responding server was avoided because its announcements do not arrive")
	}
	all[0].Stats.EjectedUntil = now.Add(time.Second)
	if at, _ := p.Pick(all); at != 1 {
		t.Error("an ejected server was chosen")
	}
}

func TestSameZoneServerUntilItIsFull(t *testing.T) {
	all := []Candidate{plainServer("a", "z1"), plainServer("b", "z2")}
	p := PlainPicker{Now: now, Zone: "z1"}
	if at, _ := p.Pick(all); at != 0 {
		t.Error("the server in the same zone was not chosen")
	}
	all[0].Stats = observe.ServerStats{Running: 6, ReportedAt: now.Add(-100 * time.Millisecond)}
	if at, _ := p.Pick(all); at != 1 {
		t.Error("a full server was chosen")
	}
	all[0].Stats.ReportedAt = now.Add(-time.Hour)
	if at, _ := p.Pick(all); at != 0 {
		t.Error("an hour-old load report still counts")
	}
}

// Guards against a server that gets no request because its last response, over a new connection, took a
// millisecond longer than those of an idle one, and against requests to a server that is slow.
func TestLatenciesAreComparedFromMillisecondsOn(t *testing.T) {
	all := []Candidate{plainServer("a", "z1"), plainServer("b", "z1")}
	all[0].Stats = observe.ServerStats{Latency: 300 * time.Microsecond, InFlight: 1}
	all[1].Stats = observe.ServerStats{Latency: 2 * time.Millisecond}
	p := PlainPicker{Now: now, Zone: "z1"}
	if at, _ := p.Pick(all); at != 1 {
		t.Error("the idle server was left out for a latency of 2 ms")
	}
	all[0].Stats.Latency, all[1].Stats.Latency = 100*time.Millisecond, 500*time.Millisecond
	if at, _ := p.Pick(all); at != 0 {
		t.Error("a server five times as slow was chosen")
	}
}
