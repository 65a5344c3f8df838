package route

// DeadlineWorth is the name of the element that prices a late first token.
const DeadlineWorth = "deadline-worth"

// safeShare is the part of the deadline that an estimate may take at no price;
// the rest is for what passes the request later.
const safeShare = 0.5

// lateWorths is the price of using a whole deadline beyond the safe part, in worths of the request.
const lateWorths = 10

// deadlineWorth prices the risk that the caller has gone before the first token.
// Where recomputing is dear and waiting is cheap, a plan that queues for a link
// until after the deadline looks best without it; one sees busy links, idle
// engines and refused requests.
type deadlineWorth struct{}

func (deadlineWorth) Name() string { return DeadlineWorth }

// Apply sets from when and how steeply time to first token costs more.
func (deadlineWorth) Apply(q *Query, _ *Candidate, e *Estimate) {
	u := &q.Request.Rules
	if u.Deadline <= 0 {
		return
	}
	e.SafeUntil = safeShare * u.Deadline.Seconds()
	e.LatePrice = lateWorths * u.Worth / u.Deadline.Seconds()
}
