package waitqueue

import "time"

const (
	// rateStep is the span of one bucket, rateSteps the number of buckets kept.
	rateStep  = 250 * time.Millisecond
	rateSteps = 8
	// rateWindow is how far back sent and arrived requests are used for a forecast.
	rateWindow = rateSteps * rateStep
	// minWaited is how long requests must have waited within rateWindow before the send rate is
	// known. When all engines have filled at once, nothing is sent until the first requests have
	// finished.
	minWaited = rateWindow - rateStep
	// competingSizeFactor is the size ratio beyond which a larger request does not delay a smaller
	// one, because the smaller one fits into capacity that is too little for the larger one.
	competingSizeFactor = 2
)

// rateBucket counts what was sent in one step.
type rateBucket struct {
	step int64
	// sentTokens counts the tokens that were sent while other requests waited. waited is how long
	// at least one request waited.
	sentTokens float64
	waited     time.Duration
}

// arrival is a request that arrived.
type arrival struct {
	at   time.Time
	item Item
}

// rateEstimator measures how fast the queue drains. The limit may be prefill time, the
// engines' memory or links; the rate of sent tokens covers all of them.
type rateEstimator struct {
	buckets  [rateSteps]rateBucket
	arrivals []arrival
	started  time.Time
	last     time.Time
	waiting  bool
}

// bucket returns the bucket of the given time.
func (r *rateEstimator) bucket(now time.Time) *rateBucket {
	step := now.UnixNano() / int64(rateStep)
	c := &r.buckets[step%rateSteps]
	if c.step != step {
		*c = rateBucket{step: step}
	}
	return c
}

// advance accounts for the time since the last call, during which requests waited or not, and
// records whether any wait from now on.
func (r *rateEstimator) advance(now time.Time, waiting bool) {
	if r.started.IsZero() {
		r.started, r.last = now, now
	}
	for r.waiting && r.last.Before(now) {
		end := r.last.Truncate(rateStep).Add(rateStep)
		if end.After(now) {
			end = now
		}
		r.bucket(r.last).waited += end.Sub(r.last)
		r.last = end
	}
	r.last, r.waiting = now, waiting
}

// recordArrival records an arriving request.
func (r *rateEstimator) recordArrival(now time.Time, a Item) {
	old := 0
	for old < len(r.arrivals) && now.Sub(r.arrivals[old].at) > rateWindow {
		old++
	}
	r.arrivals = append(r.arrivals[old:], arrival{now, a})
}

// recordSent records a request of that many tokens that is sent.
func (r *rateEstimator) recordSent(now time.Time, tokens int) {
	if r.waiting {
		r.bucket(now).sentTokens += float64(tokens)
	}
}

// sendRate returns the tokens that can be sent per second. ok is false while too little was
// observed.
func (r *rateEstimator) sendRate(now time.Time) (rate float64, ok bool) {
	var sent float64
	var waited time.Duration
	oldest := now.UnixNano()/int64(rateStep) - rateSteps
	for _, c := range r.buckets {
		if c.step > oldest {
			sent += c.sentTokens
			waited += c.waited
		}
	}
	if waited < minWaited {
		return 0, false
	}
	return sent / waited.Seconds(), true
}

// competingArrivalRate returns the tokens per second of arriving requests that go before the
// request once it is past its target.
func (r *rateEstimator) competingArrivalRate(now time.Time, a Item) float64 {
	span := min(now.Sub(r.started), rateWindow)
	if span <= 0 {
		return 0
	}
	sum := 0.0
	for _, c := range r.arrivals {
		if now.Sub(c.at) <= span && c.item.Rank.Urgency <= a.Rank.Urgency && c.item.competes(a) {
			sum += a.Engines.load(c.item.Engines) * float64(c.item.Tokens)
		}
	}
	return sum / span.Seconds()
}
