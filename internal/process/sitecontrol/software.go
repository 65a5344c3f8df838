package sitecontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/section"
	"hornbeamwood/internal/site/topic"
)

const (
	// softwareRetryDelay is the delay before a version that could not be recorded is proposed again.
	softwareRetryDelay = 250 * time.Millisecond
	// softwareSweepInterval is the time between two searches for versions that no server has any more.
	softwareSweepInterval = time.Minute
	// softwareCheckInterval is the time between two searches for versions that are missing.
	softwareCheckInterval = time.Second
	// maxPendingSoftware bounds the versions that wait to be recorded.
	maxPendingSoftware = 256
	// maxProposedSoftware bounds the versions that are proposed at the same time.
	maxProposedSoftware = 16
)

// softwareRecorder records in the control log which versions of their software the servers of each service have.
//
// Entries resume a stream whose beginning they don't know only if there was one version. The servers that began it may
// have left, and all processes may have been lost since, with what they knew.
type softwareRecorder struct {
	softwareRecorderConfig
	startedAt time.Time
	signal    chan struct{}
	// changed signals that the section has changed.
	changed chan struct{}

	mu      sync.Mutex
	pending map[section.Software]bool
}

// softwareRecorderConfig configures a softwareRecorder.
type softwareRecorderConfig struct {
	// home is the address of this replica.
	home    string
	section section.Section
	// servers returns all known servers, also those that are gone.
	servers  func() []directory.Server
	isLeader func() bool
	// change commits a command.
	change func(ctx context.Context, c section.Command) (section.Result, error)
	logger log.Interface
}

func newSoftwareRecorder(c softwareRecorderConfig) *softwareRecorder {
	return &softwareRecorder{
		softwareRecorderConfig: c, startedAt: time.Now(), signal: make(chan struct{}, 1), changed: make(chan struct{}, 1), pending: map[section.Software]bool{},
	}
}

// observe has the version of a server recorded. The replica that the server announces itself to does it, and the
// leader, which also does it for a replica that is lost.
func (r *softwareRecorder) observe(s directory.Server) {
	v := section.Software{Service: s.Service, Version: s.Software}
	if v.Service == "" || r.section.SoftwareRecorded(v) {
		return
	}
	if s.HomeReplica != r.home && !r.isLeader() {
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

// observeState has the versions recorded that are missing after a change of the section: the document names their
// service now, or they were removed just when their servers returned.
func (r *softwareRecorder) observeState() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// observeAll has the versions of all known servers recorded.
func (r *softwareRecorder) observeAll() {
	for _, s := range r.servers() {
		r.observe(s)
	}
}

// run records versions until ctx ends.
func (r *softwareRecorder) run(ctx context.Context) {
	sweep, check := time.NewTicker(softwareSweepInterval), time.NewTicker(softwareCheckInterval)
	defer sweep.Stop()
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			r.sweep(ctx)
		case <-check.C:
			r.observeAll()
		case <-r.changed:
			r.observeAll()
		case <-r.signal:
		}
		for !r.recordPending(ctx) && wait.For(ctx, softwareRetryDelay) {
		}
	}
}

// recordPending proposes the versions that wait, and returns whether all that it proposed are recorded. Those that
// arrive in the meantime have signalled.
//
// Servers of a service that the document doesn't name get no requests. Their versions are recorded once it does.
func (r *softwareRecorder) recordPending(ctx context.Context) bool {
	active, _ := r.section.Active()
	named := map[string]bool{}
	for _, s := range active.Document.Services {
		named[s.Name] = true
	}
	var proposals sync.WaitGroup
	var failed atomic.Bool
	slots := make(chan struct{}, maxProposedSoftware)
	for _, v := range r.takePending() {
		if !named[v.Service] || r.section.SoftwareRecorded(v) {
			continue
		}
		slots <- struct{}{}
		proposals.Go(func() {
			defer func() { <-slots }()
			if r.propose(ctx, section.Command{AddSoftware: &v}, v) {
				return
			}
			failed.Store(true)
			r.mu.Lock()
			r.pending[v] = true
			r.mu.Unlock()
		})
	}
	proposals.Wait()
	return !failed.Load()
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
	_, err := r.change(ctx, c)
	f := log.Fields{"service": v.Service, "software": v.Version, "removed": c.RemoveSoftware != nil}
	if err != nil {
		f["error"] = err.Error()
	}
	event.SoftwareRecorded.Write(r.logger, f)
	return err == nil
}

// sweep removes the versions that no server has had for longer than rows are kept.
func (r *softwareRecorder) sweep(ctx context.Context) {
	if !r.isLeader() {
		return
	}
	present := map[section.Software]bool{}
	for _, s := range r.servers() {
		present[section.Software{Service: s.Service, Version: s.Software}] = true
	}
	if time.Since(r.startedAt) < forgetAfter {
		return
	}
	for service, versions := range r.section.Software() {
		for _, version := range versions {
			if v := (section.Software{Service: service, Version: version}); !present[v] {
				r.propose(ctx, section.Command{RemoveSoftware: &v}, v)
			}
		}
	}
}

// showSoftware copies the recorded versions to the row table. Entries keep a row until it changes.
func (p *process) showSoftware() {
	p.mu.Lock()
	defer p.mu.Unlock()
	recorded := p.section.Software()
	for service := range p.shownSoftware {
		if len(recorded[service]) == 0 {
			p.put(topic.Software, service, []string{})
			delete(p.shownSoftware, service)
		}
	}
	for service, versions := range recorded {
		p.put(topic.Software, service, versions)
		p.shownSoftware[service] = true
	}
}

// softwareOf returns the versions that are recorded for a service, confirmed by a quorum after the call began.
func (p *process) softwareOf(ctx context.Context, service string) ([]string, error) {
	if err := p.leader.CatchUp(ctx); err != nil {
		return nil, err
	}
	return p.section.Software()[service], nil
}
