package fairness

import "math"

// Queue holds waiting requests; its user locks it.
type Queue[T any] interface {
	// Push adds an item and returns false when its workspace's queue is full.
	Push(i Item[T]) bool
	// Pop returns the next item by deficit round robin and whether there is one.
	Pop() (Item[T], bool)
	// Ahead returns the cost that is popped before a new item of the given workspace, share and cost.
	Ahead(workspace string, share, cost float64) float64
	// Len returns the number of waiting items.
	Len() int
	// Cost returns the cost of all waiting items.
	Cost() float64
}

type queue[T any] struct {
	config Config
	flows  map[string]*flow[T]
	active []*flow[T] // flows with items, in the order of their turns
	fresh  bool       // the first active flow has not had its quantum in this turn
	count  int
	cost   float64
}

// New returns an empty Queue.
func New[T any](c Config) Queue[T] {
	return &queue[T]{config: c.withDefaults(), flows: map[string]*flow[T]{}, fresh: true}
}

func (q *queue[T]) Len() int { return q.count }

func (q *queue[T]) Cost() float64 { return q.cost }

// Ahead counts of each other workspace at most what it gets in the rounds that this one's items take.
func (q *queue[T]) Ahead(workspace string, share, cost float64) float64 {
	var own float64
	if f, ok := q.flows[workspace]; ok {
		own = f.cost
	}
	ahead := own
	share = max(share, minShare)
	rounds := math.Ceil((own + cost) / (q.config.Quantum * share))
	for _, f := range q.active {
		if f.workspace != workspace {
			ahead += min(f.cost, rounds*q.config.Quantum*f.share)
		}
	}
	return ahead
}

func (q *queue[T]) Push(i Item[T]) bool {
	f, ok := q.flows[i.Workspace]
	if !ok {
		f = &flow[T]{workspace: i.Workspace}
		q.flows[i.Workspace] = f
		q.active = append(q.active, f)
	}
	if len(f.items) >= q.config.MaxWaiting {
		return false
	}
	f.share = max(i.Share, minShare)
	f.items = append(f.items, i)
	f.cost += i.Cost
	q.count++
	q.cost += i.Cost
	return true
}

func (q *queue[T]) Pop() (Item[T], bool) {
	if q.count == 0 {
		return Item[T]{}, false
	}
	q.skipRounds()
	for !q.ready() {
		q.turn()
	}
	return q.take(), true
}

// ready gives the first flow its quantum once in its turn and returns whether its first item is covered.
func (q *queue[T]) ready() bool {
	f := q.active[0]
	if q.fresh {
		f.deficit += q.config.Quantum * f.share
		q.fresh = false
	}
	return f.deficit >= f.items[0].Cost
}

// turn moves the first flow to the end.
func (q *queue[T]) turn() {
	f := q.active[0]
	copy(q.active, q.active[1:])
	q.active[len(q.active)-1] = f
	q.fresh = true
}

// take pops the first flow's item and forgets the flow when it has no other.
// A workspace that keeps its deficit while it has nothing to send would later
// send a burst ahead of all others.
func (q *queue[T]) take() Item[T] {
	f := q.active[0]
	i := f.pop()
	q.count--
	q.cost -= i.Cost
	if len(f.items) == 0 {
		delete(q.flows, f.workspace)
		q.active = q.active[1:]
		q.fresh = true
	}
	if q.count == 0 {
		q.cost = 0
	}
	return i
}

// skipRounds gives all flows at once the rounds that none of them could use, so that
// one item of great cost doesn't make Pop turn thousands of times.
func (q *queue[T]) skipRounds() {
	rounds := math.Inf(1)
	for _, f := range q.active {
		need := (f.items[0].Cost - f.deficit) / (q.config.Quantum * f.share)
		rounds = min(rounds, math.Floor(need)-1)
	}
	if rounds <= 0 {
		return
	}
	for _, f := range q.active {
		f.deficit += rounds * q.config.Quantum * f.share
	}
}
