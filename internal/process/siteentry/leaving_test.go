package siteentry

import (
	"testing"

	"hornbeamwood/internal/site/directory"
)

// Guards against requests to a server that has said that it leaves, whatever is announced of it later, and against
// a new start under the same ID that gets none.
func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	s := newDiscardSite()
	s.evacuations.setKnown()
	row := directory.Server{ID: "a", StartedAt: 5, Sequence: 1, Service: "desk", Address: "1.1.1.1:1"}
	s.applyServer(row)
	s.ObserveLeaving("a", 4)
	s.ObserveLeaving("b", 5)
	if len(s.Servers("desk")) != 1 {
		t.Fatal("a response of another incarnation or server counts")
	}
	s.ObserveLeaving("a", 5)
	row.Sequence = 2
	s.applyServer(row)
	if len(s.Servers("desk")) != 0 {
		t.Error("a later announcement makes a leaving server usable")
	}
	row.StartedAt, row.Sequence = 6, 1
	s.applyServer(row)
	if len(s.Servers("desk")) != 1 {
		t.Error("a new start of the server is not used")
	}
}
