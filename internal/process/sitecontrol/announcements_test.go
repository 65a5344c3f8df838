package sitecontrol

import (
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
)

// testReplica keeps announcements without any network; exchange plays the polls.
func testReplica(home string) *announcements {
	return &announcements{
		home: home, heartbeat: time.Second, directory: directory.New(), board: rowtable.New(1),
		heard:  func(string) (time.Duration, bool) { return 0, true },
		direct: map[string]time.Time{}, changed: map[string]time.Time{}, swept: time.Now(),
	}
}

// exchange hands everything that one replica shows to another.
func exchange(t *testing.T, from, to *announcements) {
	t.Helper()
	rows, _ := from.board.Since(0)
	for _, r := range rows {
		if r.Topic != topic.Servers {
			continue
		}
		s, err := codec.Unmarshal[directory.Server](r.Value)
		if err != nil {
			t.Fatal(err)
		}
		to.take(s)
	}
}

func heartbeat(t *testing.T, a *announcements, sequence int64) {
	t.Helper()
	if err := a.announce(t.Context(), directory.Server{ID: "s", StartedAt: 1, Sequence: sequence, Service: "x", Address: "1:1"}); err != nil {
		t.Fatal(err)
	}
}

// A control machine stands still for four seconds. When it wakes it has heard of
// nobody for that long and calls every server silent that announces itself
// elsewhere. The engines then got no orders and no new weights for the rest of
// the day, though they had announced themselves every second.
func TestFrozenReplicaSilencesNobody(t *testing.T) {
	home, frozen, third := testReplica("home"), testReplica("frozen"), testReplica("third")
	heartbeat(t, home, 1)
	exchange(t, home, frozen)
	exchange(t, home, third)
	for i := range int64(5) {
		heartbeat(t, home, 2+i)
	}
	woken := time.Now().Add(time.Hour)
	frozen.heard = func(string) (time.Duration, bool) { return time.Hour, true }
	frozen.sweep(woken)
	frozen.sweep(woken.Add(sweepInterval))
	if s, _ := frozen.directory.Get("s"); s.Silent {
		t.Error("the woken replica judges by what it has not read yet")
	}
	// It may still judge wrongly, when it was cut off.
	frozen.sweep(woken.Add(2 * sweepInterval))
	s, _ := frozen.directory.Get("s")
	s.Silent = true
	frozen.take(s)
	exchange(t, frozen, third)
	exchange(t, frozen, home)
	exchange(t, home, third)
	exchange(t, home, frozen)
	for name, a := range map[string]*announcements{"home": home, "third": third, "frozen": frozen} {
		if s, _ := a.directory.Get("s"); s.Silent {
			t.Errorf("%s still takes the server for silent", name)
		}
	}
}

// A server crashes without a word. Nobody tells; the replica that it announced
// itself to must notice, or requests go there until they time out.
func TestCrashedServerIsNoticed(t *testing.T) {
	home := testReplica("home")
	heartbeat(t, home, 1)
	at := time.Now()
	for range 12 {
		at = at.Add(sweepInterval)
		home.sweep(at)
	}
	if s, _ := home.directory.Get("s"); !s.Silent {
		t.Error("the crashed server still counts")
	}
}
