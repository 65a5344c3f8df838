package membership

import "time"

const (
	sentBuckets = 32
	sentStep    = 125 * time.Millisecond
)

// sent counts the work sent to one server over the last four seconds, in buckets of sentStep.
type sent struct {
	requests [sentBuckets]int32
	tokens   [sentBuckets]int64
	last     int64
}

// add counts requests in the given step. It first clears the buckets of skipped steps, and ignores a step that is older than all buckets.
func (s *sent) add(step int64, requests int, tokens int64) {
	s.advance(step)
	if step <= s.last-sentBuckets {
		return
	}
	i := step % sentBuckets
	s.requests[i] += int32(requests)
	s.tokens[i] += tokens
}

func (s *sent) advance(step int64) {
	if step <= s.last {
		return
	}
	from := max(s.last+1, step-sentBuckets+1)
	for i := from; i <= step; i++ {
		s.requests[i%sentBuckets] = 0
		s.tokens[i%sentBuckets] = 0
	}
	s.last = step
}

// since returns the requests and tokens counted in the given step and later.
func (s *sent) since(from, now int64) (requests int, tokens int64) {
	from = max(from, now-sentBuckets+1, s.last-sentBuckets+1, 0)
	for i := from; i <= s.last; i++ {
		requests += int(s.requests[i%sentBuckets])
		tokens += s.tokens[i%sentBuckets]
	}
	return requests, tokens
}
