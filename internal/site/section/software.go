package section

import (
	"maps"
	"slices"
)

// MaxSoftware is the largest number of versions that are recorded for a service. With as many, it isn't known which
// others there are.
const MaxSoftware = 16

// Software is a version of the software of a service's servers.
type Software struct {
	// Service is the name of the service.
	Service string `cbor:"service"`
	// Version is the version as the servers announce it, empty if they announce none.
	Version string `cbor:"version"`
}

// addSoftware records that servers of the service have the version.
func (s *section) addSoftware(v Software) Result {
	known := s.software[v.Service]
	if v.Service == "" {
		return Result{}
	}
	if recorded(known, v.Version) {
		return Result{Accepted: true}
	}
	s.software[v.Service] = append(slices.Clone(known), v.Version)
	return Result{Accepted: true, Changed: true}
}

// removeSoftware records that the service has had no server of the version for longer than streams last.
func (s *section) removeSoftware(v Software) Result {
	known := s.software[v.Service]
	i := slices.Index(known, v.Version)
	if i < 0 {
		return Result{Accepted: true}
	}
	s.software[v.Service] = slices.Delete(slices.Clone(known), i, i+1)
	if len(known) == 1 {
		delete(s.software, v.Service)
	}
	return Result{Accepted: true, Changed: true}
}

func recorded(known []string, version string) bool {
	return len(known) >= MaxSoftware || slices.Contains(known, version)
}

// SoftwareRecorded implements Section.
func (s *section) SoftwareRecorded(v Software) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return recorded(s.software[v.Service], v.Version)
}

// Software implements Section.
func (s *section) Software() map[string][]string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.software)
}
