package caller

import (
	"context"
	"iter"
	"slices"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/origin"
)

const (
	// unknownOrigin is the reason of a refusal when it isn't known which software began the stream that a
	// caller resumes.
	unknownOrigin = "unknown-first-attempt"
	// noSoftware is the reason of a refusal when no server has the software that began a stream.
	noSoftware = "no-server-of-software"
	// unrecorded is the reason of a refusal when the software of none of the servers is recorded.
	unrecorded = "software-not-recorded"
	// softwareRetry is the retry time while no server has the software that began a stream, or none has recorded
	// software: servers that crash are back after some seconds, and so is the control log.
	softwareRetry = 2 * time.Second
	// originMargin is how much longer than its caller waits the origin of a stream is kept.
	originMargin = 5 * time.Second
	// inferred is the outcome of a search for an origin when all servers of the service have the same software.
	inferred = origin.Outcome("inferred")
)

// begun is how the stream of a request began.
type begun struct {
	origin origin.Origin
	at     time.Time
}

// servers yields the ready servers where the request may run. A stream that has begun continues only with the software
// that began it, since the events of two versions don't fit together.
func (j *job) servers() iter.Seq[directory.Server] {
	return func(yield func(directory.Server) bool) {
		if j.begun == nil {
			for _, s := range j.Site.Servers(j.service.Name) {
				if j.mayBegin(s) && !yield(s) {
					return
				}
			}
			return
		}
		o := j.begun.origin
		if !j.Site.SoftwareCertain(o, j.begun.at) {
			o = o.WithoutSoftware()
		}
		for _, s := range j.Site.Servers(j.service.Name) {
			if o.Allows(s) && !j.mayHaveRestarted(s) && !yield(s) {
				return
			}
		}
	}
}

// mayBegin returns whether the request may begin at the server. A stream that may be resumed doesn't begin with software
// that isn't recorded: an entry that resumes it could take another version for the only one.
func (j *job) mayBegin(s directory.Server) bool {
	return j.route.Kind != document.Streaming || !j.route.Retryable() || j.Site.SoftwareRecorded(s)
}

// mayHaveRestarted returns whether the server may run other software than it has announced, because it doesn't
// announce itself any more or refused a connection to any entry since.
func (j *job) mayHaveRestarted(s directory.Server) bool {
	now := time.Now()
	c := j.candidate(s, now)
	refusedAt := c.Stats.RefusedAt
	if at := j.Client.RefusedAt(backend.Target{ID: s.ID, StartedAt: s.StartedAt, Address: s.Address}); at.After(refusedAt) {
		refusedAt = at
	}
	if others := now.Add(-observe.RefusalWindow); c.Stats.RefusedBy > 0 && others.After(refusedAt) {
		refusedAt = others
	}
	return c.Lost(now) || j.Site.RestartExpected(s, refusedAt)
}

// hasServer returns whether the request may run at any server, tried or not.
func (j *job) hasServer() bool {
	for range j.servers() {
		return true
	}
	return false
}

// serverShare returns the share of the service's servers at which the request may run.
func (j *job) serverShare() float64 {
	if j.begun == nil {
		return 1
	}
	n := 0
	for range j.servers() {
		n++
	}
	return float64(n) / float64(max(1, len(j.Site.Servers(j.service.Name))))
}

// begin records how a stream begins, before the caller gets its first event. If the entry were lost right after that,
// no other entry could tell where a resumed stream may go on.
func (j *job) begin() {
	if j.begun != nil {
		return
	}
	o := origin.At(j.server)
	if j.mayHaveRestarted(j.server) {
		o = o.WithoutSoftware()
	}
	j.begun = &begun{o, time.Now()}
	if !j.route.Retryable() {
		return
	}
	lifetime := max(j.request.CallerTimeout, j.deadline.Sub(j.arrived)) + originMargin
	j.Origins.Record(origin.NewKey(j.workspace.Name, j.request.Attempt), j.begun.origin, lifetime)
}

// findOrigin finds out how the stream began that the caller resumes, if it does. It returns false if that stays
// unknown; then continuing could join events of two versions.
func (j *job) findOrigin(ctx context.Context) bool {
	if _, resumes := j.request.LastEvent.Event(); j.route.Kind != document.Streaming || !resumes {
		return true
	}
	start := time.Now()
	found, outcome := j.Origins.Find(ctx, origin.NewKey(j.workspace.Name, j.request.FirstAttempt))
	if outcome != origin.Known {
		if software, ok := j.onlySoftware(ctx); ok {
			found, outcome = origin.Found{Origin: origin.Origin{Service: j.service.Name, Software: software}}, inferred
		}
	} else if !j.useService(found.Origin.Service) {
		outcome = origin.Unknown
	}
	event.StreamOrigin.Write(j.Logger, log.Fields{
		"request": j.request.Attempt, "first-attempt": j.request.FirstAttempt, "outcome": string(outcome), "service": found.Origin.Service,
		"software": found.Origin.Software, "server": found.Origin.Server, "age-ms": found.Age.Milliseconds(), "took-ms": time.Since(start).Milliseconds(),
	})
	switch outcome {
	case origin.Known, inferred:
		j.begun = &begun{found.Origin, time.Now().Add(-found.Age)}
		return true
	case origin.Unanswered:
		j.refusal = unknownOrigin
	default:
		j.refusal, j.clearAfter = unknownOrigin, softwareRetry
	}
	return false
}

// onlySoftware returns the version of the software of all servers that the service has had lately. The entry's own view
// may be some time behind, so that the replicas have to confirm it. A stream of a route with several services may have
// begun at any of them.
func (j *job) onlySoftware(ctx context.Context) (string, bool) {
	for _, s := range j.route.Shares {
		if s.Weight > 0 && s.Service != j.service.Name {
			return "", false
		}
	}
	software, ok := j.Site.OnlySoftware(j.service.Name)
	if !ok {
		return "", false
	}
	confirmed, ok := j.Origins.OnlySoftware(ctx, j.service.Name)
	return software, ok && confirmed == software
}

// useService selects the service of a resumed stream. It returns false if the route doesn't lead to it any more.
func (j *job) useService(name string) bool {
	leads := slices.ContainsFunc(j.route.Shares, func(s document.Share) bool { return s.Service == name && s.Weight > 0 })
	if !leads {
		return false
	}
	if name != j.service.Name {
		j.service, _ = j.document.Service(name)
	}
	return true
}
