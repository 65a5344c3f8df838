package parts

import (
	"container/list"
	"time"
)

// assumedPart is a part of a request that was sent to an engine, which is assumed to have cached it.
type assumedPart struct {
	hash   uint64
	tokens int
	since  time.Time
}

// engineCache is what is known of one engine's memory.
type engineCache struct {
	// lru holds the assumed parts, the most recently used first: the least recently used is evicted first.
	lru           *list.List
	assumed       map[uint64]*list.Element
	assumedTokens int
	// reported are the cached tokens of each part as the engine reports them, for parts of at least
	// minReported tokens; nil when there is no report.
	reported    map[uint64]int
	minReported int
}

func newEngineCache() *engineCache {
	return &engineCache{lru: list.New(), assumed: map[uint64]*list.Element{}}
}

// recordSent records a part that is sent to the engine and returns the parts that are assumed to be evicted for it.
func (e *engineCache) recordSent(h uint64, tokens, capacity int, now time.Time) (evicted []uint64) {
	if element, ok := e.assumed[h]; ok {
		e.lru.MoveToFront(element)
		part := element.Value.(assumedPart)
		if e.reportsSize(part.tokens) && now.Sub(part.since) > pendingTimeout {
			element.Value = assumedPart{h, tokens, now}
		}
		return nil
	}
	e.assumed[h] = e.lru.PushFront(assumedPart{h, tokens, now})
	e.assumedTokens += tokens
	for e.assumedTokens > int(cachedShare*float64(capacity)) && e.lru.Len() > 1 {
		oldest := e.lru.Back().Value.(assumedPart)
		e.remove(oldest.hash)
		if _, ok := e.reported[oldest.hash]; !ok {
			evicted = append(evicted, oldest.hash)
		}
	}
	return evicted
}

func (e *engineCache) remove(h uint64) {
	element, ok := e.assumed[h]
	if !ok {
		return
	}
	e.assumedTokens -= e.lru.Remove(element).(assumedPart).tokens
	delete(e.assumed, h)
}

// reportsSize returns whether the engine reports parts of that size.
func (e *engineCache) reportsSize(tokens int) bool {
	return e.reported != nil && tokens >= e.minReported
}

// applyReport applies a report of the engine and returns the parts that it has evicted.
func (e *engineCache) applyReport(reported map[uint64]int, minReported int) (evicted []uint64) {
	for h := range e.reported {
		if _, ok := reported[h]; !ok {
			e.remove(h)
			evicted = append(evicted, h)
		}
	}
	e.reported, e.minReported = reported, minReported
	return evicted
}

// holds returns whether the engine has the part, and for an assumed part since when.
func (e *engineCache) holds(h uint64, tokens int, now time.Time) (time.Time, bool) {
	if n, ok := e.reported[h]; ok {
		return time.Time{}, n+maxMissingTokens >= tokens
	}
	element, ok := e.assumed[h]
	if !ok {
		return time.Time{}, false
	}
	since := element.Value.(assumedPart).since
	return since, !e.reportsSize(tokens) || now.Sub(since) <= pendingTimeout
}

// all returns every part that the engine has or is assumed to have.
func (e *engineCache) all() []uint64 {
	all := make([]uint64, 0, len(e.assumed)+len(e.reported))
	for h := range e.assumed {
		all = append(all, h)
	}
	for h := range e.reported {
		all = append(all, h)
	}
	return all
}
