package main

import "time"

// Terms of the guarantee to a server that has just started: for coldTime it gets at most
// coldFactor times coldRate requests, and coldSlack more, in any second.
const (
	coldTime   = 2 * time.Second
	coldRate   = 2
	coldFactor = 1.5
	coldSlack  = 5
)

// coldRemaining returns how long the server stays cold.
func (s *server) coldRemaining(now time.Time) time.Duration {
	return max(0, s.coldSince.Add(coldTime).Sub(now))
}

// recordWhileCold checks the rate of the requests that reach a cold server.
func (s *server) recordWhileCold(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coldRemaining(now) == 0 {
		return
	}
	s.coldArrivals = append(s.coldArrivals, now)
	for now.Sub(s.coldArrivals[0]) >= time.Second {
		s.coldArrivals = s.coldArrivals[1:]
	}
	if n := len(s.coldArrivals); n > coldFactor*coldRate+coldSlack {
		s.executions.reportCold(s.id, n)
	}
}

// reportCold reports that a cold server got too many requests in a second.
func (e *executions) reportCold(id string, n int) {
	e.record.reportViolation("%s is cold and got %d requests in a second", id, n)
}
