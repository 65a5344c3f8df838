package membership

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

var benchNeed = Need{Kind: announcement.Engine, Model: "certificate-drafter", WeightVersion: "2026-11-30"}

// Between the choice of a server and the write of the request, the server
// announces that it is leaving, becomes silent or returns at another address.
// The request must not be sent to it.
func TestRecheckBeforeTheFirstByte(t *testing.T) {
	table, now := New(Config{}), time.Unix(1000, 0)
	a := benchAnnouncement(1)
	table.Announce(now, a)
	chosen, _ := table.View().Server(a.Identity)
	check := func(at time.Time, want Reason) {
		t.Helper()
		if got := table.View().Recheck(at, chosen, benchNeed); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	check(now, Eligible)
	check(now.Add(DefaultAge), IsSilent)
	leaving := a
	leaving.Sequence, leaving.State = 2, announcement.Leaving
	table.Announce(now, leaving)
	check(now, IsLeaving)
	back := a
	back.Incarnation++
	back.Address = "10.9.9.9:8000"
	table.Announce(now, back)
	check(now, HasMoved)
}

// A leaving server is removed only when no message of it can arrive any more, or
// a late "ready" would bring it back. After that its slot is free.
func TestForgetting(t *testing.T) {
	table, now := New(Config{Servers: 2}), time.Unix(1000, 0)
	for i := range 2 {
		a := benchAnnouncement(i)
		if i == 0 {
			a.State = announcement.Leaving
		}
		table.Announce(now, a)
	}
	if m := table.Announce(now, benchAnnouncement(2)); m.Cause != TooManyServers {
		t.Errorf("got %+v", m)
	}
	if removed := table.Sweep(now.Add(DefaultForget)); len(removed) != 1 || removed[0] != benchAnnouncement(1).Identity {
		t.Errorf("removed: %v", removed)
	}
	if m := table.Announce(now.Add(DefaultForget), benchAnnouncement(0)); m.Outcome == Accepted {
		t.Errorf("a leaving server came back: %+v", m)
	}
	later := now.Add(DefaultForget + DefaultForgetLeaver)
	if removed := table.Sweep(later); len(removed) != 1 {
		t.Errorf("removed: %v", removed)
	}
	if m := table.Announce(later, benchAnnouncement(2)); m.Outcome != Accepted {
		t.Errorf("got %+v", m)
	}
}

// Many servers announce themselves concurrently, some with the same address.
// Readers must see consistent records, and each address must have one user.
func TestConcurrentAnnouncements(t *testing.T) {
	table, now := New(Config{}), time.Unix(1000, 0)
	var done sync.WaitGroup
	for i := range 64 {
		done.Go(func() {
			a := benchAnnouncement(i)
			a.Address = fmt.Sprintf("10.0.0.%d:8000", i%16+1)
			for range 20 {
				a.Sequence++
				table.Announce(now, a)
				v := table.View()
				for s := range v.All() {
					s.Eligible(now, benchNeed)
				}
			}
		})
	}
	done.Wait()
	users := map[string]string{}
	v := table.View()
	for s := range v.All() {
		a := s.Announcement()
		if other, ok := users[a.Address]; ok {
			t.Errorf("%s is used by %s and %s", a.Address, other, a.Identity)
		}
		users[a.Address] = a.Identity
	}
	if len(users) != 16 {
		t.Errorf("%d addresses are in use", len(users))
	}
}
