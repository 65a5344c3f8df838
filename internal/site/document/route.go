package document

import "time"

// Route assigns the requests of one host and path prefix to services.
type Route struct {
	// Name identifies the route, also in logs.
	Name string `cbor:"name"`
	// Host is the host of the requests.
	Host string `cbor:"host"`
	// Prefix is the path prefix of the route; it begins and ends with a slash.
	Prefix string `cbor:"prefix"`
	// Kind determines whether requests may be retried.
	Kind Kind `cbor:"kind"`
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration `cbor:"timeout"`
	// LatencyTarget is the latency up to which an answer has its full value; for streams that of the first event.
	LatencyTarget time.Duration `cbor:"target"`
	// EventGapTarget is the longest gap between two events within which a stream meets its target; zero for none.
	EventGapTarget time.Duration `cbor:"gap"`
	// CallerEventTimeout is how long callers of a stream wait for its next event, including the first, before they disconnect; zero when that is unknown.
	CallerEventTimeout time.Duration `cbor:"silence"`
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int `cbor:"priority"`
	// Shares are the services with their weights.
	Shares []Share `cbor:"shares"`
	// MaxAttempts is the largest number of servers on which one attempt of a caller may run.
	MaxAttempts int `cbor:"max-attempts"`
	// Public is set if no API key is required.
	Public bool `cbor:"public"`
	// Prompts is set if requests contain prompts for engines.
	Prompts bool `cbor:"prompts"`
	// Resumable is set if a stream may be resumed on another server.
	Resumable bool `cbor:"resumable"`
}

// Share is a service's share of a route's requests.
type Share struct {
	// Service is the name of the service.
	Service string `cbor:"service"`
	// Weight is the share relative to the other weights of the route.
	Weight float64 `cbor:"weight"`
}

// Retryable returns whether a request of the route may run more than once.
func (r Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// weights returns the largest weight and the sum of the weights as fractions of it, which doesn't overflow.
func (r Route) weights() (largest, sum float64) {
	for _, s := range r.Shares {
		largest = max(largest, s.Weight)
	}
	if largest == 0 {
		return 0, 0
	}
	for _, s := range r.Shares {
		sum += s.Weight / largest
	}
	return largest, sum
}

// ServiceAt returns the service at the fraction x of the cumulative weights, 0 <= x < 1.
func (r Route) ServiceAt(x float64) string {
	largest, sum := r.weights()
	rest := x * sum
	for _, s := range r.Shares {
		weight := s.Weight / largest
		if rest < weight {
			return s.Service
		}
		rest -= weight
	}
	for i := len(r.Shares) - 1; i >= 0; i-- {
		if r.Shares[i].Weight > 0 {
			return r.Shares[i].Service
		}
	}
	return ""
}
