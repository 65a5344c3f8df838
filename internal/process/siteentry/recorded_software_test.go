package siteentry

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/section"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

// Guards against streams that begin with software that an entry elsewhere doesn't know of when it resumes them.
func TestStreamsBeginWithRecordedSoftware(t *testing.T) {
	s := newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
	may := func(version string) bool {
		return s.SoftwareRecorded(directory.Server{Service: "a", Software: version})
	}
	if may("v1") {
		t.Error("v1 may be used although no replica has recorded it")
	}
	s.apply("behind", watch.Answer{Rows: []rowtable.Row{row(t, topic.Software, "a", []string{"v1"})}})
	if !may("v1") || may("v2") || may("") {
		t.Error("only v1 is recorded")
	}
	s.apply("ahead", watch.Answer{Rows: []rowtable.Row{row(t, topic.Software, "a", []string{"v1", "v2"})}})
	if !may("v2") || may("v3") {
		t.Error("v2 is recorded, v3 isn't")
	}
	var many []string
	for i := range section.MaxSoftware {
		many = append(many, fmt.Sprint(i))
	}
	s.apply("ahead", watch.Answer{Rows: []rowtable.Row{row(t, topic.Software, "a", many)}})
	if !may("v3") {
		t.Error("v3 may not be used although there is no room to record it")
	}
}

// Guards against streams that are refused in the first moments of a service, and against requests that wait for a record
// that isn't made.
func TestStreamsAwaitTheRecordOfNewServers(t *testing.T) {
	s := newDiscardSite()
	s.apply("r", watch.Answer{CaughtUp: true})
	v := directory.Server{ID: "i", StartedAt: 1, Service: "a", Address: "a:1", Software: "v1"}
	s.applyServer(v)
	known := func() bool { return s.SoftwareRecorded(v) }
	wait := func() time.Duration {
		began := time.Now()
		s.AwaitSoftware(t.Context(), "a", known)
		return time.Since(began)
	}
	age := func(d time.Duration) {
		s.software.servers["i"] = incarnation{startedAt: 1, software: "v1", learnedAt: time.Now().Add(-d)}
	}
	age(recordTime)
	if took := wait(); took > recordTime/4 {
		t.Errorf("a request waited %s for a service whose record should have been made long ago", took)
	}
	age(recordTime - 50*time.Millisecond)
	if took := wait(); took < 40*time.Millisecond || took > recordTime/2 {
		t.Errorf("a request waited %s, not for the rest of the time in which a record is made", took)
	}
	s.applyDocument(document.Document{Revision: 1, Services: []document.Service{{Name: "a"}}}, "", nil)
	row := row(t, topic.Software, "a", []string{"v1"})
	recorded := time.AfterFunc(50*time.Millisecond, func() { s.apply("r", watch.Answer{CaughtUp: true, Rows: []rowtable.Row{row}}) })
	defer recorded.Stop()
	if took := wait(); took < 40*time.Millisecond || !known() {
		t.Errorf("a request waited %s for the record of a service that the document has just named, recorded %t", took, known())
	}
}

// Guards against streams that begin with a version that was removed from the log, because a replica had it that was lost
// or has restarted since, and against streams that don't begin while replicas restart or none answers.
func TestRemovedSoftwareIsNotRecorded(t *testing.T) {
	s := newDiscardSite()
	v1 := directory.Server{Service: "a", Software: "v1"}
	row := func(versions ...string) rowtable.Rows {
		return rowtable.Rows{row(t, topic.Software, "a", versions)}
	}
	check := func(when string, want bool) {
		t.Helper()
		if got := s.SoftwareRecorded(v1); got != want {
			t.Errorf("%s: recorded %t", when, got)
		}
	}
	s.apply("r1", watch.Answer{Epoch: 1, CaughtUp: true, Rows: row("v1")})
	s.apply("r2", watch.Answer{Epoch: 1, CaughtUp: true, Rows: row("v1")})
	s.apply("r1", watch.Answer{Epoch: 2})
	s.apply("r2", watch.Answer{Epoch: 2})
	check("while both replicas restart", true)
	s.apply("r1", watch.Answer{Epoch: 2, CaughtUp: true, More: true, Rows: row("v2")})
	check("while the replicas' rows arrive", true)
	s.apply("r1", watch.Answer{Epoch: 2, CaughtUp: true})
	check("as long as one replica hasn't caught up", true)
	s.recordedSoftware.replicas["r1"].caughtUpAt = time.Now().Add(-2 * staleRecords)
	s.recordedSoftware.replicas["r2"].caughtUpAt = time.Now().Add(-2 * staleRecords)
	check("without contact to any replica", true)
	s.apply("r1", watch.Answer{Epoch: 2, CaughtUp: true})
	check("long after the other replica was lost", false)
}

// Guards against streams that begin at any version because replicas that are behind have other versions than the others.
func TestVersionsOfSeveralReplicasAreNotTooMany(t *testing.T) {
	s := newDiscardSite()
	for i := range 2 * section.MaxSoftware {
		s.apply(fmt.Sprint("r", i), watch.Answer{Epoch: 1, Rows: []rowtable.Row{row(t, topic.Software, "a", []string{fmt.Sprint("v", i)})}})
	}
	if s.SoftwareRecorded(directory.Server{Service: "a", Software: "other"}) {
		t.Error("a version that no replica has is taken for recorded")
	}
}
