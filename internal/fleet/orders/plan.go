package orders

// Plan lists the actions that are due now.
type Plan struct {
	// Note is the required content of the lease's note; orders are sent once it is committed.
	Note []Outstanding
	// NoteVersion increases with each change of Note.
	NoteVersion uint64
	// Send are the orders to send; the sender calls MaySend right before it writes each.
	Send []Instruction
	// Read are the orders whose state is to be read from the engine.
	Read []Instruction
}

// Instruction is one order with its engine.
type Instruction struct {
	// Engine and Address are the destination.
	Engine  string
	Address string
	// Order is the order.
	Order Order
	// Reason is why the order is sent or read.
	Reason Reason
}

// Reason is why an order is sent or its state is read.
type Reason string

const (
	// OtherVersion means that the engine holds a weight version that differs from the settings.
	OtherVersion Reason = "other-version"
	// NothingHeld means that the engine holds no model and its role is the name of one.
	NothingHeld Reason = "nothing-held"
	// AnswerLost means that the answer to the order was lost.
	AnswerLost Reason = "answer-lost"
	// Inherited means that a previous lease holder sent the order.
	Inherited Reason = "inherited"
	// InProgress means that the engine is carrying out the order.
	InProgress Reason = "in-progress"
)
