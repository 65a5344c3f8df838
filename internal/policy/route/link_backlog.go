package route

// LinkBacklog is the name of the element that raises the price of busy links.
const LinkBacklog = "link-backlog"

// linkBacklog raises the price of a link or disk with what waits for it. A link
// that always has a transfer waiting carries no more when a hundred wait;
// without the element each request joins the line as long as recomputing is
// dearer for itself, and one sees imports that wait for most of a minute.
type linkBacklog struct{}

func (linkBacklog) Name() string { return LinkBacklog }

// Apply prices each second of transfers ahead like a second of the link itself.
func (linkBacklog) Apply(q *Query, _ *Candidate, e *Estimate) {
	e.BacklogPrice = q.price.link
}
