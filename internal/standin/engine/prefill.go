package engine

import (
	"time"
)

// runRetention is how long an ended run is kept so that it can be resumed.
const runRetention = 10 * time.Second

// prefillLoop computes one prompt at a time, the highest priority first.
func (e *engine) prefillLoop() {
	for {
		r := e.next()
		if r == nil {
			select {
			case <-e.ctx.Done():
				return
			case <-e.work:
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		e.prefill(r)
		e.goroutines.Go(func() { e.decode(r) })
	}
}

// next removes the next run from the wait queue. It returns nil if there is none or the batch is full.
func (e *engine) next() *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 || e.running >= e.config.MaxRunning {
		return nil
	}
	best := 0
	for i, r := range e.waiting {
		b := e.waiting[best]
		if r.priority > b.priority || r.priority == b.priority && r.arrival < b.arrival {
			best = i
		}
	}
	r := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	e.running++
	return r
}

func (e *engine) prefill(r *run) {
	if r.crashes() && e.config.Crash != nil {
		e.config.Crash()
	}
	t := e.importPieces(r)
	e.mu.Lock()
	keys := r.body.Transfer.Keys
	hits := e.cache.prefixHits(keys)
	cached := min(hits*r.body.Transfer.PieceTokens, r.promptTokens)
	computed := r.promptTokens - cached
	e.report.ComputedTokens += computed
	e.mu.Unlock()

	e.sleep(r, time.Duration(float64(computed)/e.config.PrefillRate*float64(time.Second)))

	e.mu.Lock()
	defer e.mu.Unlock()
	for _, k := range keys {
		e.cache.insert(k)
	}
	e.queuedTokens -= int64(r.promptTokens)
	r.recordUsage(cached, t)
}

func (e *engine) sleep(r *run, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	case <-e.ctx.Done():
	}
}

// decode emits the tokens of a completion at the engine's rate, then the usage event.
func (e *engine) decode(r *run) {
	defer e.endRun(r)
	digest := r.digest()
	for i := 1; i <= r.body.MaxTokens; i++ {
		if i > 1 {
			e.sleep(r, time.Duration(float64(time.Second)/e.config.DecodeRate))
		}
		if r.ctx.Err() != nil || e.ctx.Err() != nil {
			return
		}
		r.append(r.token(i, digest))
	}
	r.append(r.usage())
	r.finish()
}

func (e *engine) endRun(r *run) {
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	time.AfterFunc(runRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.runs, r.attempt)
	})
}
