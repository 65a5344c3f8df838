package sitecontrol

import (
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/topic"
)

// weightsSite gives the rollout of weight versions access to the site and shows its progress to entries.
type weightsSite struct {
	*process
}

// TargetVersions implements weights.Site.
func (e weightsSite) TargetVersions() map[string]int64 {
	return e.section.TargetVersions()
}

// Engines implements weights.Site.
func (e weightsSite) Engines() []directory.Server {
	h, ok := e.section.Active()
	if !ok {
		return nil
	}
	var all []directory.Server
	v := e.servers.directory.View()
	for _, s := range h.Document.Services {
		if s.Engine == nil {
			continue
		}
		for _, x := range v.Service(s.Name) {
			if !x.Silent {
				all = append(all, x)
			}
		}
	}
	return all
}

// Holder implements weights.Site.
func (e weightsSite) Holder() (string, uint64, bool) {
	fencing, ok := e.leaseHolder.held()
	return e.config.Host.Internal, fencing, ok
}

// ObserveFencing implements weights.Site.
func (e weightsSite) ObserveFencing(fencing uint64) {
	e.leaseHolder.markRefused(fencing)
}

// SetBusy implements weights.Site.
func (e weightsSite) SetBusy(server string, busy bool) {
	if !busy {
		e.table.Put(topic.Busy, server, nil)
		return
	}
	e.put(topic.Busy, server, true)
}

// ReportLoaded implements weights.Site.
func (e weightsSite) ReportLoaded(s directory.Server, model string, version int64) {
	e.mu.Lock()
	e.loaded[s.ID] = topic.LoadedWeights{StartedAt: s.StartedAt, Model: model, Version: version}
	e.mu.Unlock()
	e.put(topic.Weights, s.ID, topic.LoadedWeights{StartedAt: s.StartedAt, Model: model, Version: version})
}

// Version implements weights.Site.
//
// The announcement may be older than a load whose end this replica has seen, so the
// higher version counts.
func (e weightsSite) Version(s directory.Server, model string) int64 {
	announced, _ := s.Version(model)
	e.mu.Lock()
	defer e.mu.Unlock()
	if l, ok := e.loaded[s.ID]; ok && l.StartedAt == s.StartedAt && l.Model == model {
		return max(announced, l.Version)
	}
	return announced
}
