package waitqueue

import "time"

const (
	// flowStep is the span of one count of what left, flowSteps how many are kept.
	flowStep  = 250 * time.Millisecond
	flowSteps = 8
	// flowSpan is how long what came and went says something of what comes next.
	flowSpan = flowSteps * flowStep
	// flowLeast is how long requests must have waited within that span for the rate
	// at which they leave to be known: when all engines have filled at once nothing
	// leaves until the first requests have run.
	flowLeast = flowSpan - flowStep
	// largerTimes is how many times the size of a request another one must have not
	// to stand in its way: a small one finds room that is too little for a large one.
	largerTimes = 2
)

// count is what left in one step.
type count struct {
	step int64
	// left is the tokens of what was sent while others waited, waited for how long some did.
	left   float64
	waited time.Duration
}

// arrival is a request that came.
type arrival struct {
	at  time.Time
	ask Item
}

// flow measures how fast a line moves. What limits it may be the time to read
// prompts, the engines' memory, or links: it shows at what leaves.
type flow struct {
	counts   [flowSteps]count
	arrivals []arrival
	started  time.Time
	last     time.Time
	waiting  bool
}

// at returns the count of the moment.
func (f *flow) at(now time.Time) *count {
	step := now.UnixNano() / int64(flowStep)
	c := &f.counts[step%flowSteps]
	if c.step != step {
		*c = count{step: step}
	}
	return c
}

// pass notes that requests have waited, or not, up to now, and whether some do from now on.
func (f *flow) pass(now time.Time, waiting bool) {
	if f.started.IsZero() {
		f.started, f.last = now, now
	}
	for f.waiting && f.last.Before(now) {
		end := f.last.Truncate(flowStep).Add(flowStep)
		if end.After(now) {
			end = now
		}
		f.at(f.last).waited += end.Sub(f.last)
		f.last = end
	}
	f.last, f.waiting = now, waiting
}

// arrive notes a request that comes.
func (f *flow) arrive(now time.Time, a Item) {
	old := 0
	for old < len(f.arrivals) && now.Sub(f.arrivals[old].at) > flowSpan {
		old++
	}
	f.arrivals = append(f.arrivals[old:], arrival{now, a})
}

// leave notes a request of so many tokens that is sent.
func (f *flow) leave(now time.Time, tokens int) {
	if f.waiting {
		f.at(now).left += float64(tokens)
	}
}

// leaving returns how many tokens a second can leave; ok is false while too little was seen.
func (f *flow) leaving(now time.Time) (rate float64, ok bool) {
	var left float64
	var waited time.Duration
	oldest := now.UnixNano()/int64(flowStep) - flowSteps
	for _, c := range f.counts {
		if c.step > oldest {
			left += c.left
			waited += c.waited
		}
	}
	if waited < flowLeast {
		return 0, false
	}
	return left / waited.Seconds(), true
}

// coming returns how many tokens a second come that go before the request when it is late.
func (f *flow) coming(now time.Time, a Item) float64 {
	span := min(now.Sub(f.started), flowSpan)
	if span <= 0 {
		return 0
	}
	sum := 0
	for _, c := range f.arrivals {
		if now.Sub(c.at) <= span && c.ask.Rank.Urgency <= a.Rank.Urgency && c.ask.competes(a) {
			sum += c.ask.Tokens
		}
	}
	return float64(sum) / span.Seconds()
}
