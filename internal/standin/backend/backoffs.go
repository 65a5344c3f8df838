package backend

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// RestsPath is where a resting stand-in reports what it has got.
const RestsPath = "/standin/rests"

// restGrace is how long after it has asked for rest a server may get further requests, which were on their way.
const restGrace = 500 * time.Millisecond

// RestReport counts the requests that a server has got while it rested.
type RestReport struct {
	// Refused are those that it has refused, Late those among them that came more than half a second after the
	// first of a rest, the first two of each rest left out.
	Refused int `json:"refused"`
	Late    int `json:"late"`
}

type rests struct {
	handler        http.Handler
	interval, rest time.Duration
	startedAt      time.Time

	mu     sync.Mutex
	report RestReport
	// number is the rest that goes on, askedAt when it was first asked for, late the requests after that.
	number  int
	askedAt time.Time
	late    int
}

// WithRests returns a handler that refuses work for rest at the end of each interval and asks for rest until then.
// Other requests than work, such as orders, are served.
func WithRests(h http.Handler, interval, rest time.Duration) http.Handler {
	if rest <= 0 || rest >= interval {
		return h
	}
	return &rests{handler: h, interval: interval, rest: rest, startedAt: time.Now()}
}

// ServeHTTP implements http.Handler.
func (r *rests) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == RestsPath:
		r.mu.Lock()
		report := r.report
		r.mu.Unlock()
		WriteJSON(w, http.StatusOK, report)
	case !isWork(q) || !r.refuse(w, time.Now()):
		r.handler.ServeHTTP(w, q)
	}
}

// isWork returns whether the request is a caller's: a completion or a call of a service.
func isWork(q *http.Request) bool {
	for _, prefix := range []string{"/standin/", "/v1/orders", "/v1/cache", "/v1/runs"} {
		if strings.HasPrefix(q.URL.Path, prefix) {
			return false
		}
	}
	return true
}

func (r *rests) refuse(w http.ResponseWriter, now time.Time) bool {
	since := now.Sub(r.startedAt)
	left := r.interval - since%r.interval
	if left > r.rest {
		return false
	}
	r.record(int(since/r.interval), now)
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(left.Seconds()))))
	WriteError(w, http.StatusServiceUnavailable, true, "resting", "the server has asked for rest")
	return true
}

func (r *rests) record(number int, now time.Time) {
	const allowed = 2
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Refused++
	if r.report.Refused == 1 || number != r.number {
		r.number, r.askedAt, r.late = number, now, 0
	}
	if now.Sub(r.askedAt) <= restGrace {
		return
	}
	if r.late++; r.late > allowed {
		r.report.Late++
	}
}
