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

// One of four servers answers its health check and fails four in ten requests.
// Callers see those failures until requests go elsewhere.
func TestServerThatFailsIsPassedOver(t *testing.T) {
	all := []Candidate{plainServer("a", "z1"), plainServer("b", "z2")}
	all[0].Stats.Failures = 0.45
	all[1].Stats.Failures = 0.05
	if at, _ := (PlainPicker{Now: now, Zone: "z1"}).Pick(all); at != 1 {
		t.Error("the failing server of the own zone was taken")
	}
	all[1].Stats.Failures = 0.4
	if at, _ := (PlainPicker{Now: now, Zone: "z1"}).Pick(all); at != 0 {
		t.Error("where all servers fail alike the near one should be taken")
	}
}

// A server crashed without a word: its announcements have stopped and nothing
// comes back. It is used again only when no other server is left, or as soon
// as it has proved that it lives.
func TestSilentServer(t *testing.T) {
	all := []Candidate{plainServer("a", "z1"), plainServer("b", "z2")}
	all[0].Server.Silent = true
	p := PlainPicker{Now: now, Zone: "z1"}
	if at, _ := p.Pick(all); at != 1 {
		t.Error("a silent server was taken")
	}
	if at, _ := p.Pick(all[:1]); at != 0 {
		t.Error("the last server was not tried")
	}
	all[0].Stats.Answered = now.Add(-time.Second)
	if at, _ := p.Pick(all); at != 0 {
		t.Error("a server that answers was not taken because its announcements are cut off")
	}
	all[0].Stats.EjectedUntil = now.Add(time.Second)
	if at, _ := p.Pick(all); at != 1 {
		t.Error("a server that was set aside was taken")
	}
}

func TestNearServerUntilItFills(t *testing.T) {
	all := []Candidate{plainServer("a", "z1"), plainServer("b", "z2")}
	p := PlainPicker{Now: now, Zone: "z1"}
	if at, _ := p.Pick(all); at != 0 {
		t.Error("the near server was not taken")
	}
	all[0].Stats = observe.ServerStats{Running: 6, Reported: now.Add(-100 * time.Millisecond)}
	if at, _ := p.Pick(all); at != 1 {
		t.Error("a full server was taken")
	}
	all[0].Stats.Reported = now.Add(-time.Hour)
	if at, _ := p.Pick(all); at != 0 {
		t.Error("a report of an hour ago still counts")
	}
}
