package sitecontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/section"
)

const (
	// softwareRetryDelay is the delay before a version that could not be recorded is proposed again.
	softwareRetryDelay = time.Second
	// softwareSweepInterval is the time between two searches for versions that no server has any more, and for
	// those that are missing.
	softwareSweepInterval = time.Minute
	// maxPendingSoftware bounds the versions that wait to be recorded.
	maxPendingSoftware = 256
)

// softwareRecorder records in the control log which versions of their software the servers of each service have.
//
// Entries resume a stream whose beginning they don't know only if there was one version. The servers that began it may
// have left, and all processes may have been lost since, with what they knew.
type softwareRecorder struct {
	process   *process
	startedAt time.Time
	signal    chan struct{}

	mu      sync.Mutex
	pending map[section.Software]bool
}

func newSoftwareRecorder(p *process) *softwareRecorder {
	return &softwareRecorder{process: p, startedAt: time.Now(), signal: make(chan struct{}, 1), pending: map[section.Software]bool{}}
}

// observe has the version of a server recorded. The replica that the server announces itself to does it, and the
// leader, which also does it for a replica that is lost.
func (r *softwareRecorder) observe(s directory.Server) {
	v := section.Software{Service: s.Service, Version: s.Software}
	if v.Service == "" || r.process.section.SoftwareRecorded(v) {
		return
	}
	if s.HomeReplica != r.process.config.Host.Internal && !r.process.isLeader() {
		return
	}
	r.mu.Lock()
	if len(r.pending) < maxPendingSoftware {
		r.pending[v] = true
	}
	r.mu.Unlock()
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// run records versions until ctx ends.
func (r *softwareRecorder) run(ctx context.Context) {
	sweep := time.NewTicker(softwareSweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			r.sweep(ctx)
		case <-r.signal:
		}
		for !r.recordPending(ctx) && wait.For(ctx, softwareRetryDelay) {
		}
	}
}

// recordPending proposes the versions that wait, and returns whether none is left.
//
// Servers of a service that the document doesn't name get no requests. Their versions are recorded with a later
// announcement, once it does.
func (r *softwareRecorder) recordPending(ctx context.Context) bool {
	active, _ := r.process.section.Active()
	for _, v := range r.takePending() {
		named := slices.ContainsFunc(active.Document.Services, func(s document.Service) bool { return s.Name == v.Service })
		if !named || r.process.section.SoftwareRecorded(v) {
			continue
		}
		if !r.propose(ctx, section.Command{AddSoftware: &v}, v) {
			r.mu.Lock()
			r.pending[v] = true
			r.mu.Unlock()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending) == 0
}

func (r *softwareRecorder) takePending() []section.Software {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]section.Software, 0, len(r.pending))
	for v := range r.pending {
		all = append(all, v)
	}
	clear(r.pending)
	return all
}

func (r *softwareRecorder) propose(ctx context.Context, c section.Command, v section.Software) bool {
	_, err := r.process.change(ctx, c)
	f := log.Fields{"service": v.Service, "software": v.Version, "removed": c.RemoveSoftware != nil}
	if err != nil {
		f["error"] = err.Error()
	}
	event.SoftwareRecorded.Write(r.process.config.Logger, f)
	return err == nil
}

// sweep removes the versions that no server has had for longer than rows are kept, and records missing ones.
func (r *softwareRecorder) sweep(ctx context.Context) {
	if !r.process.isLeader() {
		return
	}
	present := map[section.Software]bool{}
	for _, s := range r.process.servers.directory.All() {
		present[section.Software{Service: s.Service, Version: s.Software}] = true
		r.observe(s)
	}
	if time.Since(r.startedAt) < forgetAfter {
		return
	}
	for service, versions := range r.process.section.Software() {
		for _, version := range versions {
			if v := (section.Software{Service: service, Version: version}); !present[v] {
				r.propose(ctx, section.Command{RemoveSoftware: &v}, v)
			}
		}
	}
}

// softwareOf returns the versions that are recorded for a service, confirmed by a quorum after the call began.
func (p *process) softwareOf(ctx context.Context, service string) ([]string, error) {
	if err := p.leader.CatchUp(ctx); err != nil {
		return nil, err
	}
	return p.section.Software()[service], nil
}
