package orders

// Progress says how far an engine is with an order.
type Progress string

const (
	// Running means that the engine works on the order.
	Running Progress = "running"
	// Done means that the order is carried out.
	Done Progress = "done"
	// Failed means that the order can't be carried out and changed nothing.
	Failed Progress = "failed"
)

// Answer is what an engine says of one order.
type Answer struct {
	// ID names the order.
	ID string `json:"id"`
	// State says how far the engine is.
	State Progress `json:"state"`
	// Message is a sentence for people, for Failed.
	Message string `json:"message,omitempty"`
}
