package admission

import (
	"sync"

	"hornbeamwood/internal/policy/route"
)

// valuation compares a request's worth per second of compute time with the recent average of its
// priority band. If not all requests can be served, the time that one long prompt takes could serve
// several others.
type valuation struct {
	mutex sync.Mutex
	bands [route.Bands]bandAverages
}

// bandAverages holds the exponentially decayed averages of a band.
type bandAverages struct {
	worth   float64
	compute float64
}

const (
	// decay is the weight of one request in the averages.
	decay = 0.01
	// minValue and maxValue bound the factor by which the time that a request may wait is scaled.
	minValue = 0.6
	maxValue = 1.25
)

// factor adds a request to the averages of its band and returns the bounded ratio of its worth per
// second to that average.
func (v *valuation) factor(priority int, worth, compute float64) float64 {
	if worth <= 0 || compute <= 0 {
		return 1
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	b := &v.bands[route.Band(priority)]
	if b.compute == 0 {
		*b = bandAverages{worth: worth, compute: compute}
	}
	b.worth += decay * (worth - b.worth)
	b.compute += decay * (compute - b.compute)
	ratio := worth / compute * b.compute / b.worth
	return min(max(ratio, minValue), maxValue)
}
