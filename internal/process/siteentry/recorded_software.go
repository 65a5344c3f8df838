package siteentry

import (
	"slices"
	"sync"
	"sync/atomic"

	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/section"
)

// recordedSoftware holds, for each replica and service, the versions of servers' software that the replica has in its
// log. What any of them has is recorded, whatever those say that are behind.
type recordedSoftware struct {
	mu       sync.Mutex
	replicas map[string]map[string][]string
	// all holds the versions that any replica has of each service.
	all atomic.Pointer[map[string][]string]
}

func newRecordedSoftware() *recordedSoftware {
	r := &recordedSoftware{replicas: map[string]map[string][]string{}}
	r.all.Store(&map[string][]string{})
	return r
}

// apply records what a replica has of a service.
func (r *recordedSoftware) apply(replica, service string, versions []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replicas[replica] == nil {
		r.replicas[replica] = map[string][]string{}
	}
	r.replicas[replica][service] = versions
	all := map[string][]string{}
	for _, services := range r.replicas {
		for name, list := range services {
			all[name] = append(all[name], list...)
		}
	}
	for name, list := range all {
		slices.Sort(list)
		all[name] = slices.Compact(list)
	}
	r.all.Store(&all)
}

// SoftwareRecorded implements caller.Site.
func (s *site) SoftwareRecorded(v directory.Server) bool {
	known := (*s.recordedSoftware.all.Load())[v.Service]
	return len(known) == 0 || len(known) >= section.MaxSoftware || slices.Contains(known, v.Software)
}
