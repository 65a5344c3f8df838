package admission

import (
	"sync"
	"time"

	"hornbeamwood/internal/policy/route"
)

// calibration measures by how much estimates fall short in each priority band. An estimate includes
// the queued work but not the urgent requests that will arrive and overtake it. Without a
// correction long waits end just after the deadline, and prompts are half computed for callers that
// have already disconnected.
type calibration struct {
	mutex   sync.Mutex
	factors [route.Bands]float64
}

const (
	// observationWeight is the weight of one observation in the moving average.
	observationWeight = 0.05
	// minObserved is the shortest expected time that is used as an observation.
	minObserved = time.Second
	// maxFactor bounds the factor, so that one outlier does not cause every request to be refused.
	maxFactor = 3.0
)

func newCalibration() *calibration {
	c := &calibration{}
	for b := range c.factors {
		c.factors[b] = 1
	}
	return c
}

func (c *calibration) observe(priority int, expected, actual time.Duration) {
	if expected < minObserved {
		return
	}
	ratio := min(max(float64(actual)/float64(expected), 1/maxFactor), maxFactor)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	f := &c.factors[route.Band(priority)]
	*f += observationWeight * (ratio - *f)
}

// apply returns expected corrected by the factor of the band; it never shortens it.
func (c *calibration) apply(priority int, expected time.Duration) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Duration(float64(expected) * max(c.factors[route.Band(priority)], 1))
}
