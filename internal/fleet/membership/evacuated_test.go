package membership

import (
	"testing"

	"hornbeamwood/internal/fleet/announcement"
)

// Guards against requests to a server whose availability zone operators evacuate.
func TestServerOfAnEvacuatedZoneIsNotEligible(t *testing.T) {
	s := &Server{announcement: announcement.Announcement{Kind: announcement.Service, State: announcement.Ready, Zone: "norte", Services: []string{"stamp"}}}
	need := Need{Kind: announcement.Service, Service: "stamp", EvacuatedZones: []string{"tunja"}}
	now := s.LoadMeasuredAt()
	if r := s.Eligible(now, need); r != Eligible {
		t.Errorf("another zone is evacuated: %s", r)
	}
	need.EvacuatedZones = append(need.EvacuatedZones, "norte")
	if r := s.Eligible(now, need); r != IsEvacuated {
		t.Errorf("its zone is evacuated: %s", r)
	}
}
