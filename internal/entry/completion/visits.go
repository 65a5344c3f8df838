package completion

import "sync"

// maxVisits bounds the prompts whose visits are counted.
const maxVisits = 1 << 16

// visits counts how often each document came.
type visits struct {
	mu     sync.Mutex
	counts map[uint64]uint8
}

func newVisits() *visits {
	return &visits{counts: make(map[uint64]uint8)}
}

// seen counts one visit and returns its number from 1.
func (v *visits) seen(key uint64) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.counts[key]; !ok && len(v.counts) >= maxVisits {
		v.forgetOne()
	}
	if v.counts[key] < 255 {
		v.counts[key]++
	}
	return int(v.counts[key])
}

// forgetOne drops any one prompt; it then counts as new when it comes again.
func (v *visits) forgetOne() {
	for k := range v.counts {
		delete(v.counts, k)
		return
	}
}
