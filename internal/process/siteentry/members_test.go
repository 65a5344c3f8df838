package siteentry

import (
	"slices"
	"testing"

	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/parts"
)

// Three replicas found the log and a fourth joins; one of the three tells of it
// late. The entry must go on polling the fourth, or it doesn't hear when that
// one later leads: prompts are read anew for the rest of the day.
func TestSlowReplicaDoesNotHideANewOne(t *testing.T) {
	s := newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
	var polled []string
	s.follow = func() { polled = s.members.union() }
	s.takeMembers("a", []string{"a", "b", "c", "d"})
	s.takeMembers("b", []string{"a", "b", "c"})
	if !slices.Equal(polled, []string{"a", "b", "c", "d"}) {
		t.Errorf("polled %v", polled)
	}
	s.takeMembers("a", []string{"a", "b", "c"})
	if !slices.Equal(polled, []string{"a", "b", "c"}) {
		t.Errorf("polled %v after it left", polled)
	}
}
