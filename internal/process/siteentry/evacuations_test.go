package siteentry

import (
	"slices"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/section"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

func siteWithServers(t *testing.T) *site {
	t.Helper()
	s := newDiscardSite()
	for _, v := range []directory.Server{{ID: "a", Zone: "za", Address: "1:1"}, {ID: "b", Zone: "zb", Address: "2:1"}} {
		v.Service, v.Slots, v.StartedAt = "desk", 1, 1
		s.applyServer(v)
	}
	return s
}

func (s *site) show(t *testing.T, zone string, e section.Evacuation) {
	t.Helper()
	b, err := codec.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.applyRow("r", rowtable.Row{Topic: topic.Evacuations, Key: zone, Value: b}); err != nil {
		t.Fatal(err)
	}
}

func (s *site) ids() []string {
	var all []string
	for _, v := range s.Servers("desk") {
		all = append(all, v.ID)
	}
	return all
}

// Guards against requests to an evacuated zone: from an entry that has just started and knows
// servers but no evacuations yet, and from one that receives old orders from a slow replica.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	s := siteWithServers(t)
	for _, a := range []watch.Answer{{}, {CaughtUp: true, More: true}} {
		if s.apply("r", a); len(s.ids()) > 0 || s.Withdrawn("desk") {
			t.Fatalf("%v before the evacuations are known", s.ids())
		}
	}
	s.apply("r", watch.Answer{CaughtUp: true})
	steps := []struct {
		zone  string
		state section.Evacuation
		want  []string
	}{
		{"za", section.Evacuation{Number: 1, Active: true}, []string{"b"}},
		{"za", section.Evacuation{Number: 3, Active: true}, []string{"b"}},
		{"za", section.Evacuation{Number: 2, Active: false}, []string{"b"}},
		{"zb", section.Evacuation{Number: 1, Active: true}, nil},
		{"za", section.Evacuation{Number: 4, Active: false}, []string{"a"}},
		{"za", section.Evacuation{Number: 3, Active: true}, []string{"a"}},
	}
	for _, x := range steps {
		s.show(t, x.zone, x.state)
		if got := s.ids(); !slices.Equal(got, x.want) {
			t.Errorf("%s %+v: %v, want %v", x.zone, x.state, got, x.want)
		}
		if s.Withdrawn("desk") != (len(x.want) == 0) {
			t.Errorf("%s %+v: withdrawn %v", x.zone, x.state, s.Withdrawn("desk"))
		}
		if _, ok := s.Server("b"); ok != slices.Contains(x.want, "b") {
			t.Errorf("%s %+v: b usable %v", x.zone, x.state, ok)
		}
	}
}

// Guards against full load on servers that became cold at the end of an evacuation, before their
// announcements have told it.
func TestServersAreColdAfterAnEvacuation(t *testing.T) {
	s := siteWithServers(t)
	s.show(t, "za", section.Evacuation{Number: 1, Active: true})
	s.show(t, "za", section.Evacuation{Number: 2})
	const coldTime = 3 * time.Second
	s.heartbeat = time.Second
	s.show(t, "zc", section.Evacuation{Number: 2})
	now := time.Now()
	for _, x := range []struct {
		server directory.Server
		after  time.Duration
		cold   bool
	}{
		{directory.Server{Zone: "za"}, 0, true},
		{directory.Server{Zone: "za"}, coldTime + s.heartbeat, true},
		{directory.Server{Zone: "za"}, coldTime + 3*s.heartbeat, false},
		{directory.Server{Zone: "zc"}, 0, true},
		{directory.Server{Zone: "zb"}, 0, false},
		{directory.Server{Zone: "zb", WarmUp: time.Second}, time.Hour, true},
	} {
		if got := s.Cold(x.server, coldTime, now.Add(x.after)); got != x.cold {
			t.Errorf("%+v after %s: cold %v", x.server, x.after, got)
		}
	}
}
