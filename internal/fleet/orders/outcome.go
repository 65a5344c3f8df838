package orders

// Result is the result of sending an order or of reading its state.
type Result string

const (
	// Answered means that the engine answered with a Progress.
	Answered Result = "answered"
	// NotSent means that the order certainly did not arrive.
	NotSent Result = "not-sent"
	// Lost means that it is unknown whether the order arrived.
	Lost Result = "lost"
	// Unknown means that the engine does not know the order whose state was read.
	Unknown Result = "unknown"
	// Fenced means that the engine has seen a higher fencing number.
	Fenced Result = "fenced"
)

// Outcome is the result of one Instruction.
type Outcome struct {
	// Engine is the engine's identity.
	Engine string
	// ID is the order's ID.
	ID string
	// Result is the result.
	Result Result
	// State is the state that the engine returned, for Answered.
	State Progress
}
