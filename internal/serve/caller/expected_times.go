package caller

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// expectedShards is the number of shards of expectedTimes.
	expectedShards = 16
	// maxShardRoutes bounds the routes of a shard. Operators may rename routes for ever.
	maxShardRoutes = 1024
	// meanGain, deviationGain and deviations are those of TCP's retransmission timeout (RFC 6298).
	meanGain, deviationGain, deviations = 1.0 / 8, 1.0 / 4, 4
)

// expectedTimes estimates how long requests take, for each route, from those that were served.
type expectedTimes struct {
	shards [expectedShards]expectedShard
}

type expectedShard struct {
	mu     sync.Mutex
	routes map[string]routeTime
}

// routeTime is the smoothed time that a route's requests take, and its mean deviation, in seconds.
type routeTime struct {
	mean, deviation float64
}

func newExpectedTimes() *expectedTimes {
	t := &expectedTimes{}
	for i := range t.shards {
		t.shards[i].routes = map[string]routeTime{}
	}
	return t
}

func (t *expectedTimes) shard(route string) *expectedShard {
	return &t.shards[xxhash.Sum64String(route)%expectedShards]
}

// record records a request that was served.
func (t *expectedTimes) record(route string, took time.Duration) {
	s := t.shard(route)
	s.mu.Lock()
	defer s.mu.Unlock()
	x, known := s.routes[route]
	if !known {
		if len(s.routes) >= maxShardRoutes {
			clear(s.routes)
		}
		s.routes[route] = routeTime{mean: took.Seconds(), deviation: took.Seconds() / 2}
		return
	}
	off := took.Seconds() - x.mean
	x.mean += meanGain * off
	x.deviation += deviationGain * (math.Abs(off) - x.deviation)
	s.routes[route] = x
}

// expected returns the time within which nearly all requests of a route are served, and false if none was yet.
func (t *expectedTimes) expected(route string) (time.Duration, bool) {
	s := t.shard(route)
	s.mu.Lock()
	defer s.mu.Unlock()
	x, known := s.routes[route]
	return time.Duration((x.mean + deviations*x.deviation) * float64(time.Second)), known
}
