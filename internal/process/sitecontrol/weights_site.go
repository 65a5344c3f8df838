package sitecontrol

import (
	"time"

	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/weights"
)

// weightsSite gives the rollout of weight versions access to the site and shows its progress to entries.
type weightsSite struct {
	*process
}

// TargetVersions implements weights.Site.
func (w weightsSite) TargetVersions() map[string]int64 {
	return w.section.TargetVersions()
}

// Engines implements weights.Site.
func (w weightsSite) Engines() []directory.Server {
	active, ok := w.section.Active()
	if !ok {
		return nil
	}
	var all []directory.Server
	v := w.servers.directory.View()
	for _, s := range active.Document.Services {
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

// MayOrder implements weights.Site.
func (w weightsSite) MayOrder() bool {
	_, ok := w.leaseHolder.mayOrder()
	return ok
}

// Permit implements weights.Site.
func (w weightsSite) Permit(most time.Duration) (weights.Permit, bool) {
	p, ok := w.leaseHolder.permit(most)
	return weights.Permit{
		Holder: w.config.Host.Internal, Fencing: p.fencing, ValidFor: p.validFor(),
		End: func(responded bool) { w.leaseHolder.end(p, responded) },
	}, ok
}

// ObserveFencing implements weights.Site.
func (w weightsSite) ObserveFencing(fencing uint64) {
	w.leaseHolder.markRefused(fencing)
}

// SetBusy implements weights.Site.
func (w weightsSite) SetBusy(server string, busy bool) {
	if fencing := w.leaseHolder.fencingNumber(); fencing != 0 {
		putLeased(w.process, fencing, topic.Busy, server, busy)
	}
}

// ReportLoaded implements weights.Site.
func (w weightsSite) ReportLoaded(s directory.Server, model string, version int64) {
	w.mu.Lock()
	w.loaded[s.ID] = topic.LoadedWeights{StartedAt: s.StartedAt, Model: model, Version: version}
	w.mu.Unlock()
	w.put(topic.Weights, s.ID, topic.LoadedWeights{StartedAt: s.StartedAt, Model: model, Version: version})
}

// Version implements weights.Site.
//
// The announcement may be older than a load whose end this replica has seen, so the
// higher version counts.
func (w weightsSite) Version(s directory.Server, model string) int64 {
	announced, _ := s.Version(model)
	w.mu.Lock()
	defer w.mu.Unlock()
	if l, ok := w.loaded[s.ID]; ok && l.StartedAt == s.StartedAt && l.Model == model {
		return max(announced, l.Version)
	}
	return announced
}
