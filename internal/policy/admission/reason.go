package admission

// Reason says why a request was admitted or refused; it is also the code of the refusal.
type Reason string

const (
	// Fits means that the request is expected to make its deadline.
	Fits Reason = "fits"
	// DeadlineMissed means that the first token would come after the deadline.
	DeadlineMissed Reason = "deadline-missed"
	// TooManyInFlight means that the workspace runs as many requests as it may.
	TooManyInFlight Reason = "too-many-in-flight"
	// QueueFull means that the workspace's queue has no room.
	QueueFull Reason = "queue-full"
	// NoServer means that no backend server can run the request.
	NoServer Reason = "no-server"
)
