package sitecontrol

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
)

// rejectionLogInterval is the interval of log lines on rejected messages.
const rejectionLogInterval = time.Second

// rejections counts the messages of servers and operators that can't be used, and logs some of them.
type rejections struct {
	logger  log.Interface
	metrics *metrics.Set

	mu       sync.Mutex
	unlogged int
	loggedAt time.Time
}

// reject returns the error that refuses a message for good.
func (r *rejections) reject(kind, sender string, cause error) error {
	r.metrics.GetOrCreateCounter(fmt.Sprintf("hornbeamwood_site_rejected_total{kind=%q}", kind)).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged++
	if now := time.Now(); now.Sub(r.loggedAt) >= rejectionLogInterval {
		event.MessageRejected.Write(r.logger, log.Fields{"kind": kind, "sender": fmt.Sprintf("%.64q", sender), "count": r.unlogged, "error": fmt.Sprintf("%.256s", cause)})
		r.loggedAt, r.unlogged = now, 0
	}
	return verdict.New(verdict.NotRun, http.StatusBadRequest, "malformed-"+kind, "the %s can't be used", kind).WithCause(cause)
}
