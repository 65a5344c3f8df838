package orders

// Result says what came of sending an order or of asking about it.
type Result string

const (
	// Answered means that the engine answered with a Progress.
	Answered Result = "answered"
	// NotSent means that it is proved that the order did not arrive.
	NotSent Result = "not-sent"
	// Lost means that nobody knows whether the order arrived.
	Lost Result = "lost"
	// Unknown means that the engine does not know the order that it was asked about.
	Unknown Result = "unknown"
	// Fenced means that the engine has seen a higher fencing number.
	Fenced Result = "fenced"
)

// Outcome is the result of one Instruction.
type Outcome struct {
	// Engine is the engine's identity.
	Engine string
	// ID is the order's id.
	ID string
	// Result says what happened.
	Result Result
	// State is the engine's answer, for Answered.
	State Progress
}
