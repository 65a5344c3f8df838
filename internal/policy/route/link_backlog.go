package route

// LinkBacklog is the name of the element that raises the price of busy links.
const LinkBacklog = "link-backlog"

// linkBacklog raises the price of a link or disk with the transfers queued for it. A saturated link
// carries no more when a hundred transfers wait. Without the element each request joins the queue
// as long as recomputing costs more for that request, and imports wait for most of a minute.
type linkBacklog struct{}

func (linkBacklog) Name() string { return LinkBacklog }

// Apply prices each second of queued transfers like a second of link time.
func (linkBacklog) Apply(q *Query, _ *Candidate, e *Estimate) {
	e.BacklogPrice = q.price.link
}
