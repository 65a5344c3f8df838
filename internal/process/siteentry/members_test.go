package siteentry

import (
	"slices"
	"testing"

	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/parts"
)

// Three replicas found the log and a fourth joins; one of the three lists it late. The entry must keep polling
// the fourth. Otherwise it gets no state when that one later holds the lease, and prompts are prefilled again
// for the rest of the day.
func TestSlowReplicaDoesNotHideANewOne(t *testing.T) {
	s := newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
	var polled []string
	s.follow = func() { polled = s.members.union() }
	s.applyMembers("a", []string{"a", "b", "c", "d"})
	s.applyMembers("b", []string{"a", "b", "c"})
	if !slices.Equal(polled, []string{"a", "b", "c", "d"}) {
		t.Errorf("polled %v", polled)
	}
	s.applyMembers("a", []string{"a", "b", "c"})
	if !slices.Equal(polled, []string{"a", "b", "c"}) {
		t.Errorf("polled %v after it left", polled)
	}
}
