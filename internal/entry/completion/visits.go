package completion

import "sync"

// maxVisits bounds the number of documents whose visits are counted.
const maxVisits = 1 << 16

// visits counts the requests for each document.
type visits struct {
	mu     sync.Mutex
	counts map[uint64]uint8
}

func newVisits() *visits {
	return &visits{counts: make(map[uint64]uint8)}
}

// add counts one visit and returns its number, from 1 to 255.
func (v *visits) add(key uint64) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.counts[key]; !ok && len(v.counts) >= maxVisits {
		v.evictOne()
	}
	if v.counts[key] < 255 {
		v.counts[key]++
	}
	return int(v.counts[key])
}

// evictOne drops an arbitrary document, which counts as new when it is requested again.
func (v *visits) evictOne() {
	for k := range v.counts {
		delete(v.counts, k)
		return
	}
}
