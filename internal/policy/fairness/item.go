package fairness

// Item is one waiting request.
type Item[T any] struct {
	// Workspace is the workspace's name.
	Workspace string
	// Share is the workspace's weight.
	Share float64
	// Cost is the estimated cost, for example in seconds of prefill.
	Cost float64
	// Value is the request.
	Value T
}
