package completion

import (
	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/rest"
)

// codeEngineRefused is set by the engine client when an engine refuses a request.
const codeEngineRefused = "engine-refused"

// recordRest records that the engine asked for rest when it refused the attempt, or that it accepted it.
func (r *router) recordRest(a *attempt, cause error) {
	identity := a.server.Announcement().Identity
	e, failed := verdict.As(cause)
	switch {
	case !failed:
		if r.Rests.Accept(identity, a.sent) {
			event.ServerRests.Write(r.Logger, log.Fields{"server": identity, "rest-ms": 0})
		}
	case e.Code == codeEngineRefused && e.Verdict == verdict.NotRun && rest.Refuses(e.Status):
		if r.Rests.Ask(identity, e.RetryAfter, r.Now()) {
			event.ServerRests.Write(r.Logger, log.Fields{"server": identity, "rest-ms": e.RetryAfter.Milliseconds()})
		}
	}
}
