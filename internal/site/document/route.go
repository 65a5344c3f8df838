package document

import "time"

// Route sends the requests of one host and path prefix to services.
type Route struct {
	// Name names the route in logs.
	Name string `cbor:"name"`
	// Host is the host that requests name.
	Host string `cbor:"host"`
	// Prefix begins the paths of the route; it begins and ends with a slash.
	Prefix string `cbor:"prefix"`
	// Kind says what may be repeated.
	Kind Kind `cbor:"kind"`
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration `cbor:"timeout"`
	// LatencyTarget is the latency within which an answer has its full worth; for streams up to the first event.
	LatencyTarget time.Duration `cbor:"target"`
	// EventGapTarget is the longest pause between events at which a stream is on time; zero for none.
	EventGapTarget time.Duration `cbor:"gap"`
	// Silence is how long callers of a stream wait for its next event, the first one too, before they leave; zero where it isn't known.
	Silence time.Duration `cbor:"silence"`
	// Priority is the rank, 0 the most urgent.
	Priority int `cbor:"priority"`
	// Shares are the services with their weights.
	Shares []Share `cbor:"shares"`
	// MaxAttempts is the most servers that one attempt of a caller may run on.
	MaxAttempts int `cbor:"max-attempts"`
	// Public says that no key is asked for.
	Public bool `cbor:"public"`
	// Prompts says that requests carry prompts for engines.
	Prompts bool `cbor:"prompts"`
	// Resumable says that a stream may go on at another server.
	Resumable bool `cbor:"resumable"`
}

// Share is a service's part of a route.
type Share struct {
	// Service names the service.
	Service string `cbor:"service"`
	// Weight is the part relative to the other weights of the route.
	Weight float64 `cbor:"weight"`
}

// Repeatable returns whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// weight returns the sum of the weights.
func (r Route) weight() float64 {
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	return sum
}

// ServiceAt returns the service at the point x of the weights, 0 <= x < 1.
func (r Route) ServiceAt(x float64) string {
	left := x * r.weight()
	for _, s := range r.Shares {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	for i := len(r.Shares) - 1; i >= 0; i-- {
		if r.Shares[i].Weight > 0 {
			return r.Shares[i].Service
		}
	}
	return ""
}
