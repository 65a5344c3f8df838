package caller

import (
	"slices"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/policy/suspicion"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/quarantine"
	"hornbeamwood/internal/serve/request"
)

// requestQuarantined is the reason of a refusal of a request that crashes servers.
const requestQuarantined = "request-quarantined"

// attributes returns what the request has in common with others, which is the same for each repetition by the same
// caller.
func (j *job) attributes() suspicion.Attributes {
	if j.shared == nil {
		j.shared = &suspicion.Attributes{
			Request: suspicion.FingerprintOf(j.workspace.Name, j.resource(), j.request.Body),
			Parts:   sharedParts(j.request.Prompt),
		}
	}
	return *j.shared
}

// sharedParts returns the parts of a prompt that other requests may share: all but the last.
func sharedParts(p *request.Prompt) []suspicion.Fingerprint {
	if p == nil || len(p.Parts) < 2 {
		return nil
	}
	shared := p.Parts[:min(len(p.Parts)-1, suspicion.MaxParts)]
	all := make([]suspicion.Fingerprint, len(shared))
	for i, part := range shared {
		all[i] = suspicion.FingerprintOfPart([]byte(part.ID))
	}
	return all
}

// resource returns what the request names: its method, host and target.
func (j *job) resource() string {
	return j.request.Method + " " + j.request.Host + j.request.Target
}

// quarantined returns whether the request must not be sent to a server, and then sets the refusal.
func (j *job) quarantined() bool {
	m, ok := j.Guard.Quarantined(j.workspace.Name, j.attributes(), time.Now())
	if !ok {
		return false
	}
	j.refusal, j.clearAfter = requestQuarantined, m.RetryAfter
	event.RequestQuarantined.Write(j.Logger, log.Fields{
		"request": j.request.Attempt, "fingerprint": m.Fingerprint.String(), "kind": string(m.Kind), "part": j.partID(m),
	})
	return true
}

// maxLoggedID bounds a part's ID in the log.
const maxLoggedID = 64

// partID returns the ID of the part for which the request is refused, empty if it is refused as a whole.
func (j *job) partID(m suspicion.Match) string {
	i := slices.Index(j.attributes().Parts, m.Fingerprint)
	if i < 0 {
		return ""
	}
	id := j.request.Prompt.Parts[i].ID
	return id[:min(len(id), maxLoggedID)]
}

// recordLostServer records that the server closed the connection while it ran the request, unless this entry is
// cut off from it. A cut can reset the connections of many requests at once.
func (j *job) recordLostServer(a *observe.Attempt, err error) {
	if !backend.Disconnected(err) {
		return
	}
	r := j.runOf(a)
	t := backend.Target{ID: a.Server, StartedAt: a.Incarnation, Address: a.Address}
	go func() {
		if !j.Client.CutOff(t, r.LostAt) {
			j.Guard.Lost(r)
		}
	}()
}

// runOf returns the run that ends now.
func (j *job) runOf(a *observe.Attempt) quarantine.Run {
	return quarantine.Run{
		Attributes: j.attributes(), Attempt: j.request.Attempt, Workspace: j.workspace.Name,
		Server: a.Server, Incarnation: uint64(a.Incarnation), SentAt: a.SentAt, LostAt: time.Now(), Began: a.Started(),
	}
}

// recordAnswered records that a server has sent a complete response.
func (j *job) recordAnswered() {
	j.Guard.Answered(j.attributes(), time.Now())
}
