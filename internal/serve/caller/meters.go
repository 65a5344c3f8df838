package caller

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hornbeamwood/internal/site/document"
)

// meters count requests by kind and status.
type meters struct {
	set  *metrics.Set
	mu   sync.Mutex
	ends map[endKey]ending
}

type endKey struct {
	kind   document.Kind
	status int
}

type ending struct {
	count *metrics.Counter
	took  *metrics.Histogram
}

func newMeters(s *metrics.Set) *meters {
	return &meters{set: s, ends: map[endKey]ending{}}
}

// ended counts a request; status 0 means that the caller left or was cut off.
func (m *meters) ended(kind document.Kind, status int, took time.Duration) {
	k := endKey{kind, status}
	m.mu.Lock()
	e, ok := m.ends[k]
	if !ok {
		labels := fmt.Sprintf(`{kind=%q,status="%d"}`, kind, status)
		e = ending{
			count: m.set.GetOrCreateCounter("hornbeamwood_site_requests_total" + labels),
			took:  m.set.GetOrCreateHistogram("hornbeamwood_site_request_seconds" + labels),
		}
		m.ends[k] = e
	}
	m.mu.Unlock()
	e.count.Inc()
	e.took.Update(took.Seconds())
}
