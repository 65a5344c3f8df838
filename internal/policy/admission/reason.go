package admission

// Reason is the reason for an admission or refusal; it is also the error code of the refusal.
type Reason string

const (
	// Fits means that the request is expected to meet its deadline.
	Fits Reason = "fits"
	// DeadlineMissed means that the first token would come after the deadline.
	DeadlineMissed Reason = "deadline-missed"
	// TooManyInFlight means that the workspace is at its limit of requests in flight.
	TooManyInFlight Reason = "too-many-in-flight"
	// QueueFull means that the workspace's queue is full.
	QueueFull Reason = "queue-full"
	// NoServer means that no backend server can run the request.
	NoServer Reason = "no-server"
)
