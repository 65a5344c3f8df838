package siteentry

import (
	"testing"
	"time"

	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/origin"
	"hornbeamwood/internal/site/watch"
)

// Guards against a stream that is taken for one of the software that its server announced, though the server had
// restarted with other software before its first event.
func TestOriginIsUncertainAroundARestart(t *testing.T) {
	s := newDiscardSite()
	s.heartbeat = 100 * time.Millisecond
	before := directory.Server{ID: "a", StartedAt: 1, Service: "x", Address: "a:1", Software: "v1"}
	s.applyServer(before)
	o := origin.At(before)
	if !s.SoftwareCertain(o, time.Now()) {
		t.Error("uncertain without a restart")
	}
	after := before
	after.StartedAt, after.Software = 2, "v2"
	s.applyServer(after)
	learned := time.Now()
	after.StartedAt = 3
	s.applyServer(after)
	if s.SoftwareCertain(o, learned) {
		t.Error("certain though the restart was announced right after the first event")
	}
	if !s.SoftwareCertain(o, learned.Add(-time.Second)) {
		t.Error("uncertain though the stream began long before the restart")
	}
	if !s.SoftwareCertain(origin.At(after), learned) {
		t.Error("uncertain for the new software")
	}
}

// Guards against a stream that continues at a server that has restarted with other software and hasn't announced it.
func TestRefusedConnectionsShowARestart(t *testing.T) {
	s := newDiscardSite()
	v := directory.Server{ID: "a", StartedAt: 1, Service: "x", Address: "a:1", Software: "v1"}
	s.applyServer(v)
	if !s.RestartExpected(v, time.Time{}) {
		t.Error("no restart is expected although no replica has answered")
	}
	s.recordAnswer(time.Now(), time.Now())
	refused := time.Now().Add(time.Millisecond)
	if s.RestartExpected(v, time.Time{}) || s.RestartExpected(v, refused.Add(-time.Second)) {
		t.Error("a restart is expected without a refused connection since the announcement")
	}
	if !s.RestartExpected(v, refused) {
		t.Error("no restart is expected after a refused connection")
	}
	time.Sleep(2 * time.Millisecond)
	v.StartedAt = 2
	s.applyServer(v)
	if s.RestartExpected(v, refused) {
		t.Error("a restart is expected after the announcement of one")
	}
}

// Guards against streams of unknown origin that go on at a guess, and against those that are refused though all
// servers are alike.
func TestOnlySoftware(t *testing.T) {
	s := newDiscardSite()
	s.applyServer(directory.Server{ID: "a", StartedAt: 1, Service: "x", Address: "a:1", Software: "v1"})
	if _, ok := s.OnlySoftware("x"); ok {
		t.Error("known though no replica has answered")
	}
	s.apply("r", watch.Answer{CaughtUp: true})
	if software, ok := s.OnlySoftware("x"); !ok || software != "v1" {
		t.Errorf("one version: %q, %t", software, ok)
	}
	if _, ok := s.OnlySoftware("y"); ok {
		t.Error("known without a server")
	}
	s.applyServer(directory.Server{ID: "b", StartedAt: 1, Service: "x", Address: "b:1", Software: "v2", State: directory.Gone})
	if _, ok := s.OnlySoftware("x"); ok {
		t.Error("known though a server of another version has just gone")
	}
}

// Guards against an entry that was suspended, stood still or was cut off, and joins streams with the software that
// servers had before.
func TestEntryThatIsOutOfStepTrustsNoAnnouncement(t *testing.T) {
	s := newDiscardSite()
	v := directory.Server{ID: "a", StartedAt: 1, Service: "x", Address: "a:1", Software: "v1"}
	s.applyServer(v)
	before := time.Now()
	s.recordAnswer(before, before.Add(-liveReplicaTimeout-time.Second))
	if !s.RestartExpected(v, time.Time{}) {
		t.Error("an entry that is cut off expects no restart")
	}
	s.apply("replica", watch.Answer{CaughtUp: true})
	s.recordAnswer(before, time.Now())
	if _, ok := s.OnlySoftware("x"); !ok || s.RestartExpected(v, time.Time{}) {
		t.Fatal("the entry is out of step right after an answer")
	}
	s.ageStates(liveReplicaTimeout + time.Second)
	s.recordAnswer(before, time.Now())
	if _, ok := s.OnlySoftware("x"); ok {
		t.Error("an entry that was suspended takes the version that it knows for the only one")
	}
	if !s.RestartExpected(v, time.Time{}) {
		t.Error("an entry that was suspended expects no restart after the answer to an earlier poll")
	}
	s.recordAnswer(time.Now(), time.Now())
	if s.RestartExpected(v, time.Time{}) {
		t.Error("the entry stays out of step after an answer")
	}
}

// Guards against streams that are refused while replicas answer as slowly as they may when nothing changes.
func TestSlowestAnswersKeepAnEntryInStep(t *testing.T) {
	s := newDiscardSite()
	sent := time.Now()
	s.recordAnswer(sent, sent.Add(time.Second))
	if s.outOfStep(sent.Add(2500 * time.Millisecond)) {
		t.Error("out of step before the next answer is due")
	}
}
