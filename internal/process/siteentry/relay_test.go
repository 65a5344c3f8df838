package siteentry

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/watch"
)

// Guards against one replica serving all entries of a large site, and against relays in other availability
// zones.
func TestManyEntriesAreSpreadOverRelays(t *testing.T) {
	zones := map[string]int{"a": 55, "b": 50, "c": 50, "d": 41, "e": 52, "f": 43}
	replicas := []string{"a", "a", "b", "b", "c", "c", "d", "e", "f"}
	served, remote := map[string]int{}, 0
	for zone, entries := range zones {
		for i := range entries {
			var known []candidateRelay
			for j, z := range replicas {
				known = append(known, candidateRelay{address: fmt.Sprint(z, j), sameZone: z == zone, holder: j == 0})
			}
			relay := pickRelay(known, true, fmt.Sprint(zone, "/", i))
			served[relay]++
			if relay[:1] != zone {
				remote++
			}
		}
	}
	if remote > 0 {
		t.Errorf("%d entries have a relay in another availability zone", remote)
	}
	for relay, n := range served {
		if n > 60 {
			t.Errorf("%s serves %d entries", relay, n)
		}
	}
}

// Guards against updates in a small site taking the longer path from relay to relay.
func TestFewEntriesShareOneRelay(t *testing.T) {
	known := []candidateRelay{{address: "a", sameZone: true}, {address: "b", holder: true}, {address: "c"}}
	for i := range 20 {
		if r := pickRelay(known, false, fmt.Sprint(i)); r != "b" {
			t.Errorf("entry %d has relay %q", i, r)
		}
	}
	if pickRelay(nil, false, "e") != "" || pickRelay(known[:1], false, "e") != "a" {
		t.Error("without a holder any replica that answers must be chosen, and none without replicas")
	}
}

// Guards against an entry keeping a relay that no longer answers.
func TestUnreachableRelayIsReplaced(t *testing.T) {
	s := newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
	s.follow = func() {}
	s.applyDocument(document.Document{Revision: 1}, "", nil)
	s.apply("a", watch.Answer{Epoch: 1, Fencing: 4})
	now := time.Now()
	first := s.chooseRelay("z", "e", now)
	s.setRelay(first)
	if first != "a" {
		t.Fatalf("relay %q", first)
	}
	s.directStates["b"] = newReplicaState(1)
	s.directStates["b"].lastAnswer = now.Add(relayTimeout)
	if r := s.chooseRelay("z", "e", now.Add(relayTimeout)); r != "b" {
		t.Errorf("relay %q after the first was lost", r)
	}
}
