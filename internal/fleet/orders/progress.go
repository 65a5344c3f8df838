package orders

// Progress is the state of an order at its engine.
type Progress string

const (
	// Running means that the engine is carrying out the order.
	Running Progress = "running"
	// Done means that the order was carried out.
	Done Progress = "done"
	// Failed means that the order could not be carried out and changed nothing.
	Failed Progress = "failed"
)

// Answer is an engine's answer about one order.
type Answer struct {
	// ID identifies the order.
	ID string `json:"id"`
	// State is the progress of the order.
	State Progress `json:"state"`
	// Message is a human-readable explanation, for Failed.
	Message string `json:"message,omitempty"`
}
