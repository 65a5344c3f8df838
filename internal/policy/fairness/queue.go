package fairness

import "math"

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue[T any] interface {
	// Push adds an item and returns false if the queue of its workspace is full.
	Push(i Item[T]) bool
	// Pop returns the next item by deficit round robin and whether there is one.
	Pop() (Item[T], bool)
	// Ahead returns the cost that would be popped before a new item of the given workspace, share
	// and cost.
	Ahead(workspace string, share, cost float64) float64
	// Len returns the number of waiting items.
	Len() int
	// Cost returns the cost of all waiting items.
	Cost() float64
}

type queue[T any] struct {
	config     Config
	flows      map[string]*flow[T]
	active     []*flow[T] // flows with items, in round-robin order
	quantumDue bool       // the first active flow has not been granted its quantum in this round
	count      int
	cost       float64
}

// New returns an empty Queue.
func New[T any](c Config) Queue[T] {
	return &queue[T]{config: c.withDefaults(), flows: map[string]*flow[T]{}, quantumDue: true}
}

func (q *queue[T]) Len() int { return q.count }

func (q *queue[T]) Cost() float64 { return q.cost }

// Ahead counts for each other workspace at most the cost that it may use in the rounds that the
// items of this workspace take.
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
		q.rotate()
	}
	return q.popFirst(), true
}

// ready grants the first flow its quantum once per round and returns whether its deficit covers its
// first item.
func (q *queue[T]) ready() bool {
	f := q.active[0]
	if q.quantumDue {
		f.deficit += q.config.Quantum * f.share
		q.quantumDue = false
	}
	return f.deficit >= f.items[0].Cost
}

// rotate moves the first flow to the end.
func (q *queue[T]) rotate() {
	f := q.active[0]
	copy(q.active, q.active[1:])
	q.active[len(q.active)-1] = f
	q.quantumDue = true
}

// popFirst pops the first item of the first flow and deletes the flow if it is empty. A workspace
// that kept its deficit while it had nothing queued could later send a burst ahead of all others.
func (q *queue[T]) popFirst() Item[T] {
	f := q.active[0]
	i := f.pop()
	q.count--
	q.cost -= i.Cost
	if len(f.items) == 0 {
		delete(q.flows, f.workspace)
		q.active = q.active[1:]
		q.quantumDue = true
	}
	if q.count == 0 {
		q.cost = 0
	}
	return i
}

// skipRounds grants all flows at once the quanta of the rounds in which none of them could pop an
// item, so that Pop does not iterate thousands of times for one item of high cost.
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
