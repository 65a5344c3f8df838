package caller

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
)

// abortsConnection returns whether a panic closes the connection on purpose, as for a stream
// that cannot be completed.
func abortsConnection(cause any) bool {
	err, ok := cause.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// answerPanic responds to a request whose handling panicked. It returns false if the response
// has already begun.
//
// The standard server would close the connection and print a line without the request's ID.
// Instead the caller gets a response that does not say whether the request ran, and the log
// shows where the defect is.
func (j *job) answerPanic(cause any) bool {
	event.HandlerPanicked.Write(j.Logger, log.Fields{"request": j.request.Attempt, "error": fmt.Sprint(cause), "stack": string(debug.Stack())})
	if j.status != 0 {
		return false
	}
	j.refuse(http.StatusBadGateway, "defect", 0)
	return true
}

// end logs how the request ended.
func (j *job) end() {
	cause := recover()
	cut := cause != nil && (abortsConnection(cause) || !j.answerPanic(cause)) && !j.refuseHeld()
	j.releaseSuccessor()
	j.Queue.LocalCapacityFreed()
	if cut {
		j.held.withdraw()
	} else {
		j.held.finish()
	}
	took := time.Since(j.arrived)
	if !cut && j.status >= http.StatusOK && j.status < http.StatusMultipleChoices {
		j.expected.record(j.route.Name, took)
	}
	j.metrics.observe(j.route.Kind, j.status, took)
	fields := log.Fields{
		"request": j.request.Attempt, "route": j.route.Name, "status": j.status, "reason": j.reason, "verdict": j.verdict.String(),
		"tries": j.tries, "runs": j.runs, "ms": took.Milliseconds(), "workspace": j.workspace.Name, "document": j.revision,
		"first-ms": j.streamed.firstMillis(j.arrived), "events": j.streamed.events, "longest-pause-ms": j.streamed.longestGap.Milliseconds(),
		"cut": cut, "silent-ms": j.silence.Milliseconds(), "framing": j.framing, "protocol": j.protocol,
	}
	if n, ok := j.streamed.last.Event(); ok {
		fields["last-event"] = n
	}
	event.RequestEnded.Write(j.Logger, fields)
	if cut {
		panic(http.ErrAbortHandler)
	}
}
