package watch

import (
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
)

// unreadableTimeout is how long a process goes by its own rows while answers arrive that it can't read.
const unreadableTimeout = 4 * time.Second

// readability records which replicas' answers can't be read.
type readability struct {
	logger  log.Interface
	metrics *metrics.Set
	method  string

	mu sync.Mutex
	// unreadable is when each replica last sent an answer that could not be read, until it sends another one.
	// partly holds the replicas that have sent rows that could not be read.
	unreadable map[string]time.Time
	partly     map[string]bool
	// readAt is when an answer was last read.
	readAt time.Time
}

func newReadability(c FollowerConfig) *readability {
	return &readability{logger: c.Logger, metrics: c.Metrics, method: c.Method.Name, unreadable: map[string]time.Time{}, partly: map[string]bool{}, readAt: time.Now()}
}

// readable records an answer that could be read but for some of its rows. The first such answer of a replica is logged.
func (r *readability) readable(address string, a Answer, now time.Time) {
	n := a.Rows.Unreadable()
	r.count("row", n)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unreadable, address)
	r.readAt = now
	if n > 0 && !r.partly[address] {
		r.partly[address] = true
		event.AnswerUnreadable.Write(r.logger, log.Fields{"replica": address, "method": r.method, "rows": n})
	}
}

// failed records a failed poll.
func (r *readability) failed(address string, err error, now time.Time) {
	if !errors.Is(err, codec.ErrMalformed) {
		return
	}
	r.count("answer", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.unreadable[address]; !known {
		event.AnswerUnreadable.Write(r.logger, log.Fields{"replica": address, "method": r.method, "error": err.Error()})
	}
	r.unreadable[address] = now
}

// blind returns whether answers arrive and none could be read for unreadableTimeout.
func (r *readability) blind(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.readAt) < unreadableTimeout {
		return false
	}
	for _, at := range r.unreadable {
		if now.Sub(at) < unreadableTimeout {
			return true
		}
	}
	return false
}

func (r *readability) count(what string, n int) {
	if r.metrics != nil && n > 0 {
		r.metrics.GetOrCreateCounter(`hornbeamwood_site_unreadable_total{what="` + what + `"}`).Add(n)
	}
}
