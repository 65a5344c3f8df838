package sitecontrol

import (
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/topic"
)

// engines is what the roll-out of weights knows of the site and tells entries.
type engines struct {
	*process
}

// TargetVersions implements weights.Site.
func (e engines) TargetVersions() map[string]int64 {
	return e.section.TargetVersions()
}

// Engines implements weights.Site.
func (e engines) Engines() []directory.Server {
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
func (e engines) Holder() (string, uint64, bool) {
	fencing, ok := e.holder.held()
	return e.config.Host.Internal, fencing, ok
}

// ObserveFencing implements weights.Site.
func (e engines) ObserveFencing(fencing uint64) {
	e.holder.lost(fencing)
}

// SetBusy implements weights.Site.
func (e engines) SetBusy(server string, busy bool) {
	if !busy {
		e.board.Put(topic.Busy, server, nil)
		return
	}
	e.put(topic.Busy, server, true)
}

// ReportLoaded implements weights.Site.
func (e engines) ReportLoaded(s directory.Server, model string, version int64) {
	e.mu.Lock()
	e.loaded[s.ID] = topic.LoadedWeights{StartedAt: s.StartedAt, Model: model, Version: version}
	e.mu.Unlock()
	e.put(topic.Weights, s.ID, topic.LoadedWeights{StartedAt: s.StartedAt, Model: model, Version: version})
}

// Version implements weights.Site.
//
// An announcement may be older than the load that this replica saw end.
func (e engines) Version(s directory.Server, model string) int64 {
	told, _ := s.Version(model)
	e.mu.Lock()
	defer e.mu.Unlock()
	if l, ok := e.loaded[s.ID]; ok && l.StartedAt == s.StartedAt && l.Model == model {
		return max(told, l.Version)
	}
	return told
}
