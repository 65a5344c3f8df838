package service

import (
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/rest"
)

// recordRest records that the server asked for rest when it refused a call that was sent at sent, or that it
// accepted the call.
func (c *client) recordRest(s Server, sent time.Time, err error) {
	e, failed := verdict.As(err)
	switch {
	case !failed:
		if c.Rests.Accept(s.Identity, sent) {
			event.ServerRests.Write(c.Logger, log.Fields{"server": s.Identity, "rest-ms": 0})
		}
	case e.Code == codeRefused && rest.Refuses(e.Status):
		if c.Rests.Ask(s.Identity, e.RetryAfter, c.Now()) {
			event.ServerRests.Write(c.Logger, log.Fields{"server": s.Identity, "rest-ms": e.RetryAfter.Milliseconds()})
		}
	}
}
