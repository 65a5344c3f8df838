package membership

import "time"

const (
	sentBuckets = 32
	sentStep    = 125 * time.Millisecond
)

// sent counts the work sent to one server in steps of sentStep over the last four seconds.
type sent struct {
	requests [sentBuckets]int32
	tokens   [sentBuckets]int64
	last     int64
}

// add counts requests in the given step; it first clears the steps that passed without work, and drops what is older than all steps.
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

// since returns the requests and tokens counted from the given step on.
func (s *sent) since(from, now int64) (requests int, tokens int64) {
	from = max(from, now-sentBuckets+1, s.last-sentBuckets+1, 0)
	for i := from; i <= s.last; i++ {
		requests += int(s.requests[i%sentBuckets])
		tokens += s.tokens[i%sentBuckets]
	}
	return requests, tokens
}
