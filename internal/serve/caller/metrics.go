package caller

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

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
