package directory

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against an announcement that was delayed by a network partition making a leaving
// server available again: requests sent to it would be broken off when it stops.
func TestLateAnnouncementDoesNotBringBackALeavingServer(t *testing.T) {
	d := New()
	d.Merge(Server{ID: "a", StartedAt: 1, Sequence: 4, State: Leaving, Service: "s"})
	if newer, _ := d.Merge(Server{ID: "a", StartedAt: 1, Sequence: 5, Service: "s"}); newer || len(d.View().Service("s")) != 0 {
		t.Error("the leaving server is available again")
	}
	if newer, _ := d.Merge(Server{ID: "a", StartedAt: 2, Sequence: 1, Service: "s"}); !newer || len(d.View().Service("s")) != 1 {
		t.Error("a new incarnation under the same ID is not available")
	}
}

// Guards against a late announcement of a crashed server whose address belongs to another
// server now: its requests would be sent to a server of another service.
func TestLatestStartOwnsTheAddress(t *testing.T) {
	d := New()
	d.Merge(Server{ID: "new", StartedAt: 9, Sequence: 1, Service: "b", Address: "1:1"})
	d.Merge(Server{ID: "old", StartedAt: 3, Sequence: 70, Service: "a", Address: "1:1"})
	if len(d.View().Service("a")) != 0 || len(d.View().Service("b")) != 1 {
		t.Error("the old server still has the address")
	}
}

// Guards against streams that are bound to software that a server has not announced any more.
func TestViewHasTheNewestSoftware(t *testing.T) {
	d := New()
	d.Merge(Server{ID: "a", StartedAt: 1, Sequence: 1, Service: "s", Software: "v1"})
	for n, software := range []string{"", "v1"} {
		d.Merge(Server{ID: "a", StartedAt: 1, Sequence: int64(n + 2), Service: "s", Software: software})
		if got := d.View().Service("s")[0].Software; got != software {
			t.Errorf("the view has software %q, announced is %q", got, software)
		}
	}
}

// Announcements reach the replicas in different orders. All replicas must end with
// the same state, or some entries would continue to send requests to a server that left.
func TestOrderDoesNotMatter(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("same state", prop.ForAll(func(steps []uint16, seed int) bool {
		forward, backward := New(), New()
		rows := make([]Server, len(steps))
		for i, s := range steps {
			rows[i] = Server{ID: "a", StartedAt: int64(s % 3), Sequence: int64(s / 3 % 5), State: State(s / 15 % 3), Silent: s/45%2 == 1}
		}
		for i := range rows {
			forward.Merge(rows[i])
			backward.Merge(rows[len(rows)-1-i])
		}
		a, _ := forward.Get("a")
		b, _ := backward.Get("a")
		return a.SameRouting(b) && a.Sequence == b.Sequence
	}, gen.SliceOf(gen.UInt16()), gen.Int()))
	p.TestingRun(t)
}
