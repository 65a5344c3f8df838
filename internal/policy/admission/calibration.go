package admission

import (
	"sync"
	"time"

	"hornbeamwood/internal/policy/route"
)

// calibration learns by how much estimates fall short in each priority band.
// An estimate knows the work ahead but not the urgent requests that will come
// and pass; without a correction long waits end just after the deadline, and
// one sees prompts that were half computed for callers who have gone.
type calibration struct {
	mutex   sync.Mutex
	factors [route.Bands]float64
}

const (
	// weight is the part of one observation.
	weight = 0.05
	// worthLearning is the shortest expected time that is learnt from.
	worthLearning = time.Second
	// largest bounds the factor, so that one wild estimate doesn't refuse everything.
	largest = 3.0
)

func newCalibration() *calibration {
	c := &calibration{}
	for b := range c.factors {
		c.factors[b] = 1
	}
	return c
}

func (c *calibration) observe(priority int, expected, actual time.Duration) {
	if expected < worthLearning {
		return
	}
	ratio := min(max(float64(actual)/float64(expected), 1/largest), largest)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	f := &c.factors[route.Band(priority)]
	*f += weight * (ratio - *f)
}

// apply returns what expected is likely to become; it never shortens it.
func (c *calibration) apply(priority int, expected time.Duration) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Duration(float64(expected) * max(c.factors[route.Band(priority)], 1))
}
