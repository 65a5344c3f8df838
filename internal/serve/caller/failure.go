package caller

import (
	"errors"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/observe"
)

// recordFailure records an attempt without a response and returns the reason.
func (j *job) recordFailure(a *observe.Attempt, err error) string {
	reason, v := "failed", verdict.MayHaveRun
	var e *backend.Error
	if errors.As(err, &e) {
		reason, v = string(e.Reason), e.Verdict
	}
	o := observe.Lost
	switch {
	case e != nil && (e.Reason == backend.Cancelled || e.Reason == backend.Withheld):
		o = observe.Abandoned
	case e != nil && e.Reason == backend.Saturated:
		o = observe.Rejected
	case e != nil && e.Reason == backend.NoPath:
		o = observe.NoPath
	case e != nil && e.Reason == backend.CutOff:
		o, j.left = observe.NoPath, true
	case e != nil && e.Reason == backend.Refused:
		o = observe.Refused
	case v == verdict.NotRun:
		o = observe.Unreachable
	}
	j.endAttempt(a, o)
	if v != verdict.NotRun {
		j.sends++
		j.recordRun()
	}
	if o == observe.Lost {
		j.recordLostServer(a, err)
	}
	j.logFailure(a.Server, reason, v, time.Since(a.SentAt), err)
	return reason
}

// recordRun records that a server may have run the request.
func (j *job) recordRun() {
	j.runs++
	j.verdict = verdict.MayHaveRun
}

// logFailure logs a failed attempt at a server that had sent nothing for the time of silence.
func (j *job) logFailure(server, reason string, v verdict.Verdict, silence time.Duration, err error) {
	j.silence = silence
	f := log.Fields{
		"request": j.request.Attempt, "server": server, "reason": reason, "verdict": v.String(), "ms": time.Since(j.arrived).Milliseconds(),
		"silent-ms": silence.Milliseconds(),
	}
	if err != nil {
		f["error"] = err.Error()
	}
	event.AttemptFailed.Write(j.Logger, f)
}
