package orders

// Order is one instruction to one engine; an engine carries out one id once.
type Order struct {
	// ID names the order.
	ID string `json:"id"`
	// Fencing is the fencing number of the lease under which the order is given.
	Fencing uint64 `json:"fencing"`
	// Kind says what to do.
	Kind Kind `json:"kind"`
	// Model, WeightVersion and Adapter say with what; they are empty for SetRole.
	Model         string `json:"model,omitempty"`
	WeightVersion string `json:"weight-version,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	// Role is the new role, for SetRole.
	Role string `json:"role,omitempty"`
}
