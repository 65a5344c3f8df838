package orders

// Order is one instruction to one engine; an engine carries out each ID at most once.
type Order struct {
	// ID identifies the order.
	ID string `json:"id"`
	// Fencing is the fencing number of the lease under which the order was sent.
	Fencing uint64 `json:"fencing"`
	// Kind is the action.
	Kind Kind `json:"kind"`
	// Model, WeightVersion and Adapter are the target of the action; they are empty for SetRole.
	Model         string `json:"model,omitempty"`
	WeightVersion string `json:"weight-version,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	// Role is the new role, for SetRole.
	Role string `json:"role,omitempty"`
}
