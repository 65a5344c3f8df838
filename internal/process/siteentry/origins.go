package siteentry

import (
	"time"

	"hornbeamwood/internal/site/origin"
)

// originReplicas returns the control replicas that keep the origins of streams.
func (p *process) originReplicas() []origin.Replica {
	addresses := p.addresses()
	zones := p.site.replicaZones()
	// The first polls after a start are sent one after the other.
	starting := time.Since(p.site.startedAt) < startupWait
	all := make([]origin.Replica, len(addresses))
	for i, a := range addresses {
		ago, ok := p.follower.SinceAnswer(a)
		all[i] = origin.Replica{Address: a, Zone: zones[a], Silent: !starting && (!ok || ago > liveReplicaTimeout)}
	}
	return all
}

// replicaZones returns the availability zones of the replicas that have answered.
func (s *site) replicaZones() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	zones := make(map[string]string, len(s.directStates))
	for a, state := range s.directStates {
		zones[a] = state.zone
	}
	return zones
}
