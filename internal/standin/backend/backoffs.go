package backend

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// BackoffsPath is where a stand-in in backoff reports what it has got.
const BackoffsPath = "/standin/backoffs"

// backoffGrace is how long after it has requested a backoff a server may get further requests, which were on their way.
const backoffGrace = 500 * time.Millisecond

// BackoffReport counts the requests that a server has got in backoff.
type BackoffReport struct {
	// Refused are those that it has refused, Late those among them that came more than half a second after the
	// first of a backoff, the first two of each backoff left out.
	Refused int `json:"refused"`
	Late    int `json:"late"`
}

type backoffs struct {
	handler            http.Handler
	interval, duration time.Duration
	startedAt          time.Time

	mu     sync.Mutex
	report BackoffReport
	// number is the current backoff, requestedAt when it was first requested, late the requests after that.
	number      int
	requestedAt time.Time
	late        int
}

// WithBackoffs returns a handler that refuses work for duration at the end of each interval and requests a backoff until then.
// Other requests than work, such as orders, are served.
func WithBackoffs(h http.Handler, interval, duration time.Duration) http.Handler {
	if duration <= 0 || duration >= interval {
		return h
	}
	return &backoffs{handler: h, interval: interval, duration: duration, startedAt: time.Now()}
}

// ServeHTTP implements http.Handler.
func (b *backoffs) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == BackoffsPath:
		b.mu.Lock()
		report := b.report
		b.mu.Unlock()
		WriteJSON(w, http.StatusOK, report)
	case !isWork(q) || !b.refuse(w, time.Now()):
		b.handler.ServeHTTP(w, q)
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

func (b *backoffs) refuse(w http.ResponseWriter, now time.Time) bool {
	since := now.Sub(b.startedAt)
	left := b.interval - since%b.interval
	if left > b.duration {
		return false
	}
	b.record(int(since/b.interval), now)
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(left.Seconds()))))
	WriteError(w, http.StatusServiceUnavailable, true, "backoff", "the server has requested a backoff")
	return true
}

func (b *backoffs) record(number int, now time.Time) {
	const allowed = 2
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report.Refused++
	if b.report.Refused == 1 || number != b.number {
		b.number, b.requestedAt, b.late = number, now, 0
	}
	if now.Sub(b.requestedAt) <= backoffGrace {
		return
	}
	if b.late++; b.late > allowed {
		b.report.Late++
	}
}
