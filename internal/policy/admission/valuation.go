package admission

import (
	"sync"

	"hornbeamwood/internal/policy/route"
)

// valuation compares a request's worth for each second of the servers with what
// its priority band has asked for lately. When not all can be served, the time
// that one long prompt takes could answer several others.
type valuation struct {
	mutex sync.Mutex
	bands [route.Bands]valued
}

// valued holds the decayed sums of a band.
type valued struct {
	worth   float64
	compute float64
}

const (
	// fade is the part that one request takes of the sums.
	fade = 0.01
	// leastValue and mostValue bound how much less or more of its deadline a request may wait.
	leastValue = 0.6
	mostValue  = 1.25
)

// factor counts a request and returns the bounded ratio of its value to that of its band.
func (v *valuation) factor(priority int, worth, compute float64) float64 {
	if worth <= 0 || compute <= 0 {
		return 1
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	b := &v.bands[route.Band(priority)]
	if b.compute == 0 {
		*b = valued{worth: worth, compute: compute}
	}
	b.worth += fade * (worth - b.worth)
	b.compute += fade * (compute - b.compute)
	ratio := worth / compute * b.compute / b.worth
	return min(max(ratio, leastValue), mostValue)
}
