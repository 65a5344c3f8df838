package completion

import (
	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/backoff"
)

// codeEngineRefused is set by the engine client when an engine refuses a request.
const codeEngineRefused = "engine-refused"

// recordBackoff records that the engine requested a backoff when it refused the attempt, or that it accepted it.
func (r *router) recordBackoff(a *attempt, cause error) {
	identity := a.server.Announcement().Identity
	e, failed := verdict.As(cause)
	switch {
	case !failed:
		if r.Backoffs.Accept(identity, a.sent) {
			event.ServerBackoff.Write(r.Logger, log.Fields{"server": identity, "backoff-ms": 0})
		}
	case e.Code == codeEngineRefused && e.Verdict == verdict.NotRun && backoff.Refuses(e.Status):
		if r.Backoffs.Request(identity, e.RetryAfter, r.Now()) {
			event.ServerBackoff.Write(r.Logger, log.Fields{"server": identity, "backoff-ms": e.RetryAfter.Milliseconds()})
		}
	}
}
