package fairness

// flow is the queue of one workspace.
type flow[T any] struct {
	workspace string
	share     float64
	deficit   float64
	cost      float64 // of all items
	items     []Item[T]
}

func (f *flow[T]) pop() Item[T] {
	i := f.items[0]
	f.items[0] = Item[T]{}
	f.items = f.items[1:]
	f.deficit -= i.Cost
	f.cost -= i.Cost
	return i
}
