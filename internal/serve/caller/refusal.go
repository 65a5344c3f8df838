package caller

import (
	"net/http"
	"strconv"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// reject ends a request that is not tried at all.
func (j *job) reject(status int, reason string, retryAfter time.Duration) bool {
	j.refuse(status, reason, retryAfter)
	return false
}

// refuse gives the caller a final answer of the entry's own.
func (j *job) refuse(status int, reason string, retryAfter time.Duration) {
	j.reason = reason
	if j.events.started {
		// The stream can't be completed and must not look complete.
		j.status = status
		panic(http.ErrAbortHandler)
	}
	h := j.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	j.status = status
	j.writer.WriteHeader(status)
	// The caller may have left; there is nobody else to tell.
	_, _ = j.writer.Write([]byte(reason + "\n"))
}

// giveUp answers when no server is tried any more.
//
// Only a request that no server has run, and none ever will, is refused with the
// status that promises so; of all others nothing is said.
func (j *job) giveUp(reason string) {
	switch {
	case j.kept != nil && !j.events.started:
		j.reason = reason
		j.deliver(j.kept)
	case j.verdict == verdict.NotRun:
		j.refuse(http.StatusServiceUnavailable, reason, j.comeBack())
	case !time.Now().Before(j.deadline):
		j.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		j.refuse(http.StatusBadGateway, reason, 0)
	}
}

// comeBack returns when a refused caller should ask again: when those who wait
// now will have gone, spread over a while, so that those who were refused
// together don't return together.
func (j *job) comeBack() time.Duration {
	soon := retrySoon + time.Duration(fraction()*float64(retrySoon))
	return max(soon, time.Duration((1+returnSpread*fraction())*float64(j.clear)))
}

// abandon ends a request whose caller has left.
func (j *job) abandon() {
	j.reason = "caller-left"
	panic(http.ErrAbortHandler)
}
