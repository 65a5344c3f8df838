package siteentry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/section"
)

// staleRecords is how much older than the newest one the last answer of a replica is whose records don't count any more.
// A version may be removed from the log ten minutes after its last server left, and a replica that is lost or cut off
// doesn't tell.
const staleRecords = 5 * time.Minute

// recordedSoftware holds the versions of servers' software that the replicas have in their logs. What any of them has is
// recorded, whatever those say that are behind.
type recordedSoftware struct {
	mu       sync.Mutex
	replicas map[string]*replicaSoftware
	// all holds the versions of each service that any replica has.
	all atomic.Pointer[map[string]serviceSoftware]
}

// replicaSoftware holds what a replica has of each service.
type replicaSoftware struct {
	epoch    uint64
	services map[string][]string
	// earlier holds what it had before it restarted, until it has caught up.
	earlier map[string][]string
	// caughtUpAt is when it last answered in full and was caught up.
	caughtUpAt time.Time
}

// serviceSoftware is what is recorded of a service.
type serviceSoftware struct {
	versions []string
	// full is set if a replica has as many versions as are recorded.
	full bool
}

func newRecordedSoftware() *recordedSoftware {
	r := &recordedSoftware{replicas: map[string]*replicaSoftware{}}
	r.all.Store(&map[string]serviceSoftware{})
	return r
}

// apply records what a replica has of a service.
func (r *recordedSoftware) apply(replica, service string, versions []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replica(replica).services[service] = versions
	r.merge()
}

// replica returns what a replica has. The caller holds the lock.
func (r *recordedSoftware) replica(address string) *replicaSoftware {
	x, ok := r.replicas[address]
	if !ok {
		x = &replicaSoftware{services: map[string][]string{}, caughtUpAt: time.Now()}
		r.replicas[address] = x
	}
	return x
}

// observeEpoch records which start of a replica the next rows are of. It sends all that it has after a start.
func (r *recordedSoftware) observeEpoch(replica string, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.replica(replica)
	if x.epoch == epoch {
		return
	}
	if x.earlier == nil {
		x.earlier = x.services
	}
	x.epoch, x.services = epoch, map[string][]string{}
	r.merge()
}

// observeCaughtUp records that a replica has answered in full and was caught up.
func (r *recordedSoftware) observeCaughtUp(replica string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.replica(replica)
	x.caughtUpAt = now
	changed := x.earlier != nil
	x.earlier = nil
	for address, other := range r.replicas {
		if now.Sub(other.caughtUpAt) > staleRecords {
			delete(r.replicas, address)
			changed = true
		}
	}
	if changed {
		r.merge()
	}
}

// merge merges what the replicas have. The caller holds the lock.
func (r *recordedSoftware) merge() {
	all := map[string]serviceSoftware{}
	for _, x := range r.replicas {
		for _, services := range []map[string][]string{x.services, x.earlier} {
			for name, versions := range services {
				merged := all[name]
				merged.full = merged.full || len(versions) >= section.MaxSoftware
				merged.versions = append(merged.versions, versions...)
				all[name] = merged
			}
		}
	}
	for name, merged := range all {
		slices.Sort(merged.versions)
		merged.versions = slices.Compact(merged.versions)
		all[name] = merged
	}
	r.all.Store(&all)
}

// SoftwareRecorded implements caller.Site.
func (s *site) SoftwareRecorded(v directory.Server) bool {
	known := (*s.recordedSoftware.all.Load())[v.Service]
	return known.full || slices.Contains(known.versions, v.Software)
}

// recordTime is how long it takes at most, while the control replicas are sound, until the software of a server is
// recorded that was just announced or whose service the document names now.
const recordTime = 2 * time.Second

// AwaitSoftware implements caller.Site.
func (s *site) AwaitSoftware(ctx context.Context, service string, known func() bool) {
	for s.recordExpected(service, time.Now()) && !known() {
		if !wait.For(ctx, serversPollInterval) {
			return
		}
	}
}

// recordExpected returns whether the software of any server of the service should be recorded soon.
func (s *site) recordExpected(service string, now time.Time) bool {
	s.mu.Lock()
	since := s.serviceSince[service]
	s.mu.Unlock()
	return slices.ContainsFunc(s.Servers(service), func(v directory.Server) bool {
		x, ok := s.software.newest(v.ID)
		return ok && !s.SoftwareRecorded(v) && min(now.Sub(x.learnedAt), now.Sub(since)) < recordTime
	})
}
