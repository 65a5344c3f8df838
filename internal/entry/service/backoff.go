package service

import (
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/backoff"
)

// recordBackoff records that the server requested a backoff when it refused a call that was sent at sent, or that it
// accepted the call.
func (c *client) recordBackoff(s Server, sent time.Time, err error) {
	e, failed := verdict.As(err)
	switch {
	case !failed:
		if c.Backoffs.Accept(s.Identity, sent) {
			event.ServerBackoff.Write(c.Logger, log.Fields{"server": s.Identity, "backoff-ms": 0})
		}
	case e.Code == codeRefused && backoff.Refuses(e.Status):
		if c.Backoffs.Request(s.Identity, e.RetryAfter, c.Now()) {
			event.ServerBackoff.Write(c.Logger, log.Fields{"server": s.Identity, "backoff-ms": e.RetryAfter.Milliseconds()})
		}
	}
}
