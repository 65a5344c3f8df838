package completion

import (
	"strings"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/admission"
	"hornbeamwood/internal/policy/retry"
	"hornbeamwood/internal/policy/route"
)

func (r *router) logRouted(j *job, a *attempt) {
	event.RequestRouted.Write(r.Logger, log.Fields{
		"request":    j.ID,
		"attempt":    a.id,
		"number":     j.attempts,
		"workspace":  j.Workspace,
		"model":      j.Model.Name,
		"tokens":     a.request.Tokens,
		"server":     a.decision.Identity,
		"reason":     string(a.decision.Reason),
		"ttft":       a.decision.TTFT.String(),
		"cost":       a.decision.Cost,
		"plan":       plan(a.decision.Plan),
		"candidates": estimates(&a.view, a.decision.Estimates),
	})
}

func (r *router) logRefused(j *job, d route.Decision, v admission.Decision) {
	event.RequestRefused.Write(r.Logger, log.Fields{
		"request":     j.ID,
		"workspace":   j.Workspace,
		"model":       j.Model.Name,
		"reason":      string(v.Reason),
		"retry-after": v.RetryAfter.String(),
		"ttft":        d.TTFT.String(),
	})
}

func (r *router) logRetry(j *job, d retry.Decision, cause error) {
	e := event.RetryDenied
	if d.Retry {
		e = event.RequestRetried
	}
	e.Write(r.Logger, log.Fields{
		"request":   j.ID,
		"workspace": j.Workspace,
		"attempt":   j.attempts,
		"reason":    string(d.Reason),
		"wait":      d.Wait.String(),
		"remaining": j.remaining(r.Now()).String(),
		"verdict":   verdict.Of(cause).String(),
		"cause":     cause.Error(),
	})
}

// planLetters maps the sources of pieces to their letters in the log.
var planLetters = map[route.Source]byte{route.InMemory: 'm', route.Import: 'i', route.Recompute: 'r'}

// plan returns one letter per piece: m for in memory, i for import, r for recompute.
func plan(steps []route.Step) string {
	var b strings.Builder
	for _, s := range steps {
		b.WriteByte(planLetters[s.Source])
	}
	return b.String()
}

// estimate is one candidate in the log.
type estimate struct {
	Server string  `json:"server"`
	TTFT   float64 `json:"ttft"`
	Cost   float64 `json:"cost"`
}

func estimates(v *view, all []route.Estimate) []estimate {
	out := make([]estimate, len(all))
	for i, e := range all {
		out[i] = estimate{Server: v.cell.Candidates[e.Server].Identity, TTFT: e.TTFT, Cost: e.Cost}
	}
	return out
}
