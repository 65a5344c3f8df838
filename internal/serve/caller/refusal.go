package caller

import (
	"cmp"
	"net/http"
	"strconv"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/inbound"
)

// reject ends a request for which no server is tried.
func (j *job) reject(status int, reason string, retryAfter time.Duration) bool {
	// The connection may stay open for the rest of an unread body.
	j.request.Prompt = nil
	j.refuse(status, reason, retryAfter)
	return false
}

// refuse sends the caller a final response from the entry itself.
func (j *job) refuse(status int, reason string, retryAfter time.Duration) {
	j.reason = reason
	if j.streamed.started {
		// The stream cannot be completed and must not look complete.
		j.status = status
		panic(http.ErrAbortHandler)
	}
	h := j.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if j.unread != nil {
		inbound.RefuseBody(j.writer, j.unread)
	}
	if j.Isolated() || j.Closing() {
		// The caller's next connection leads to an entry that can serve it.
		h.Set("Connection", "close")
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	j.status = status
	j.writer.WriteHeader(status)
	// The caller may have disconnected; there is no one else to report to.
	_, _ = j.writer.Write([]byte(reason + "\n"))
}

// giveUp responds when no further server is tried.
//
// Only a request that no server has run or ever will is refused with the status that
// guarantees this. For all others the response makes no statement.
func (j *job) giveUp(reason string) {
	switch {
	case j.serverFailure != nil && !j.streamed.started:
		j.reason = reason
		j.deliver(j.serverFailure)
	case j.verdict == verdict.NotRun:
		j.clearAfter = max(j.clearAfter, j.clearTime(time.Now()))
		j.refuse(http.StatusServiceUnavailable, reason, j.retryAfter())
	case !time.Now().Before(j.deadline):
		j.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		j.refuse(http.StatusBadGateway, reason, 0)
	}
}

// retryAfter returns when a refused caller should retry: when the requests that wait now will
// have been sent, spread over a while so that callers that were refused together do not retry
// together.
func (j *job) retryAfter() time.Duration {
	soon := retrySoon + time.Duration(randomFraction()*float64(retrySoon))
	return max(soon, time.Duration((1+retrySpread*randomFraction())*float64(j.clearAfter)))
}

// refuseHeld replaces an answer that is held by a refusal. It returns false if there is none, or no caller.
func (j *job) refuseHeld() bool {
	if j.reason == callerLeft || !j.held.withdraw() {
		return false
	}
	j.streamed.started = false
	status := http.StatusBadGateway
	if !time.Now().Before(j.deadline) {
		status = http.StatusGatewayTimeout
	}
	j.refuse(status, cmp.Or(j.reason, "defect"), 0)
	return true
}

// callerLeft is the reason of a request whose caller has disconnected.
const callerLeft = "caller-left"

// abandon ends a request whose caller has disconnected, or gets no more of its answer.
func (j *job) abandon() {
	j.reason = callerLeft
	if j.held != nil && j.held.tooLarge {
		j.reason = answerTooLarge
	}
	panic(http.ErrAbortHandler)
}
