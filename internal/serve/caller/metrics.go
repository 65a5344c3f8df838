package caller

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/site/document"
)

// requestMetrics counts requests by kind and status.
type requestMetrics struct {
	set   *metrics.Set
	mu    sync.Mutex
	byKey map[metricKey]metricPair
}

type metricKey struct {
	kind   document.Kind
	status int
}

type metricPair struct {
	count *metrics.Counter
	took  *metrics.Histogram
}

func newRequestMetrics(s *metrics.Set) *requestMetrics {
	return &requestMetrics{set: s, byKey: map[metricKey]metricPair{}}
}

// observeEnd counts a response that ended with its connection, by whether its end is proved.
func (m *requestMetrics) observeEnd(err error) {
	outcome := "unproved"
	switch {
	case err == nil:
		outcome = "proved"
	case errors.Is(err, backend.ErrGone):
		outcome = "server-gone"
	case errors.Is(err, backend.ErrUnrelated):
		outcome = "no-connection"
	case errors.Is(err, backend.ErrSilent):
		outcome = "no-answer"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`hornbeamwood_site_ends_of_connections_total{outcome=%q}`, outcome)).Inc()
}

// observe counts a request; status 0 means that the caller disconnected or the connection was
// aborted.
func (m *requestMetrics) observe(kind document.Kind, status int, took time.Duration) {
	k := metricKey{kind, status}
	m.mu.Lock()
	e, ok := m.byKey[k]
	if !ok {
		labels := fmt.Sprintf(`{kind=%q,status="%d"}`, kind, status)
		e = metricPair{
			count: m.set.GetOrCreateCounter("hornbeamwood_site_requests_total" + labels),
			took:  m.set.GetOrCreateHistogram("hornbeamwood_site_request_seconds" + labels),
		}
		m.byKey[k] = e
	}
	m.mu.Unlock()
	e.count.Inc()
	e.took.Update(took.Seconds())
}
