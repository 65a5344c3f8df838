package sitecontrol

import (
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
)

// testReplica returns announcements without a network; exchange replaces the polls.
func testReplica(home string) *announcements {
	return &announcements{
		observe: func(directory.Server) {},
		home:    home, heartbeat: time.Second, directory: directory.New(), table: rowtable.New(1),
		sinceContact:  func(string) (time.Duration, bool) { return 0, true },
		lastAnnounced: map[string]time.Time{}, lastChanged: map[string]time.Time{}, lastSweep: time.Now(),
	}
}

// exchange merges all servers that one replica shows into another.
func exchange(t *testing.T, from, to *announcements) {
	t.Helper()
	rows, _ := from.table.Since(0)
	for _, r := range rows {
		if r.Topic != topic.Servers {
			continue
		}
		s, err := codec.Unmarshal[directory.Server](r.Value)
		if err != nil {
			t.Fatal(err)
		}
		to.merge(s)
	}
}

func heartbeat(t *testing.T, a *announcements, sequence int64) {
	t.Helper()
	if err := a.announce(t.Context(), directory.Server{ID: "s", StartedAt: 1, Sequence: sequence, Service: "x", Address: "1:1"}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a control VM that was suspended for four seconds marking every server
// silent that announces itself elsewhere, because it had no contact for that long. The
// engines then got no orders and no new weights for the rest of the day, though they had
// announced themselves every second.
func TestResumedReplicaMarksNoServerSilent(t *testing.T) {
	home, resumed, third := testReplica("home"), testReplica("resumed"), testReplica("third")
	heartbeat(t, home, 1)
	exchange(t, home, resumed)
	exchange(t, home, third)
	for i := range int64(5) {
		heartbeat(t, home, 2+i)
	}
	resumedAt := time.Now().Add(time.Hour)
	resumed.sinceContact = func(string) (time.Duration, bool) { return time.Hour, true }
	resumed.sweep(resumedAt)
	resumed.sweep(resumedAt.Add(sweepInterval))
	if s, _ := resumed.directory.Get("s"); s.Silent {
		t.Error("the resumed replica marks a server silent before it has read pending announcements")
	}
	// It may still do so wrongly, when it was cut off.
	resumed.sweep(resumedAt.Add(2 * sweepInterval))
	s, _ := resumed.directory.Get("s")
	s.Silent = true
	resumed.merge(s)
	exchange(t, resumed, third)
	exchange(t, resumed, home)
	exchange(t, home, third)
	exchange(t, home, resumed)
	for name, a := range map[string]*announcements{"home": home, "third": third, "resumed": resumed} {
		if s, _ := a.directory.Get("s"); s.Silent {
			t.Errorf("%s still marks the server silent", name)
		}
	}
}

// Guards against a server that crashes without a departure never becoming silent. The
// replica that it announced itself to must detect it, or requests go there until they
// time out.
func TestCrashedServerBecomesSilent(t *testing.T) {
	home := testReplica("home")
	heartbeat(t, home, 1)
	at := time.Now()
	for range 12 {
		at = at.Add(sweepInterval)
		home.sweep(at)
	}
	if s, _ := home.directory.Get("s"); !s.Silent {
		t.Error("the crashed server is not silent")
	}
}
